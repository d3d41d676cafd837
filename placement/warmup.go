package placement

import "time"

// admit counts a flow of the given expected work whose opening packet is given to the host.
func (h *Host) admit(work, now time.Duration) {
	h.pendingFlows++
	h.pendingWork += work
	h.warmup.Record(now)
}

// warmupWait returns the time until the host may be given a flow before which ahead others are; 0 unless it may be warming
// up.
func (h *Host) warmupWait(ahead int, now time.Duration) time.Duration {
	if !h.limited {
		return 0
	}
	return h.warmup.Wait(ahead, now)
}

// NextAdmission returns the time until Dequeue returns a flow if nothing changes. It returns false if no flow is held for the
// limit on a host that may be warming up only.
func (h *Host) NextAdmission(now time.Duration) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.limited || !h.hasRoomForHeld() {
		return 0, false
	}
	return h.warmupWait(0, now), true
}

// SetWarmingUp sets whether the host is warming up, as it reports, or may be, as it may have restarted since its last report.
func (h *Host) SetWarmingUp(warmingUp bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.warmingUp = warmingUp
	h.updateLimited()
}

func (h *Host) updateLimited() { h.limited = h.warmingUp && h.warmupRate > 0 }

// SetWarmupRate sets the limit on a host that is warming up, in opening packets per second; 0 means no limit. version is that
// of the configuration. Limits of older ones are ignored, and so is 0 from a process of an earlier version, which has the
// same configuration but doesn't know of limits. It reports whether the limit changed.
func (h *Host) SetWarmupRate(version uint64, rate uint16) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version < h.warmupVersion || version == h.warmupVersion && rate <= h.warmupRate {
		return false
	}
	changed := rate != h.warmupRate
	h.warmupVersion, h.warmupRate = version, rate
	h.warmup.SetLimit(rate)
	h.updateLimited()
	return changed
}
