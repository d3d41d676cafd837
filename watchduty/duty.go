package watchduty

import (
	"sync"
	"time"

	"endiveflow.example/endiveflow/flow"
)

const (
	// WatchersPerZone is the number of entries of an availability zone that watch. The second one covers the
	// restart of the first.
	WatchersPerZone = 2
	// maxAge is the time since the last known answer of the store after which the first entry of a zone that relies on others asks
	// the store itself; each further one gives the one before it maxAgeStep, up to maxAgeSpread in all. A watch without changes answers
	// within about 1.5 s, and word of it reaches most entries within a fraction of a second. A change that followed the last
	// answer has to be in force 3 s later.
	maxAge       = 2 * time.Second
	maxAgeStep   = 200 * time.Millisecond
	maxAgeSpread = 2500 * time.Millisecond
	// settleTime is the time after its start in which an entry isn't elected: it has not heard of all entries of its zone
	// yet.
	settleTime = 1500 * time.Millisecond
)

// Config configures a Duty.
type Config struct {
	// IP is the address of the entry.
	IP uint32
	// Peers returns the addresses of the other live entries of the zone.
	Peers func() []uint32
	// Now returns a monotonic time.
	Now func() time.Duration
}

// Duty tells an entry whether it watches the store. It is safe for concurrent use.
type Duty struct {
	cfg Config
	// started is when the entry started.
	started time.Duration

	mu sync.Mutex
	// lastAnswer is the time of the last answer of the store that the entry knows of; valid once answered is set.
	// Guarded by mu.
	lastAnswer time.Duration
	answered   bool
}

// New returns the duty of an entry that knows of no answer of the store.
func New(cfg Config) *Duty { return &Duty{cfg: cfg, started: cfg.Now()} }

// Answered records an answer of the store, received by any entry some time ago.
func (d *Duty) Answered(ago time.Duration) {
	at := d.cfg.Now() - ago
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.answered || at > d.lastAnswer {
		d.lastAnswer, d.answered = at, true
	}
}

// Age returns the time since the last known answer of the store, and false if none is known.
func (d *Duty) Age() (time.Duration, bool) {
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return now - d.lastAnswer, d.answered
}

// Watches reports whether the entry watches the store now: it is one of the elected ones, it knows of no answer of the
// store, or the others get none. In the last case, an answer ends its duty until the others have got none for as long again: it
// reads the store now and then.
func (d *Duty) Watches() bool {
	now, before := d.cfg.Now(), EntriesBefore(d.cfg.IP, d.cfg.Peers())
	if now-d.started >= settleTime && before < WatchersPerZone {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.answered || now-d.lastAnswer > ageLimit(before)
}

// ageLimit returns the age of the last known answer from which an entry asks the store itself that comes after a number of others.
func ageLimit(before int) time.Duration {
	return maxAge + min(time.Duration(max(before-WatchersPerZone, 0))*maxAgeStep, maxAgeSpread)
}

// EntriesBefore returns how many of the given entries come before the one at an address, in an order that all entries agree on. The entry may
// be among them.
func EntriesBefore(ip uint32, entries []uint32) int {
	before := 0
	for _, other := range entries {
		if other != ip && rank(other) < rank(ip) {
			before++
		}
	}
	return before
}

// rank orders entries. The order says nothing about their addresses, which follow the order in which VMs are set up.
func rank(ip uint32) uint64 { return flow.Mix(uint64(ip)) }
