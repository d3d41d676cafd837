package placement

import (
	"math"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

// expectedLatency returns the time after which the host would have answered a flow of the given expected work, plus the
// expected cost of its failures and, for a route with long flows, what the standing load will cost its later requests. Those costs
// only rank the host behind others: they never raise the result above the hold limit, so that a flow is refused for lack of
// time only.
func (h *Host) expectedLatency(key flow.Key, t mesh.Terms, work time.Duration, ahead workAhead, now time.Duration) time.Duration {
	target := t.TargetLatency.Duration()
	d := h.expectedWait(target, ahead, now) + work
	later := h.failures.expectedCost(target, now)
	if h.costs.HasLongFlows(key.Service) {
		later += time.Duration(ahead.standing.Seconds() / float64(h.slots) * standingCostTargets * float64(target))
	}
	return max(d, min(d+later, h.cfg.HoldLimit))
}

// standingCostTargets is the wait that a flow's later requests expect at a host whose slots its open flows fill, in
// multiples of the route's target. With it, hosts without a free slot are compared by their standing load unless the wait
// of the first request differs by as much.
const standingCostTargets = 0.5

// expectedWait returns the time until a request that arrives now begins to run. Held flows that can't meet
// their target don't delay it, as it is served before them; each still adds a little, so that of two hosts
// the one with fewer such flows is preferred. While the host may be warming up, its limit may delay the request further.
func (h *Host) expectedWait(target time.Duration, ahead workAhead, now time.Duration) time.Duration {
	meetingTarget, heldWork := h.held.meetingTarget(now, h.requestDelay)
	wait := time.Duration(len(h.held)-meetingTarget) * time.Millisecond
	delay := h.warmupDelay(target, meetingTarget, now)
	if h.inUse()+meetingTarget < h.slots {
		return max(wait, delay)
	}
	slots := time.Duration(h.slots)
	// The first slot becomes free after a slots' part of what runs in all of them.
	return max(wait+(ahead.running/slots+ahead.waiting+heldWork)/slots, delay)
}

// warmupDelay returns the time for which the limit of a host that may be warming up delays a request that arrives now, of
// which meetingTarget held flows can meet their target.
func (h *Host) warmupDelay(target time.Duration, meetingTarget int, now time.Duration) time.Duration {
	if !h.limited {
		return 0
	}
	wait := h.warmupWait(meetingTarget, now)
	if wait+h.serviceTime > target {
		// It doesn't meet its target either, so that it is served after the others.
		wait = h.warmupWait(len(h.held), now)
	}
	return wait
}

// minRemaining is the least remaining time of a running request, as a part of its expected time. Service times have a long
// tail, so that a request that has run for longer than expected is not about to end.
const minRemaining = 2

// workAhead is the work of a host at a moment.
type workAhead struct {
	// running is the expected remaining time of the requests that occupy slots, pending ones included, waiting that of those
	// that wait for a slot, and standing the standing load of a second.
	running, waiting, standing time.Duration
}

func (h *Host) workAhead(now time.Duration) (w workAhead) {
	for i, r := range h.requests {
		switch {
		case i >= h.slots:
			w.waiting += r.expected
		case r.started < 0:
			w.running += r.expected
		default:
			w.running += max(r.expected-(now-r.started), r.expected/minRemaining)
		}
	}
	w.standing = h.costs.StandingLoad(now, h.serviceTime)
	free := max(h.slots-len(h.requests), 0)
	if h.pendingFlows <= free {
		w.running += h.pendingWork
		return w
	}
	inSlots := h.pendingWork * time.Duration(free) / time.Duration(h.pendingFlows)
	w.running += inSlots
	w.waiting += h.pendingWork - inSlots
	return w
}

// loadOf returns the load. A host that may not be given a flow yet counts as so busy that Order ranks it as full until it
// may, although the reported load loses weight with its age.
func (h *Host) loadOf(w workAhead, now time.Duration) mesh.Load {
	busy, work := h.inUse()+len(h.held), w.running+w.waiting+h.held.work()+w.standing
	if h.limited {
		if wait := h.warmupWait(len(h.held), now); wait > 0 {
			full := h.slots + int(math.Ceil(float64(h.slots)*float64(wait)/float64(loadHalfLife)))
			busy = min(max(busy, full), math.MaxUint16)
			work = max(work, w.standing+time.Duration(full)*h.serviceTime)
		}
	}
	return mesh.Load{
		Busy: uint16(busy), Slots: uint16(h.slots), ServiceTime: mesh.MillisOf(h.serviceTime),
		Open: h.accepts(), Faulty: h.failures.faulty,
		WorkMs:     uint16(max(mesh.MillisOf(work), 1)),
		StandingMs: uint16(mesh.MillisOf(w.standing)),
	}
}

// Load returns the current load.
func (h *Host) Load(now time.Duration) mesh.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loadOf(h.workAhead(now), now)
}
