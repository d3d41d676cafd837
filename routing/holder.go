package routing

import (
	"sync/atomic"
	"time"
)

// MinIdleTimeout is how long a flow without packets is remembered at least. Both ends send lost packets again for
// about 10 s, and one of them may be cut off meanwhile.
const MinIdleTimeout = 15 * time.Second

// Holder holds the table in force. It is safe for concurrent use; the zero
// value holds none.
type Holder struct {
	// current never goes back to a lower version.
	current atomic.Pointer[Table]
}

// Current returns the table in force, nil before the first.
func (h *Holder) Current() *Table { return h.current.Load() }

// Version returns the version in force, 0 before the first.
func (h *Holder) Version() uint64 { return VersionOf(h.current.Load()) }

// IdleTimeout returns how long a flow without packets is remembered: the time in force, at least MinIdleTimeout.
func (h *Holder) IdleTimeout() time.Duration {
	t := h.current.Load()
	if t == nil {
		return MinIdleTimeout
	}
	return max(t.IdleTimeout, MinIdleTimeout)
}

// Offer puts a table into force if it is newer, and says whether it did.
func (h *Holder) Offer(t *Table) bool {
	for {
		current := h.current.Load()
		if current != nil && t.Version <= current.Version {
			return false
		}
		if h.current.CompareAndSwap(current, t) {
			return true
		}
	}
}
