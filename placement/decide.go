package placement

import (
	"time"

	"endiveflow.example/endiveflow/cost"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

// Action is what an agent does with an offer.
type Action uint8

// Actions on an offer.
const (
	// Take gives the flow to the agent's host.
	Take Action = iota + 1
	// Hold queues the flow until the host has room for it.
	Hold
	// Pass sends the offer to the next candidate.
	Pass
	// Return sends the offer to the best candidate, which must take or hold it.
	Return
	// Refuse resets the flow: no candidate can serve it before its caller gives up.
	Refuse
)

// String returns the name of the action.
func (a Action) String() string {
	names := [...]string{"none", "take", "hold", "pass", "return", "refuse"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// Decision is the answer to an offer.
type Decision struct {
	Action Action
	// Terms are the terms with which the offer continues.
	Terms mesh.Terms
	// ExpectedLatency is the time after which this host would have answered.
	ExpectedLatency time.Duration
	// Load is the load that the decision is based on.
	Load mesh.Load
	// WarmupWait is the time until the host may be given the flow, as it is or may be warming up; 0 if it may be now.
	WarmupWait time.Duration
}

// Decide answers an offer that has count candidates. After Take the flow is pending until RequestArrived or
// RequestEnded; a held flow is returned by one of the Dequeue methods later.
func (h *Host) Decide(key flow.Key, t mesh.Terms, count uint8, now time.Duration) Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures.updateFaulty(now)
	h.costs.SetTypical(key.Service, t.TypicalServiceTime.Duration(), now)
	work := h.costs.Expected(cost.Class{Route: key.Service}, now, h.serviceTime)
	ahead := h.workAhead(now)
	d := Decision{
		Terms: t, ExpectedLatency: h.expectedLatency(key, t, work, ahead, now), Load: h.loadOf(ahead, now), WarmupWait: h.warmupWait(len(h.held), now),
	}
	switch {
	case !t.MustTake && d.WarmupWait == 0 && h.canTakeNow(t):
		h.admit(work, now)
		d.Action = Take
	case t.MustTake:
		d.Action = h.takeOrHold(key, t, work, now)
	default:
		if h.accepts() && (t.Best == mesh.NoCandidate || mesh.MillisOf(d.ExpectedLatency) < t.BestLatency) {
			d.Terms.Best, d.Terms.BestLatency = t.Current, mesh.MillisOf(d.ExpectedLatency)
		}
		d.Action = h.nextAction(key, &d.Terms, count, work, now)
	}
	return d
}

// canTakeNow reports whether a slot is free for the flow and the host is neither slow nor faulty compared
// with others.
func (h *Host) canTakeNow(t mesh.Terms) bool {
	return h.accepts() && h.inUse() < h.slots && len(h.held) == 0 && !h.isSlow(t) && !h.failures.faulty
}

// isSlow reports whether the host takes far longer than others for the requests that it ran. These may differ in cost from
// those of the offered flow, so that they are compared with the fleet's values for themselves, if these are known.
func (h *Host) isSlow(t mesh.Terms) bool {
	typical := h.typicalTime
	if typical == 0 {
		typical = t.TypicalServiceTime.Duration()
	}
	return typical > 0 && h.serviceTime > time.Duration(h.cfg.SlowFactor*float64(typical))
}

// accepts reports whether the host takes new flows.
func (h *Host) accepts() bool { return h.open && !h.evacuated }

// takeOrHold takes or holds a flow for which no other host is better, or refuses it.
func (h *Host) takeOrHold(key flow.Key, t mesh.Terms, work, now time.Duration) Action {
	switch {
	case !h.accepts() || h.expectedWait(t.TargetLatency.Duration(), h.workAhead(now), now) > h.cfg.HoldLimit:
		return Refuse
	case h.inUse() < h.admissionLimit() && len(h.held) == 0 && h.warmupWait(0, now) == 0:
		h.admit(work, now)
		return Take
	}
	h.held = append(h.held, heldFlow{key: key, work: work, priority: t.Priority, target: t.TargetLatency.Duration(), since: now - t.Waited.Duration(), handedOver: t.HandedOver})
	return Hold
}

// nextAction decides on an offer that this host did not take immediately, and updates its terms.
func (h *Host) nextAction(key flow.Key, t *mesh.Terms, count uint8, work, now time.Duration) Action {
	if t.Current+1 < count {
		t.Current++
		return Pass
	}
	if t.Best == mesh.NoCandidate || t.BestLatency.Duration() > h.cfg.HoldLimit {
		return Refuse
	}
	t.MustTake = true
	if t.Best == t.Current {
		return h.takeOrHold(key, *t, work, now)
	}
	t.Current = t.Best
	return Return
}

// Decline decides how an offer continues after its current candidate took the flow and the host did not accept
// it.
func Decline(t mesh.Terms, count uint8) Decision {
	d := Decision{Action: Refuse, Terms: t}
	if t.Best == t.Current {
		d.Terms.Best = mesh.NoCandidate
	}
	switch {
	case !t.MustTake && t.Current+1 < count:
		d.Terms.Current++
		d.Action = Pass
	case !t.MustTake && d.Terms.Best != mesh.NoCandidate:
		d.Terms.Current, d.Terms.MustTake = d.Terms.Best, true
		d.Action = Return
	}
	return d
}

// RestartWithout removes an agent that had to take an offer and can't from its candidates, and restarts the
// offer with the first of the others. It returns false if no candidate is left. Each restart has fewer
// candidates, so an offer always terminates.
func RestartWithout(m *mesh.Message, self uint32) bool {
	kept := uint8(0)
	for _, ip := range m.Candidates[:m.Count] {
		if ip != self {
			m.Candidates[kept] = ip
			kept++
		}
	}
	if kept == m.Count {
		// The agent isn't a candidate; drop another one so that the offer still terminates.
		kept--
	}
	m.Count = kept
	m.Terms.Current, m.Terms.Best, m.Terms.BestLatency, m.Terms.MustTake = 0, mesh.NoCandidate, 0, false
	return kept > 0
}
