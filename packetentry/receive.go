package packetentry

import (
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtable"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/rotation"
)

// Receive handles a datagram from another process.
func (e *Entry) Receive(datagram []byte) {
	e.traffic.received.Add(uint64(len(datagram)))
	var m mesh.Message
	if err := m.Decode(datagram); err != nil {
		badDatagrams.Inc()
		return
	}
	if m.ConfigVersion > e.cfg.Routes.Version() && m.Origin != 0 {
		e.cfg.NewerConfig(m.Origin)
	}
	switch m.Kind {
	case mesh.KindMarker:
		if m.Origin == e.cfg.IP {
			e.handleMarker()
		}
	case mesh.KindEcho:
		e.answerEcho(m.Origin)
	case mesh.KindEchoed:
		e.isolation.echoAnswered(m.Origin, m.Step == mesh.EchoedHearsAgents)
		e.roster.echoAnswered(m.Origin)
	case mesh.KindAgentReport:
		e.isolation.agentHeard(e.cfg.Now())
		e.handleAgentReport(&m)
	case mesh.KindEntryReport:
		e.handleEntryReport(&m)
	case mesh.KindTaken, mesh.KindPassed, mesh.KindRefused, mesh.KindMissing:
		e.isolation.agentHeard(e.cfg.Now())
		e.receiveNotice(&m)
	case mesh.KindFlowQuery:
		e.answerFlowQuery(&m)
	case mesh.KindFlowHolder:
		e.handleFlowHolder(&m)
	case mesh.KindAbsenceAnswer:
		e.isolation.agentHeard(e.cfg.Now())
		e.handleAbsenceAnswer(&m)
	default:
		badDatagrams.Inc()
	}
}

func (e *Entry) handleAgentReport(m *mesh.Message) {
	report, err := mesh.DecodeReport[mesh.AgentReport](m.Body)
	if err != nil || report.IP != m.Origin || report.Service == "" {
		badDatagrams.Inc()
		return
	}
	e.cfg.EvacuationsReported(report.Evacuations)
	isNew, changed := e.roster.updateAgent(report, m.Load)
	// The agent logs each change of its host itself, so that a sample of what entries learn is enough.
	if changed && e.cfg.Log.AllowOrdinary() {
		e.cfg.Log.Info("agent", "agent", flow.IPText(report.IP), "incarnation", report.Incarnation,
			"report", report.Version, "service", report.Service, "host", report.HostID, "state", report.HostState.String(),
			"leaving", report.Leaving, "warm", report.HostWarm, "slots", m.Load.Slots)
	}
	if isNew {
		e.cfg.PeerDiscovered(report.IP)
	}
}

func (e *Entry) handleEntryReport(m *mesh.Message) {
	report, err := mesh.DecodeReport[mesh.EntryReport](m.Body)
	if err != nil || report.IP != m.Origin {
		badDatagrams.Inc()
		return
	}
	if e.roster.updateEntry(report) {
		if e.cfg.Log.AllowOrdinary() {
			e.cfg.Log.Info("entry", "entry", flow.IPText(report.IP), "incarnation", report.Incarnation, "zone", report.Zone)
		}
		e.cfg.PeerDiscovered(report.IP)
	}
	e.cfg.StoreReported(report.Store)
	e.cfg.VersionRecorded(report.Store.Era, report.RecordedVersion)
	e.cfg.EvacuationsReported(report.Evacuations)
	e.moved.merge(movedRoutesOf(report, e.roster.serviceNames), e.cfg.Now())
	for _, ip := range report.Agents {
		if e.roster.agent(ip) == nil {
			e.cfg.PeerDiscovered(ip)
		}
	}
	if report.Zone == e.cfg.Zone {
		e.updateRotation()
	}
}

// receiveNotice records what an agent's message about a flow tells of the agent and the route, and handles the message.
func (e *Entry) receiveNotice(m *mesh.Message) {
	if a := e.roster.agent(m.Origin); a != nil {
		a.recordMessage(m.Load, e.cfg.Now())
	}
	if m.Kind != mesh.KindMissing {
		e.costs.record(m)
	}
	e.handleNotice(m)
	if m.Kind == mesh.KindTaken && m.Step == mesh.TakenAsksDirectories {
		e.sendDirectories(m)
	}
}

// handleNotice handles an agent's message about a flow.
func (e *Entry) handleNotice(m *mesh.Message) {
	var service mesh.ServiceID
	if m.Kind == mesh.KindTaken {
		service = e.serviceOf(m.Origin, m.Service, m.Flow)
	}
	shard := e.flows.Lock(m.Flow)
	r := shard.Get(m.Flow)
	var waiting [][]byte
	now, before := e.cfg.Now(), r.holder()
	if r.awaitsAnswer() {
		e.recordAnswerDelay(now - r.offerUpdated)
	}
	switch {
	case m.Kind == mesh.KindRefused:
		e.handleRefused(shard, m, r)
		return
	case m.Kind == mesh.KindTaken:
		r, waiting = e.noteTaken(shard, m, service, r, now)
	case m.Kind == mesh.KindMissing:
		if r.isLostWithout(m.Origin) {
			shard.Delete(m.Flow)
		}
	case m.Kind == mesh.KindPassed && r != nil && r.taken:
		r.handlePassedOn(m.Origin)
	case r.awaitsAnswer() && m.Terms.Current < m.Count:
		r.agent, r.offerUpdated = m.Candidates[m.Terms.Current], now
	}
	after := r.holder()
	shard.Unlock()
	e.logHolders(m, before, after)
	for _, packet := range waiting {
		e.deliver(m.Origin, service, packet)
	}
	if m.Kind == mesh.KindMissing {
		e.continueSearch(m)
	}
}

// noteTaken records that an agent of a service has taken a flow, of which r may be nil. It returns the record, and the packets that wait for a
// record of the flow and have not been sent to the agent; the shard must be locked.
func (e *Entry) noteTaken(shard *flowtable.Shard[record], m *mesh.Message, service mesh.ServiceID, r *record, now time.Duration) (taken *record, waiting [][]byte) {
	if r == nil {
		r = &record{lastPacket: now}
		shard.Put(m.Flow, r)
	}
	e.returnDrawn(r)
	if waiting = r.takeLookup(); len(waiting) > 0 {
		waiting = waiting[1:]
	}
	r.handleTaken(m.Origin, service)
	return r, waiting
}

// sendDirectories answers an agent that asks for the current directory agents of its flow. An entry that has just started may
// not know them.
func (e *Entry) sendDirectories(request *mesh.Message) {
	if e.cfg.Now()-e.started < settleTime {
		return
	}
	a := e.roster.agent(request.Origin)
	if a == nil {
		return
	}
	m := mesh.Message{
		Kind: mesh.KindLocated, Service: request.Service, ConfigVersion: e.cfg.Routes.Version(), Origin: request.Origin, Flow: request.Flow,
		Step: mesh.LocatedHere, Directories: e.roster.directories(a.report.Load().Service, request.Flow),
	}
	e.send(request.Origin, &m)
}

// Tick sends the query for lost flows that is due, and starts to handle the timers that are due. An agent may only be
// considered unresponsive after all datagrams that arrived before its timeout have been read: a slow entry must not
// mistake its own delay for the agent's. So Tick sends the entry itself a marker, and the timers are handled when the
// marker arrives. It returns the time until it must be called again, or 0 if there are no timers.
func (e *Entry) Tick() time.Duration {
	now := e.cfg.Now()
	e.placeParked(now)
	next := e.tickAbsences(now)
	e.timersMu.Lock()
	defer e.timersMu.Unlock()
	if len(e.parked) > 0 {
		next = parkInterval
	}
	for _, timers := range [][]timer{e.offerTimers, e.searchTimers, e.lookupTimers} {
		if len(timers) == 0 {
			continue
		}
		if remaining := max(timers[0].due-now, 0); next == 0 || remaining < next {
			next = max(remaining, time.Millisecond)
		}
		if timers[0].due <= now && (e.markerSent == 0 || now-e.markerSent > markerTimeout) {
			e.markerSent = now
			m := mesh.Message{Kind: mesh.KindMarker, Origin: e.cfg.IP}
			e.send(e.cfg.IP, &m)
		}
	}
	if next > 0 && e.markerSent != 0 && len(e.parked) == 0 {
		next = max(next, markerPollInterval)
	}
	return next
}

const (
	// markerTimeout is the time after which a marker is considered lost.
	markerTimeout = 200 * time.Millisecond
	// markerPollInterval is the minimum time between calls of Tick while a marker is outstanding.
	markerPollInterval = 5 * time.Millisecond
)

// handleMarker handles the timers that were due when the marker was sent.
func (e *Entry) handleMarker() {
	now := e.cfg.Now()
	e.timersMu.Lock()
	sent := e.markerSent
	e.markerSent = 0
	e.timersMu.Unlock()
	if sent == 0 {
		return
	}
	for _, timers := range []*[]timer{&e.offerTimers, &e.searchTimers} {
		for {
			t, ok := e.popDue(timers, sent)
			if !ok {
				break
			}
			e.retryOffer(t.key, now, timers == &e.searchTimers)
		}
	}
	for {
		t, ok := e.popDue(&e.lookupTimers, sent)
		if !ok {
			break
		}
		e.endLookup(t.key)
	}
}

// popDue removes and returns the first timer if it was due by cutoff.
func (e *Entry) popDue(timers *[]timer, cutoff time.Duration) (timer, bool) {
	e.timersMu.Lock()
	defer e.timersMu.Unlock()
	if len(*timers) == 0 || (*timers)[0].due > cutoff {
		return timer{}, false
	}
	t := (*timers)[0]
	*timers = (*timers)[1:]
	return t, true
}

// retryOffer offers a flow again that wasn't taken in time, or for the first time after a search.
func (e *Entry) retryOffer(key flow.Key, now time.Duration, searchDone bool) {
	shard := e.flows.Lock(key)
	r := shard.Get(key)
	if r == nil || r.taken || r.parked || r.openingPacket == nil || searchDone && r.offerCount > 0 {
		// The timer is one of an earlier offer or search. Parked flows are offered by placeParked only.
		shard.Unlock()
		return
	}
	if remaining := r.offerUpdated + e.offerTimeout() - now; !searchDone && remaining > 0 {
		// An agent passed the offer on to another one, whose time isn't up yet.
		shard.Unlock()
		e.startTimer(&e.offerTimers, timer{key, now + remaining})
		return
	}
	if !searchDone {
		e.recordUnresponsive(key, r)
	}
	route, ok := e.cfg.Routes.Current().Find(key.Service)
	if !ok || r.offerCount >= maxOffers {
		shard.Delete(key)
		shard.Unlock()
		gaveUp.Inc()
		if e.cfg.Log.AllowRare() {
			e.cfg.Log.Warn("open", "flow", key.String(), "outcome", "gave up", "offers", maxOffers)
		}
		return
	}
	if r.offerCount > 0 && e.repeats.take(1) == 0 {
		r.offerLapsed = true
		shard.Unlock()
		return
	}
	e.sendOffer(shard, key, r, route)
}

// recordUnresponsive records that the agent to which the offer was last sent did not answer.
func (e *Entry) recordUnresponsive(key flow.Key, r *record) {
	if r.offerCount > 0 {
		r.unresponsiveAgents[r.offerCount-1] = r.agent
	}
	unansweredOffers.Inc()
	if e.isolation.offerUnanswered(r.agent, r.offerUpdated, e.cfg.Now()) {
		e.sendEchoes()
	}
	if a := e.roster.agent(r.agent); a != nil {
		a.markUnresponsive(e.cfg.Now())
	}
	if e.cfg.Log.AllowRare() {
		e.cfg.Log.Warn("agent", "agent", flow.IPText(r.agent), "outcome", "silent", "flow", key.String(),
			"afterMs", (e.cfg.Now() - r.offerUpdated).Milliseconds(), "attempt", r.offerCount)
	}
}

// sendEchoes asks other entries for an answer, to learn whether this one is cut off.
func (e *Entry) sendEchoes() {
	entries, _ := e.roster.activePeers()
	entries = slices.DeleteFunc(entries, func(ip uint32) bool { return ip == e.cfg.IP })
	entries = entries[:min(len(entries), maxEchoes)]
	m := mesh.Message{Kind: mesh.KindEcho, ConfigVersion: e.cfg.Routes.Version(), Origin: e.cfg.IP}
	for _, ip := range entries {
		e.send(ip, &m)
	}
	e.isolation.echoesSent(len(entries), e.cfg.Now())
	e.cfg.Log.Warn("no agent answers", "asked", len(entries))
}

func (e *Entry) answerEcho(entry uint32) {
	m := mesh.Message{Kind: mesh.KindEchoed, ConfigVersion: e.cfg.Routes.Version(), Origin: e.cfg.IP}
	if e.isolation.hearsAgents(e.cfg.Now()) {
		m.Step = mesh.EchoedHearsAgents
	}
	e.send(entry, &m)
}

// Ready reports whether the entry should be in the rotation of the routers, and if it shouldn't, the reason. A spare entry could
// place flows, but entries of higher capacity take its share.
func (e *Entry) Ready() (bool, string) {
	switch state, reason := e.updateRotation(); state {
	case rotation.Active:
		return true, ""
	case rotation.Spare:
		return false, "spare"
	default:
		return false, reason
	}
}

// canPlace reports whether the entry can place flows, and if it can't, the reason.
func (e *Entry) canPlace() (bool, string) {
	switch {
	case e.stopping.Load():
		return false, "leaving"
	case e.cfg.Routes.Current() == nil:
		return false, "no configuration"
	case len(e.roster.allAgents()) == 0:
		return false, "no agents"
	case e.cfg.Now()-e.started < settleTime && !e.roster.isFilled():
		return false, "agents missing"
	case e.isolation.isCutOff(e.cfg.Now()):
		return false, "cut off"
	}
	return true, ""
}

// Stop makes the entry not ready; it still forwards packets. The other entries of the zone are told at once, so that spare
// ones return before the routers notice.
func (e *Entry) Stop() {
	e.stopping.Store(true)
	e.updateRotation()
}

// ActivePeers returns the addresses of the processes that sent a message recently.
func (e *Entry) ActivePeers() (entries, agents []uint32) { return e.roster.activePeers() }

// ZonePeers returns the addresses of the other entries of the availability zone that sent a message recently.
func (e *Entry) ZonePeers() []uint32 { return e.roster.zonePeers() }

// maxReportedPeers is the maximum number of entries and of agents that a report names. Which ones it names
// changes with each report, so that all are named in turn.
const maxReportedPeers = 8

// ReportMessage returns the encoded message that carries the entry's report, which contains the times until its next
// regular reports to the same entry and to the same agent.
func (e *Entry) ReportMessage(entryInterval, agentInterval time.Duration) ([]byte, error) {
	entries, agents := e.roster.activePeers()
	count := e.reportCount.Add(1)
	turn := int(count)
	moved, movedServices := e.moved.report(e.cfg.Now())
	body, err := mesh.EncodeReport(mesh.EntryReport{
		IP: e.cfg.IP, Incarnation: e.cfg.Incarnation, Zone: e.cfg.Zone,
		IntervalMs: uint32(entryInterval.Milliseconds()), AgentIntervalMs: uint32(agentInterval.Milliseconds()),
		Entries: selectPeers(entries, turn), Agents: selectPeers(agents, turn), AgentCount: uint32(len(agents)), Store: e.cfg.StoreStatus(),
		Evacuations: e.cfg.Evacuations.Current(), LinkBytesPerSecond: e.cfg.linkBytesPerSecond(), CPUMilli: e.cfg.cpuMilli(),
		LoadBytesPerSecond: e.traffic.perSecond(e.cfg.Now()), Rotation: mesh.RotationStatus{State: e.rotation.current(), Version: count},
		Moved: moved, MovedServices: movedServices, RecordedVersion: e.cfg.RecordedVersion(),
	})
	if err != nil {
		return nil, err
	}
	m := mesh.Message{Kind: mesh.KindEntryReport, ConfigVersion: e.cfg.Routes.Version(), Origin: e.cfg.IP, Body: body}
	return m.Append(nil), nil
}

// selectPeers returns up to maxReportedPeers addresses, different ones in each turn.
func selectPeers(all []uint32, turn int) []uint32 {
	if len(all) <= maxReportedPeers {
		return all
	}
	out := make([]uint32, 0, maxReportedPeers)
	for i := range maxReportedPeers {
		out = append(out, all[(turn*maxReportedPeers+i)%len(all)])
	}
	return out
}

// Sweep removes flows without recent packets and processes that have not sent a message for a long time. It
// must be called about once a second.
func (e *Entry) Sweep() {
	now, idle := e.cfg.Now(), e.cfg.Routes.IdleTimeout()
	e.flows.Sweep(func(_ flow.Key, r *record) bool { return now-r.lastPacket <= idle })
	e.sweepRotation()
	for _, ip := range e.roster.sweep() {
		e.cfg.Log.Warn("process removed", "process", flow.IPText(ip), "of", "processes without recent messages")
	}
}
