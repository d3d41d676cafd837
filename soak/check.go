package soak

import (
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
)

// minServed is the share of requests that must be answered in the last seconds, without faults.
const minServed = 0.95

// checkUnchanged checks that a host gets only packets that a caller sent so.
func (r *run) checkUnchanged(packet []byte, s flow.Segment) {
	r.mu.Lock()
	_, known := r.sent[essence(packet)]
	r.mu.Unlock()
	if !known {
		r.fail("a packet of %s that its caller did not send so", s.Key)
	}
}

// opened checks a new flow at a host; the host is locked.
func (r *run) opened(h *host, key flow.Key) {
	r.mu.Lock()
	r.report.Opened++
	dropped := r.dropped
	r.mu.Unlock()
	if h.service != packettest.FirstService {
		r.fail("flow %s was opened at service %s", key, h.service)
	}
	calm := h.agent.calm(calmBefore)
	if !h.drained.IsZero() && time.Since(h.drained) > drainWithin && calm {
		r.fail("flow %s was opened at host %s, %s after its drain was acknowledged", key, h.ip, time.Since(h.drained))
	}
	if key.Service == changesAt && !dropped.IsZero() && time.Since(dropped) > configWithin && calm && r.entriesCalm() {
		r.fail("flow %s was opened on a route that was dropped %s before", key, time.Since(dropped))
	}
}

// entriesCalm says whether all entries have run undisturbed with the store in reach.
func (r *run) entriesCalm() bool {
	for _, p := range r.entries {
		if !p.calm(calmBefore) {
			return false
		}
	}
	return r.proxy.mode.Load() == passing && !r.store.Switches().Outage
}

// checkReset checks that a flow that was reset isn't open at a host that lives.
func (r *run) checkReset(key flow.Key, first uint32) {
	for _, h := range r.hosts {
		if h.owns(key, first) {
			r.fail("flow %s was reset while host %s has it", key, h.ip)
		}
	}
}

// checkRecovery checks that callers are served again after the faults. The
// first half of the time without faults is for what still waits.
func (r *run) checkRecovery() {
	answered, all := 0, 0
	r.mu.Lock()
	from := int((r.cfg.Time + r.cfg.Settle/2) / time.Second)
	for n, s := range r.report.Seconds {
		if n >= from {
			answered += s.Answered
			all += s.Answered + s.Failed
		}
	}
	r.mu.Unlock()
	if all == 0 || float64(answered) < minServed*float64(all) {
		r.fail("after the faults only %d of %d requests were answered", answered, all)
	}
}
