package absence

import (
	"net/netip"
	"time"
)

// DefaultMinAbsence is how long a process must be absent before its record is
// removed. It is far above the longest restart of a VM and the longest network partition
// between regions; a record that is kept for longer costs only one unused address.
const DefaultMinAbsence = 15 * time.Minute

// Tracker tracks since when processes with records have been absent. Its zero value
// is ready to use. It is not safe for concurrent use.
type Tracker struct {
	// absentSince holds the time at which each absent process was first found to be absent.
	absentSince map[netip.Addr]time.Duration
}

// LongestAbsent returns the process of recorded that has been absent, that is, not in alive, for the longest
// time, if that is at least minAbsence. found reports whether there is one. Only one process is returned
// per call, so that a caller with a wrong view removes few records before their owners write
// them again. If alive is empty, the caller itself is assumed to be partitioned from the others, so the
// absences recorded so far are dropped. The time now must not decrease.
func (t *Tracker) LongestAbsent(recorded, alive []netip.Addr, minAbsence, now time.Duration) (process netip.Addr, found bool) {
	isAlive := make(map[netip.Addr]bool, len(alive))
	for _, a := range alive {
		isAlive[a] = true
	}
	previous := t.absentSince
	t.absentSince = make(map[netip.Addr]time.Duration)
	if len(alive) == 0 {
		return netip.Addr{}, false
	}
	longest := minAbsence
	for _, a := range recorded {
		if isAlive[a] {
			continue
		}
		since, known := previous[a]
		if !known {
			since = now
		}
		t.absentSince[a] = since
		if absent := now - since; absent >= longest {
			process, found, longest = a, true, absent
		}
	}
	return process, found
}
