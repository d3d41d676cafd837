package packetentry

import (
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtable"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
	"endiveflow.example/endiveflow/platform"
)

const (
	// settleTime is the time after its start in which an entry rejects no flow, and is not ready before its roster is
	// filled: it may not have heard of all agents yet, and their hosts may not have reported.
	settleTime = time.Second
	// parkInterval is the time between attempts to place parked flows, refusedPause the minimum time until a flow
	// that was refused is offered again.
	parkInterval = 10 * time.Millisecond
	refusedPause = 100 * time.Millisecond
	// maxParked bounds the number of parked flows. Further ones are dropped; their callers send another copy.
	maxParked = 4096
)

// Parked flows are those that can't be placed yet for lack of knowledge: the entry has no configuration, no agent of
// the service that takes flows, or a refusal that it can't rely on. They wait until an agent takes flows, or
// until their callers' attempts end. This answers a start of all processes at once: a caller that is rejected
// there uses up its attempts within milliseconds, and one that is ignored waits for its next copy.

// park parks a flow and unlocks the shard.
func (e *Entry) park(shard *flowtable.Shard[record], key flow.Key, r *record, pause time.Duration) {
	r.parked, r.retryAt = true, e.cfg.Now()+pause
	e.timersMu.Lock()
	full := len(e.parked) >= maxParked
	if !full {
		e.parked = append(e.parked, key)
	}
	e.timersMu.Unlock()
	if full {
		shard.Delete(key)
	}
	shard.Unlock()
	if full {
		noAgents.Inc()
		return
	}
	parkedFlows.Inc()
	e.cfg.ScheduleTick(parkInterval)
}

// placeParked offers parked flows. In each round, a service gets as many as its hosts have slots: agents that
// begin to take flows one after the other share the flows that have waited for them.
func (e *Entry) placeParked(now time.Duration) {
	e.timersMu.Lock()
	keys := e.parked
	e.parked = nil
	e.timersMu.Unlock()
	if len(keys) == 0 {
		return
	}
	table := e.cfg.Routes.Current()
	slots := make(map[string]int)
	var waiting []flow.Key
	for _, key := range keys {
		shard := e.flows.Lock(key)
		r := shard.Get(key)
		if r == nil || !r.parked {
			shard.Unlock()
			continue
		}
		if now-r.callerStarted > placement.DefaultHoldLimit {
			shard.Delete(key)
			shard.Unlock()
			noAgents.Inc()
			continue
		}
		route, known := table.Find(key.Service)
		if !known && table != nil {
			shard.Delete(key)
			shard.Unlock()
			e.resetUnopened(key, r)
			continue
		}
		service := route.Service(key)
		if _, counted := slots[service]; known && !counted {
			slots[service] = e.placeableFlows(service)
		}
		if !known || now < r.retryAt || slots[service] <= 0 {
			shard.Unlock()
			waiting = append(waiting, key)
			continue
		}
		slots[service]--
		r.parked = false
		e.sendOffer(shard, key, r, route)
	}
	e.timersMu.Lock()
	e.parked = append(e.parked, waiting...)
	e.timersMu.Unlock()
}

// placeableFlows returns the number of parked flows of a service to place now: the slots of its hosts that take flows, or all
// of them if none ever will while its zones are evacuated.
func (e *Entry) placeableFlows(service string) int {
	if e.mustReject(service) {
		return maxParked
	}
	return e.roster.openSlots(service)
}

// mustReject reports whether all hosts of a service are in evacuated zones, as far as an entry can tell that has run for a
// while.
func (e *Entry) mustReject(service string) bool {
	return e.cfg.Now()-e.started >= settleTime && e.roster.isEvacuated(service)
}

// resetUnopened resets a flow that was not offered to any host.
func (e *Entry) resetUnopened(key flow.Key, r *record) {
	if s, err := platform.DecodePacket(r.openingPacket, platform.FromCaller); err == nil {
		e.resetFlow(key, s.Seq)
	}
}

// rejectEvacuated ends the placement of a flow whose service has hosts in evacuated zones only; it unlocks the shard. No wait
// can help the caller until the operator takes a zone back. A flow that another entry or an agent may have isn't reset.
func (e *Entry) rejectEvacuated(shard *flowtable.Shard[record], key flow.Key, r *record, service string) {
	shard.Delete(key)
	shard.Unlock()
	evacuatedFlows.Inc()
	if r.firstCopy && r.offerCount == 0 {
		e.resetUnopened(key, r)
	}
	if e.cfg.Log.AllowRare() {
		e.cfg.Log.Warn("open", "flow", key.String(), "outcome", "refused", "why", "all zones of the service are evacuated", "service", service)
	}
}

// handleRefused handles a refusal by an agent that held the flow, or the answer that no candidate of an offer takes it; it unlocks
// the shard. r may be nil.
func (e *Entry) handleRefused(shard *flowtable.Shard[record], m *mesh.Message, r *record) {
	switch {
	case m.Step == mesh.RefusedHeld && r.isOnlyAt(m.Origin):
		e.rejectHeld(shard, m.Flow, r)
	case r.awaitsAnswer():
		e.handleRefusal(shard, m.Flow, r)
	default:
		shard.Unlock()
	}
}

// handleRefusal handles the answer of an agent that no candidate of an offer takes the flow; it unlocks the shard.
func (e *Entry) handleRefusal(shard *flowtable.Shard[record], key flow.Key, r *record) {
	switch {
	case !e.isSettled(key):
		r.offerCount--
		e.park(shard, key, r, refusedPause)
	case r.offerCount == 1 && r.firstCopy:
		shard.Delete(key)
		shard.Unlock()
		refusedFlows.Inc()
		e.resetUnopened(key, r)
		if e.cfg.Log.AllowRare() {
			e.cfg.Log.Info("open", "flow", key.String(), "outcome", "refused", "why", "no host can serve it in time", "config", e.cfg.Routes.Version())
		}
	default:
		// An agent that did not answer an earlier offer, or one that another entry asked, may have the flow.
		shard.Delete(key)
		shard.Unlock()
	}
}

// isOnlyAt reports whether a flow was offered once and taken by an agent, so that no other agent can have it. r may be nil.
func (r *record) isOnlyAt(agent uint32) bool {
	return r != nil && r.taken && r.agent == agent && r.firstCopy && r.offerCount == 1 && r.others == holders{}
}

// rejectHeld resets a flow that its agent held for too long; it unlocks the shard. The caller of a flow that isn't open accepts
// any number, and one that has opened it through another entry accepts only numbers close to its own.
func (e *Entry) rejectHeld(shard *flowtable.Shard[record], key flow.Key, r *record) {
	shard.Delete(key)
	shard.Unlock()
	refusedFlows.Inc()
	const noNumber = 0
	e.resetFlow(key, noNumber)
	if e.cfg.Log.AllowRare() {
		e.cfg.Log.Info("open", "flow", key.String(), "outcome", "refused", "why", "held too long", "heldMs", (e.cfg.Now() - r.offerUpdated).Milliseconds())
	}
}

// isSettled reports whether the entry knows enough of the agents of a flow's service to rely on a refusal.
func (e *Entry) isSettled(key flow.Key) bool {
	route, known := e.cfg.Routes.Current().Find(key.Service)
	return known && e.cfg.Now()-e.started >= settleTime && !e.roster.hasUnknownHost(route.Service(key))
}
