package packetagent

import (
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/platform"
)

// deliver gives a packet of a flow to the host, or back to the entry when the flow isn't here.
func (a *Agent) deliver(m *mesh.Message, s flow.Segment) {
	if a.hold(s) {
		a.toHost(m.Body, contextDeliver)
		return
	}
	if a.maySearch(m.Entry, s.Key) {
		a.toHost(m.Body, contextProbe)
		return
	}
	a.giveBack(m.Entry, s.Key, m.Body)
}

// hold notes a packet of the caller and says whether its flow is here.
func (a *Agent) hold(s flow.Segment) bool {
	shard := a.flows.Lock(s.Key)
	defer shard.Unlock()
	r := shard.Get(s.Key)
	if r == nil || !r.holds(s) {
		return false
	}
	r.fromCaller(s, a.cfg.Now(), a.load)
	return true
}

// giveBack tells an entry that a flow isn't here, with the packet.
func (a *Agent) giveBack(entry uint32, key flow.Key, packet []byte) {
	m := a.message(mesh.Missing, entry, key)
	m.Body = packet
	a.send(entry, &m)
	missing.Inc()
	if a.cfg.Log.Rare() {
		a.cfg.Log.Info("flow is not here", "flow", key.String(), "entry", addr(entry))
	}
}

// search delivers a packet if its flow is here or may be.
func (a *Agent) search(m *mesh.Message, s flow.Segment) {
	if a.hold(s) {
		a.toHost(m.Body, contextDeliver)
		a.tell(mesh.Taken, m.Entry, s.Key)
		return
	}
	// A host that is given an opening packet would open the flow.
	if !s.Opening && a.maySearch(m.Entry, s.Key) {
		a.toHost(m.Body, contextSearch)
	}
}

// maySearch says whether the host may have a flow that the agent doesn't know, and notes that an entry asked for it.
func (a *Agent) maySearch(entry uint32, key flow.Key) bool {
	if a.knowsAll.Load() || a.cfg.Now()-a.started > a.cfg.MaxFlowAge {
		return false
	}
	shard := a.searches.Lock(key)
	defer shard.Unlock()
	found := shard.Get(key)
	if found == nil {
		found = new(search)
		shard.Put(key, found)
	}
	found.entry, found.at = entry, a.cfg.Now()
	return !found.bounced
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
		r = &record{phase: idle, since: now, confirmed: true}
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
		if entry, asked := a.notHere(s.Key); asked && s.Context == contextProbe {
			a.giveBack(entry, s.Key, packet)
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
// again. It returns the entry that asked last, if one did.
func (a *Agent) notHere(key flow.Key) (entry uint32, asked bool) {
	shard := a.searches.Lock(key)
	defer shard.Unlock()
	found := shard.Get(key)
	if asked = found != nil; !asked {
		found = new(search)
		shard.Put(key, found)
	}
	found.bounced, found.at = true, a.cfg.Now()
	return found.entry, asked
}
