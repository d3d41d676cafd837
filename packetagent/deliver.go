package packetagent

import (
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/platform"
)

// deliver gives a packet of a flow to the host, or back to the entry when the flow isn't here.
func (a *Agent) deliver(m *mesh.Message, s flow.Segment) {
	switch a.noted(s) {
	case flowHere:
		a.toHost(m.Body, contextDeliver)
		return
	case flowHeld:
		a.tell(mesh.Taken, m.Entry, s.Key)
		return
	}
	if a.maySearch(m, s) {
		a.toHost(m.Body, contextProbe)
		return
	}
	a.giveBack(m, s.Key, m.Body)
}

// whereabouts says what an agent knows of a flow.
type whereabouts uint8

const (
	flowUnknown whereabouts = iota
	// flowHeld waits for room in the host. Its opening packet is given to the host when its turn comes.
	flowHeld
	// flowHere is at the host, or its opening packet was given to the host.
	flowHere
)

// noted notes a packet of the caller and says where its flow is.
func (a *Agent) noted(s flow.Segment) whereabouts {
	shard := a.flows.Lock(s.Key)
	defer shard.Unlock()
	r := shard.Get(s.Key)
	switch {
	case r == nil || !r.holds(s):
		return flowUnknown
	case r.phase == held:
		r.touched = a.cfg.Now()
		return flowHeld
	}
	r.fromCaller(s, a.cfg.Now(), a.load)
	return flowHere
}

// giveBack tells the entry that asked that a flow isn't here, with the packet.
func (a *Agent) giveBack(asked *mesh.Message, key flow.Key, packet []byte) {
	m := a.message(mesh.Missing, key)
	m.Step, m.Body = asked.Step, packet
	a.send(asked.Entry, &m)
	missing.Inc()
	if a.cfg.Log.Rare() {
		a.cfg.Log.Info("flow is not here", "flow", key.String(), "entry", flow.IPText(asked.Entry), "step", asked.Step)
	}
}

// search delivers a packet if its flow is here or may be, or sends it to the
// agent that has the flow if this one is its home.
func (a *Agent) search(m *mesh.Message, s flow.Segment) {
	if where := a.noted(s); where != flowUnknown {
		if where == flowHere {
			a.toHost(m.Body, contextDeliver)
		}
		a.tell(mesh.Taken, m.Entry, s.Key)
		return
	}
	if other := a.whereIs(s.Key); other != 0 && m.Step < mesh.StepAll && !m.Offered.Copy {
		// Copy keeps the search from being sent on twice.
		m.Offered.Copy = true
		a.send(other, m)
		return
	}
	// A host that is given an opening packet would open the flow.
	if !s.Opening && a.maySearch(m, s) {
		context := contextSearch
		if m.Step < mesh.StepAll {
			context = contextProbe
		}
		a.toHost(m.Body, context)
		return
	}
	if m.Step < mesh.StepAll {
		a.giveBack(m, s.Key, m.Body)
	}
}

// maySearch says whether to ask the host for a flow that the agent doesn't
// know, and notes that an entry asked for it. A host is asked once: one that has the flow answers
// data, and one that doesn't need not bounce it, if it has another half of the flow.
func (a *Agent) maySearch(m *mesh.Message, s flow.Segment) bool {
	if s.Data == 0 && !s.Ending || a.knowsAll.Load() || a.cfg.Now()-a.started > a.cfg.MaxFlowAge {
		return false
	}
	shard := a.searches.Lock(s.Key)
	defer shard.Unlock()
	found := shard.Get(s.Key)
	if found == nil {
		found = &search{at: a.cfg.Now()}
		shard.Put(s.Key, found)
	}
	found.entry, found.step = m.Entry, m.Step
	if found.bounced || found.given {
		return false
	}
	found.given, found.at = true, a.cfg.Now()
	return true
}

// FromHost takes a packet that the host sent.
func (a *Agent) FromHost(packet []byte) {
	s, err := platform.DecodePacket(packet, platform.FromHost)
	if err != nil {
		badPackets.Inc()
		return
	}
	a.silent.Store(0)
	if s.Bounced {
		platform.ClearMarks(packet)
		a.bounced(packet, s)
		return
	}
	now := a.cfg.Now()
	shard := a.flows.Lock(s.Key)
	r := shard.Get(s.Key)
	learned := r == nil
	if learned && s.Resetting {
		// The answer to a search: the host doesn't have the flow, which may be open elsewhere.
		shard.Unlock()
		a.notHere(s.Key)
		return
	}
	if learned {
		// The host opened the flow before this process started.
		r = &record{phase: idle, since: now, opened: now, openedAt: a.cfg.UnixMilli(), confirmed: true}
		shard.Put(s.Key, r)
	}
	r.fromHost(s, now, a.load)
	shard.Unlock()
	a.cfg.ToCaller(s.Key.Caller, packet)
	a.serveHeld()
	if learned {
		a.learn(s.Key)
	}
}

// learn tells the entry that searched for a flow that it is here.
func (a *Agent) learn(key flow.Key) {
	shard := a.searches.Lock(key)
	found := shard.Get(key)
	shard.Delete(key)
	shard.Unlock()
	learnedFlows.Inc()
	if found != nil {
		a.tell(mesh.Taken, found.entry, key)
	}
	if a.cfg.Log.Rare() {
		a.cfg.Log.Info("flow learned from its host", "flow", key.String(), "searched", found != nil)
	}
}

// bounced handles a packet that the host did not accept.
func (a *Agent) bounced(packet []byte, s flow.Segment) {
	bounces.Inc()
	switch s.Context {
	case contextSearch, contextProbe:
		if asked := a.notHere(s.Key); asked.entry != 0 && s.Context == contextProbe {
			a.giveBack(&mesh.Message{Entry: asked.entry, Step: asked.step}, s.Key, packet)
		}
		return
	case contextOffer, contextDeliver:
	default:
		if a.cfg.Log.Rare() {
			a.cfg.Log.Warn("bounced packet without a context of this agent", "flow", s.Key.String(), "context", s.Context)
		}
		return
	}
	shard := a.flows.Lock(s.Key)
	r := shard.Get(s.Key)
	if r == nil {
		shard.Unlock()
		return
	}
	kept, lost := r.offer, r.confirmed && !s.Opening && r.phase != ended
	if s.Opening && kept == nil {
		// A copy of an opening packet; the flow itself was accepted.
		shard.Unlock()
		return
	}
	r.moveTo(ended, a.cfg.Now(), a.load)
	shard.Delete(s.Key)
	shard.Unlock()
	a.serveHeld()
	switch {
	case kept != nil:
		a.notHere(s.Key)
		if _, known := a.host.Current(); !known {
			// The host isn't there yet; its first heartbeat opens it.
			a.load.SetOpen(false)
		}
		a.decline(s.Key, kept, "bounced")
	case lost:
		// The host had the flow and has it no more, so no host has it.
		a.reset(s.Key, s.Ack)
		resets.Inc()
		if a.cfg.Log.Rare() {
			a.cfg.Log.Warn("flow reset", "flow", s.Key.String(), "why", "its host no longer has it")
		}
	}
}

// notHere remembers that the host doesn't have a flow, so that it isn't asked
// again. It returns the search for the flow, whose entry is 0 when there was none.
func (a *Agent) notHere(key flow.Key) search {
	shard := a.searches.Lock(key)
	defer shard.Unlock()
	found := shard.Get(key)
	if found == nil {
		found = new(search)
		shard.Put(key, found)
	}
	found.bounced, found.at = true, a.cfg.Now()
	return *found
}
