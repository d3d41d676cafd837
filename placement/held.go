package placement

import (
	"math"
	"time"

	"endiveflow.example/endiveflow/flow"
)

// inUse returns the number of flows with a request in the host or about to arrive there.
func (h *Host) inUse() int { return h.pendingFlows + len(h.requests) }

// admissionLimit returns the largest number of flows in use at a time. It exceeds the number of slots by the
// flows whose requests are still on their way when a slot becomes free.
func (h *Host) admissionLimit() int {
	return h.slots + int(math.Ceil(float64(h.slots)*float64(h.requestDelay)/float64(max(h.serviceTime, time.Millisecond))))
}

// Dequeue returns the next held flow if the host has room for it, and counts the flow as pending. It returns
// false if there is none.
func (h *Host) Dequeue(now time.Duration) (flow.Key, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasRoomForHeld() || h.warmupWait(0, now) > 0 {
		return flow.Key{}, false
	}
	f := h.held.dequeue(now, h.requestDelay)
	h.admit(f.work, now)
	return f.key, true
}

// hasRoomForHeld reports whether a held flow could be given to the host if it weren't warming up.
func (h *Host) hasRoomForHeld() bool {
	return h.accepts() && len(h.held) > 0 && h.inUse() < h.admissionLimit()
}

// AdmitCopy reports whether the host may be given a copy of the opening packet of a flow that it has been given, and records
// the packet.
func (h *Host) AdmitCopy(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.warmupWait(0, now) > 0 {
		return false
	}
	h.warmup.Record(now)
	return true
}

// DequeueExpired returns a held flow that has waited for longer than the hold limit.
func (h *Host) DequeueExpired(now time.Duration) (flow.Key, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held.removeOldest(now - h.cfg.HoldLimit)
}

// NextExpiry returns the time until DequeueExpired returns a flow if nothing changes; 0 means never.
func (h *Host) NextExpiry(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.held.oldestIndex()
	if i < 0 {
		return 0
	}
	return max(h.held[i].since+h.cfg.HoldLimit-now, 0) + time.Millisecond
}

// DequeueAny returns any held flow, for a host that no longer accepts flows.
func (h *Host) DequeueAny() (flow.Key, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held.removeOldest(math.MaxInt64)
}
