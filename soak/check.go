package soak

import (
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
)

// minAnsweredShare is the minimum share of requests that must be answered after the faults.
const minAnsweredShare = 0.95

// checkUnchanged checks that a packet at a host equals one that a caller sent.
func (r *run) checkUnchanged(packet []byte, s flow.Segment) {
	r.mu.Lock()
	_, sent := r.sentPackets[withoutMarks(packet)]
	r.mu.Unlock()
	if !sent {
		r.fail("a host received a packet of flow %s that differs from what its caller sent", s.Key)
	}
}

// checkOpened checks a flow newly opened at a host. h.mu is held.
func (r *run) checkOpened(h *host, key flow.Key) {
	r.mu.Lock()
	r.report.Opened++
	droppedAt := r.routeDroppedAt
	r.mu.Unlock()
	if h.service != packettest.FirstService {
		r.fail("flow %s was opened at service %s", key, h.service)
	}
	undisturbed := h.agent.undisturbedFor(undisturbedTime)
	if !h.drainAckedAt.IsZero() && time.Since(h.drainAckedAt) > maxDrainDelay && undisturbed {
		r.fail("flow %s was opened at host %s, %s after its drain was acknowledged", key, h.ip, time.Since(h.drainAckedAt))
	}
	if key.Service == toggledRouteAddr && !droppedAt.IsZero() && time.Since(droppedAt) > maxConfigDelay && undisturbed && r.storeAndEntriesUndisturbed() {
		r.fail("flow %s was opened on a route removed %s earlier", key, time.Since(droppedAt))
	}
}

// storeAndEntriesUndisturbed reports whether all entries have run undisturbed and the store is reachable now.
func (r *run) storeAndEntriesUndisturbed() bool {
	for _, p := range r.entries {
		if !p.undisturbedFor(undisturbedTime) {
			return false
		}
	}
	return r.proxy.mode.Load() == passing && !r.store.Switches().Outage
}

// checkReset checks that a flow that was reset isn't open at a running host.
func (r *run) checkReset(key flow.Key, initialSeq uint32) {
	for _, h := range r.hosts {
		if h.owns(key, initialSeq) {
			r.fail("flow %s was reset while host %s has it", key, h.ip)
		}
	}
}

// checkRecovery checks that requests are answered again after the faults. The first half of the time
// without faults is left out, to let outstanding work complete.
func (r *run) checkRecovery() {
	answered, total := 0, 0
	r.mu.Lock()
	from := int((r.cfg.FaultTime + r.cfg.SettleTime/2) / time.Second)
	for n, s := range r.report.Seconds {
		if n >= from {
			answered += s.Answered
			total += s.Answered + s.Failed
		}
	}
	r.mu.Unlock()
	if total == 0 || float64(answered) < minAnsweredShare*float64(total) {
		r.fail("only %d of %d requests were answered after the faults", answered, total)
	}
}
