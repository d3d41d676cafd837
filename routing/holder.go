package routing

import (
	"sync/atomic"
	"time"
)

// MinIdleTimeout is the minimum time for which the record of a flow without packets is kept. Both ends
// retransmit lost packets for about 10 s, and one of them may be unreachable in the meantime.
const MinIdleTimeout = 15 * time.Second

// Holder holds the current table. It is safe for concurrent use; the zero value holds no table.
type Holder struct {
	// current is never replaced by a table of a lower version.
	current atomic.Pointer[Table]
}

// Current returns the current table, or nil if there is none yet.
func (h *Holder) Current() *Table { return h.current.Load() }

// Version returns the version of the current table, or 0 if there is none yet.
func (h *Holder) Version() uint64 { return VersionOf(h.current.Load()) }

// IdleTimeout returns how long the record of a flow without packets is kept: the idle timeout of the current
// table, but at least MinIdleTimeout.
func (h *Holder) IdleTimeout() time.Duration {
	t := h.current.Load()
	if t == nil {
		return MinIdleTimeout
	}
	return max(t.IdleTimeout, MinIdleTimeout)
}

// StoreIfNewer makes a table the current one if it is newer, and reports whether it is. A table that has the limits of its
// services is newer than one of the same version that a process of an earlier version passed on without them.
func (h *Holder) StoreIfNewer(t *Table) bool {
	for {
		current := h.current.Load()
		if !t.replaces(current) {
			return false
		}
		if h.current.CompareAndSwap(current, t) {
			return true
		}
	}
}
