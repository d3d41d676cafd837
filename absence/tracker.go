package absence

import (
	"net/netip"
	"time"
)

// DefaultGoneAfter is how long a process must be silent before its record is
// removed. It is far above the longest restart of a VM and the longest cut
// between regions; a record that stays costs one address that isn't used.
const DefaultGoneAfter = 15 * time.Minute

// Tracker notes since when processes with records are silent. Its zero value
// is ready to use. It is not safe for concurrent use.
type Tracker struct {
	// since holds when each silent process was first missed.
	since map[netip.Addr]time.Duration
}

// Gone returns one process whose record has been without a sign of life for
// goneAfter, if any, the longest silent first. One at a time, because an
// observer that is wrong then removes little before the owners write their
// records again. An observer that hears from nobody is taken for the one that is cut
// off: it starts over. The time now must not go back.
func (t *Tracker) Gone(recorded, heard []netip.Addr, goneAfter, now time.Duration) (gone netip.Addr, found bool) {
	alive := make(map[netip.Addr]bool, len(heard))
	for _, a := range heard {
		alive[a] = true
	}
	before := t.since
	t.since = make(map[netip.Addr]time.Duration)
	if len(heard) == 0 {
		return netip.Addr{}, false
	}
	longest := goneAfter
	for _, a := range recorded {
		if alive[a] {
			continue
		}
		since, missed := before[a]
		if !missed {
			since = now
		}
		t.since[a] = since
		if silent := now - since; silent >= longest {
			gone, found, longest = a, true, silent
		}
	}
	return gone, found
}
