package packetagent

import (
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtable"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/platform"
)

// handleDeliver sends a packet of a flow to the host, or returns it to the entry if the flow isn't at this
// host.
func (a *Agent) handleDeliver(m *mesh.Message, s flow.Segment) {
	location, directoriesDue := a.recordPacket(s)
	switch location {
	case flowAtHost:
		a.deliverToHost(m.Body, s)
		if directoriesDue {
			a.askDirectories(m.Origin, s.Key)
		}
		return
	case flowHeld:
		a.notify(mesh.KindTaken, m.Origin, s.Key)
		return
	case flowUnknown:
		if a.isUndecided(s) || a.awaitProbe(m, s) {
			return
		}
		if a.shouldProbe(m, s) {
			a.probe(m, s, contextProbe)
			return
		}
	case flowElsewhere:
		a.admitHeld()
	}
	a.returnMissing(m, s.Key, m.Body)
}

// flowLocation reports whether a flow is at the agent's own host, according to the agent's records.
type flowLocation uint8

const (
	flowUnknown flowLocation = iota
	// flowHeld is a flow that is queued until the host has room; its opening packet is sent to the host then.
	flowHeld
	// flowAtHost is a flow whose opening packet was sent to the host.
	flowAtHost
	// flowElsewhere is a flow that its caller opened at another host, although this host answered a copy of the
	// opening packet. This host would reset the caller's packets.
	flowElsewhere
)

// recordPacket updates the record of a flow for a packet of the caller, and returns the flow's location. directoriesDue reports
// whether an entry is to be asked for the flow's directory agents now.
func (a *Agent) recordPacket(s flow.Segment) (location flowLocation, directoriesDue bool) {
	shard := a.flows.Lock(s.Key)
	defer shard.Unlock()
	r := shard.Get(s.Key)
	switch {
	case r == nil:
		return flowUnknown, false
	case !r.matches(s):
		r.lastPacket = a.cfg.Now()
		a.giveUpCopy(shard, s.Key, r)
		return flowElsewhere, false
	case r.phase == held:
		r.lastPacket = a.cfg.Now()
		return flowHeld, false
	}
	now := a.cfg.Now()
	r.updateFromCaller(s, now, a.load)
	directoriesDue = now-r.directoriesAsked >= locationRefreshInterval
	if directoriesDue {
		r.directoriesAsked = now
	}
	return flowAtHost, directoriesDue
}

// giveUpCopy idles the record of a flow that its caller opened at another host, so that it occupies no slot. The caller
// gets no reset, as its flow is open. The shard must be locked.
func (a *Agent) giveUpCopy(shard *flowtable.Shard[record], key flow.Key, r *record) {
	switch {
	case r.confirmed || r.phase == ended:
	case r.phase == held:
		a.recordGivenUp(key, r)
		shard.Delete(key)
	default:
		// The record stays for as long as packets of the flow arrive, so that the host isn't probed with them.
		a.recordGivenUp(key, r)
		r.setPhase(idle, a.cfg.Now(), a.load)
	}
}

// recordGivenUp counts and logs a copy that is given up, once per flow.
func (a *Agent) recordGivenUp(key flow.Key, r *record) {
	if r.copyGivenUp {
		return
	}
	r.copyGivenUp = true
	copiesGivenUp.Inc()
	if a.cfg.Log.AllowRare() {
		a.cfg.Log.Info("copy given up: the caller opened the flow at another host", "flow", key.String(),
			"held", r.phase == held, "hostAnswered", r.hostSeqKnown)
	}
}

// returnMissing returns a packet to the entry that sent request, as its flow isn't at this host.
func (a *Agent) returnMissing(request *mesh.Message, key flow.Key, packet []byte) {
	m := a.newMessage(mesh.KindMissing, key)
	m.Step, m.Body = request.Step, packet
	a.send(request.Origin, &m)
	missing.Inc()
	if a.cfg.Log.AllowRare() {
		a.cfg.Log.Info("packet returned: the flow is not at this host",
			"flow", key.String(), "entry", flow.IPText(request.Origin), "step", mesh.DirectoryPosition(request.Step))
	}
}

// handleSearch delivers a packet if its flow is or may be at this host, or forwards it to the agent that has
// the flow if this agent is a directory agent of the flow.
func (a *Agent) handleSearch(m *mesh.Message, s flow.Segment) {
	location, _ := a.recordPacket(s)
	if location == flowAtHost {
		a.deliverToHost(m.Body, s)
	}
	if location == flowAtHost || location == flowHeld {
		a.notify(mesh.KindTaken, m.Origin, s.Key)
		a.updateDirectories(s.Key, m.Directories, mesh.IsStepToSeveral(m.Step))
		return
	}
	if location == flowElsewhere {
		a.admitHeld()
	}
	if location == flowUnknown && a.awaitProbe(m, s) {
		return
	}
	if m.Step != mesh.StepAll && !m.Terms.Resent && a.forwardSearch(m, s.Key) {
		return
	}
	if location == flowUnknown && a.justifiesProbe(m, s) && a.shouldProbe(m, s) {
		context := contextSearch
		if m.Step != mesh.StepAll {
			context = contextProbe
		}
		a.probe(m, s, context)
		return
	}
	a.answerAbsence(m, s, location)
}

// answerAbsence answers a search for a flow that isn't at this host.
func (a *Agent) answerAbsence(m *mesh.Message, s flow.Segment, location flowLocation) {
	if m.Terms.Resent {
		// A directory agent forwarded the search, because this agent had announced that it has the flow.
		if location == flowUnknown && a.isUndecided(s) {
			return
		}
		a.withdrawLocation(s.Key, m.Directories)
	}
	if !mesh.IsStepToSeveral(m.Step) {
		a.returnMissing(m, s.Key, m.Body)
	}
}

// justifiesProbe reports whether a search for a flow without a record is reason enough to give its packet to the host. That the
// agent is asked as a directory agent is none. In a search at all agents, most hosts that get the packet are wrong ones, so
// that neither a host that is likely to have no unknown flows gets it, nor is it worth it for a caller that closes a flow. An
// opening packet would open the flow at the host.
func (a *Agent) justifiesProbe(m *mesh.Message, s flow.Segment) bool {
	return !s.IsSYN && (m.Terms.Resent || m.Step == mesh.StepAll && !s.IsFIN && !a.startedTogether.Load())
}

// forwardSearch forwards a search to the other agent that most likely has the flow, and reports whether one is known.
func (a *Agent) forwardSearch(m *mesh.Message, key flow.Key) bool {
	agent := a.lookUpLocation(key)
	if agent == 0 {
		lookupsNotFound.Inc()
		return false
	}
	lookupsFound.Inc()
	if a.cfg.Log.AllowRare() {
		a.cfg.Log.Info("search forwarded by a directory agent", "flow", key.String(), "agent", flow.IPText(agent),
			"entry", flow.IPText(m.Origin), "step", mesh.DirectoryPosition(m.Step))
	}
	// The search is marked so that it isn't forwarded twice.
	m.Terms.Resent = true
	a.send(agent, m)
	return true
}

// mayHaveUnknownFlows reports whether the host may have flows that this process has no record of.
func (a *Agent) mayHaveUnknownFlows() bool {
	return !a.allFlowsKnown.Load() && a.cfg.Now()-a.started <= a.cfg.MaxFlowAge
}

// isUndecided reports whether the host may have the flow of a packet that it wouldn't answer, so that the packet can't show
// whether it has. Such a packet is dropped; if it were returned, the flow would count as missing here.
func (a *Agent) isUndecided(s flow.Segment) bool {
	return s.DataBytes == 0 && !s.IsFIN && !s.IsSYN && a.mayHaveUnknownFlows()
}

// shouldProbe reports whether to probe the host for a flow that the agent has no record of, and records the
// search. A host is probed once per flow: if it has the flow it answers data, and if it doesn't it may still
// not bounce the packet, because it opened the flow from another copy of the opening packet.
func (a *Agent) shouldProbe(m *mesh.Message, s flow.Segment) bool {
	if s.DataBytes == 0 && !s.IsFIN || !a.mayHaveUnknownFlows() {
		return false
	}
	shard := a.searches.Lock(s.Key)
	defer shard.Unlock()
	found := shard.Get(s.Key)
	if found == nil {
		found = &search{at: a.cfg.Now()}
		shard.Put(s.Key, found)
	}
	found.entry, found.step = m.Origin, m.Step
	if m.Kind == mesh.KindSearch {
		found.directories = m.Directories
	}
	if found.bounced || found.probed {
		return false
	}
	found.probed, found.at = true, a.cfg.Now()
	found.probe = probe{seq: s.Seq, hasFIN: s.IsFIN, decided: found.at + a.cfg.AnswerTimeout}
	return true
}

// FromHost handles a packet sent by the host.
func (a *Agent) FromHost(packet []byte) {
	s, err := platform.DecodePacket(packet, platform.FromHost)
	if err != nil {
		badPackets.Inc()
		return
	}
	a.unansweredOpenings.Store(0)
	if s.IsBounced {
		platform.ClearMarks(packet)
		a.handleBounced(packet, s)
		return
	}
	now := a.cfg.Now()
	shard := a.flows.Lock(s.Key)
	r := shard.Get(s.Key)
	learned, outcome := r == nil, probeLearned
	if learned && s.IsRST {
		// The host answers a probe: the host doesn't have the flow, which may be open at another host.
		shard.Unlock()
		a.recordProbeAbsence(s.Key, probeReset)
		return
	}
	if learned && !s.IsSYN && !s.IsFIN && s.DataBytes == 0 {
		outcome = probeAcknowledged
		if !a.isProbeConfirmed(s.Key) {
			// A bare acknowledgement doesn't show that the flow is open here: the host also acknowledges the FIN of a flow
			// that has ended at it, such as a copy that the caller opened at another host.
			shard.Unlock()
			a.recordProbeAbsence(s.Key, outcome)
			a.cfg.ToCaller(s.Key.Caller, packet)
			return
		}
	}
	if s.IsRST && !r.confirmed {
		// The host gives up a flow that the caller hasn't opened here and may have opened at another host.
		r.updateFromHost(s, now, a.load)
		shard.Unlock()
		a.admitHeld()
		return
	}
	if learned {
		// The host answered the opening packet before this process started, or later than it waited. Any
		// other packet shows that the caller opened the flow here.
		r = &record{
			route: s.Key.Service, requests: 2, phase: idle, phaseStarted: now, opened: now, openedUnixMilli: a.cfg.UnixMilli(), confirmed: !s.IsSYN,
			directoriesAsked: now - locationRefreshInterval,
		}
		shard.Put(s.Key, r)
	}
	r.updateFromHost(s, now, a.load)
	shard.Unlock()
	a.cfg.ToCaller(s.Key.Caller, packet)
	a.admitHeld()
	if learned {
		a.notifyLearned(s.Key, outcome)
	}
}

// notifyLearned notifies the entry that searched for a flow that the host has it, and the directory agents if they are
// known. outcome is the outcome of a probe that led to it.
func (a *Agent) notifyLearned(key flow.Key, outcome probeOutcome) {
	shard := a.searches.Lock(key)
	found := shard.Get(key)
	shard.Delete(key)
	shard.Unlock()
	learnedFlows.Inc()
	if found != nil && found.awaitsOutcome() {
		if outcome == probeLearned {
			// The line below tells it.
			probeOutcomes[outcome].Inc()
		} else {
			a.logProbeOutcome(key, outcome)
		}
	}
	if found != nil && found.entry != 0 {
		a.askDirectories(found.entry, key)
		shard := a.flows.Lock(key)
		if r := shard.Get(key); r != nil {
			r.directoriesAsked = a.cfg.Now()
		}
		shard.Unlock()
	}
	if found != nil {
		a.updateDirectories(key, found.directories, false)
	}
	if a.cfg.Log.AllowRare() {
		a.cfg.Log.Info("flow learned from its host", "flow", key.String(), "searched", found != nil, "probed", found != nil && found.probed)
	}
	if found != nil {
		a.resume(found.probe.waiting)
	}
}

// handleBounced handles a packet that the host rejected.
func (a *Agent) handleBounced(packet []byte, s flow.Segment) {
	bounces.Inc()
	switch s.Context {
	case contextSearch, contextProbe:
		a.recordBounce(s)
		if search := a.recordProbeAbsence(s.Key, probeBounced); search.entry != 0 && s.Context == contextProbe {
			a.returnMissing(&mesh.Message{Origin: search.entry, Step: search.step}, s.Key, packet)
		}
		return
	case contextOffer, contextDeliver:
	default:
		if a.cfg.Log.AllowRare() {
			a.cfg.Log.Warn("bounced packet with an unknown context", "flow", s.Key.String(), "context", s.Context)
		}
		return
	}
	shard := a.flows.Lock(s.Key)
	r := shard.Get(s.Key)
	if r == nil {
		shard.Unlock()
		return
	}
	offer, lost := r.offer, r.confirmed && !s.IsSYN && r.phase != ended
	if s.IsSYN && offer == nil {
		// This is a retransmitted opening packet; the host accepted the flow before.
		shard.Unlock()
		return
	}
	r.setPhase(ended, a.cfg.Now(), a.load)
	shard.Delete(s.Key)
	shard.Unlock()
	a.admitHeld()
	switch {
	case offer != nil:
		a.recordAbsence(s.Key)
		if _, known := a.host.Current(); !known {
			// The host isn't running yet; its first heartbeat opens it.
			a.load.SetOpen(false)
		}
		a.decline(s.Key, offer, "bounced")
	case lost:
		// The host has restarted, unless it gave the flow up.
		a.load.SetWarmingUp(true)
		// The host no longer has the flow, so no host has it.
		a.resetFlow(s.Key, s.Ack)
		resets.Inc()
		if a.cfg.Log.AllowRare() {
			a.cfg.Log.Warn("flow reset", "flow", s.Key.String(), "why", "the host no longer has the flow")
		}
	}
}

// searchOf returns the search for a flow, and adds one if there is none. The shard must be locked.
func searchOf(shard *flowtable.Shard[search], key flow.Key) *search {
	found := shard.Get(key)
	if found == nil {
		found = new(search)
		shard.Put(key, found)
	}
	return found
}

// recordUnanswered records the directory agents of a flow whose opening packet the host left unanswered for too long.
func (a *Agent) recordUnanswered(key flow.Key, directories [mesh.DirectoryCount]uint32) {
	shard := a.searches.Lock(key)
	defer shard.Unlock()
	found := searchOf(shard, key)
	found.directories, found.at = directories, a.cfg.Now()
}

// recordAbsence records that the host doesn't have a flow, so that it isn't probed again. It returns the
// search for the flow as it was before, whose entry is 0 if there was none.
func (a *Agent) recordAbsence(key flow.Key) search {
	shard := a.searches.Lock(key)
	defer shard.Unlock()
	found := searchOf(shard, key)
	previous := *found
	found.bounced, found.at, found.probe = true, a.cfg.Now(), probe{}
	return previous
}
