package packetentry

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

const (
	// lookupWait is the time for which a search waits for the answers of those that may have a record of the flow. A process that
	// answers later finds the flow as well, but hosts may have got the packet then that don't have it.
	lookupWait = 25 * time.Millisecond
	// minRecordingAge is the time for which an agent of the route's service must be known to have run to be asked for a record with a
	// packet of its own: after a restart of all processes, none has any.
	minRecordingAge = 4 * time.Second
	// maxLookupEntries is the number of entries that a search asks.
	maxLookupEntries = 8
	// lookupPeersAge is the age up to which the entries to ask are used again.
	lookupPeersAge = 250 * time.Millisecond
)

// lookup holds the packets of a flow that wait for the answers of those that may have a record of it, at most searchBurst. The first
// one has been sent to agents, the others haven't.
type lookup struct{ packets [][]byte }

// searchRecorded asks other entries and the first agents in rendezvous order for the flow of a packet, if there are any and the
// budget allows it, and reports whether it did. The packet is kept, as the search goes on with it.
func (e *Entry) searchRecorded(s flow.Segment, m mesh.Message, route routing.Route) bool {
	if s.IsSYN {
		return false
	}
	var buffer [maxFirstAgents + mesh.MaxCandidates]*agent
	agents, entries := e.appendRecording(buffer[:0], s.Key, route), e.roster.lookupPeers(s.Key)
	if len(agents)+len(entries) == 0 {
		return false
	}
	shard := e.flows.Lock(s.Key)
	r := shard.Get(s.Key)
	if r != nil && r.lookup != nil {
		if len(r.lookup.packets) < searchBurst {
			r.lookup.packets = append(r.lookup.packets, bytes.Clone(m.Body))
		}
		shard.Unlock()
		return true
	}
	drawn, ok := e.repeats.takeFirstAgents(len(agents) + len(entries))
	if !ok {
		shard.Unlock()
		return false
	}
	now := e.cfg.Now()
	if r == nil {
		r = &record{lastPacket: now, callerStarted: now, lastSearch: now}
		shard.Put(s.Key, r)
	}
	r.recordDraw(stepRecorded, drawn)
	r.lookup = &lookup{packets: [][]byte{bytes.Clone(m.Body)}}
	shard.Unlock()
	e.startTimer(&e.lookupTimers, timer{s.Key, now + lookupWait})
	recordSearches.Inc()
	e.logSearch(s, stepRecorded, len(agents)+len(entries), m.ConfigVersion)
	query := mesh.Message{Kind: mesh.KindFlowQuery, ConfigVersion: m.ConfigVersion, Origin: e.cfg.IP, Flow: s.Key}
	for _, ip := range entries {
		e.send(ip, &query)
	}
	m.Step = mesh.StepRecorded
	for _, a := range agents {
		e.sendToSeveral(&m, s.Key, a)
	}
	return true
}

// appendRecording appends the first agents in rendezvous order that may have a record of a flow: those of the route's service that
// have run for a while, as the next step asks the others, and those of services that the route doesn't lead to.
func (e *Entry) appendRecording(agents []*agent, key flow.Key, route routing.Route) []*agent {
	now := e.cfg.Now()
	agents = e.roster.appendFirst(agents, route.Service(key), key)
	agents = slices.DeleteFunc(agents, func(a *agent) bool { return now-time.Duration(a.runningSince.Load()) < minRecordingAge })
	for _, service := range e.roster.serviceNames() {
		leadsTo := slices.ContainsFunc(route.Shares, func(s routing.Share) bool { return s.Service == service })
		if !leadsTo && len(agents) <= maxFirstAgents-2*mesh.MaxCandidates {
			agents = e.roster.appendFirst(agents, service, key)
		}
	}
	return agents
}

// endLookup goes on with the search for a flow whose record nobody had in time.
func (e *Entry) endLookup(key flow.Key) {
	shard := e.flows.Lock(key)
	r := shard.Get(key)
	packets := r.takeLookup()
	taken := r.holder() != 0
	shard.Unlock()
	if taken {
		return
	}
	for _, packet := range packets {
		s, err := platform.DecodePacket(packet, platform.FromCaller)
		if err != nil {
			badPackets.Inc()
			continue
		}
		e.search(s, packet, stepFirstAgents)
	}
}

// takeLookup returns the packets that wait, and ends the wait. r may be nil.
func (r *record) takeLookup() [][]byte {
	if r == nil || r.lookup == nil {
		return nil
	}
	packets := r.lookup.packets
	r.lookup = nil
	return packets
}

// answerFlowQuery answers an entry that asks for the agent that has a flow.
func (e *Entry) answerFlowQuery(query *mesh.Message) {
	shard := e.flows.Lock(query.Flow)
	r := shard.Get(query.Flow)
	holder, service := r.holder(), mesh.ServiceID{}
	if holder != 0 {
		service = r.service
	}
	shard.Unlock()
	a := e.roster.agent(holder)
	if a.isGone() {
		return
	}
	if service.IsZero() {
		service = a.serviceID()
	}
	m := mesh.Message{
		Kind: mesh.KindFlowHolder, Service: service.Tag, ConfigVersion: e.cfg.Routes.Version(), Origin: e.cfg.IP, Flow: query.Flow,
		Directories: [mesh.DirectoryCount]uint32{holder},
	}
	e.send(query.Origin, &m)
}

// handleFlowHolder records the agent that has a flow according to another entry, and sends it the packets that wait.
func (e *Entry) handleFlowHolder(m *mesh.Message) {
	holder := m.Directories[0]
	if e.roster.agent(holder).isGone() {
		return
	}
	service := e.serviceOf(holder, m.Service, m.Flow)
	shard := e.flows.Lock(m.Flow)
	r := shard.Get(m.Flow)
	if r == nil || r.taken || r.openingPacket != nil || r.offerCount > 0 || r.searchedSteps < stepRecorded || holder == r.deniedHolder {
		shard.Unlock()
		return
	}
	packets := r.takeLookup()
	e.returnDrawn(r)
	r.handleTaken(holder, service)
	r.isReported = true
	shard.Unlock()
	recordsFound.Inc()
	if e.cfg.Log.AllowRare() {
		e.cfg.Log.Info("flow found at another entry", "flow", m.Flow.String(), "agent", flow.IPText(holder), "entry", flow.IPText(m.Origin))
	}
	for _, packet := range packets {
		e.deliver(holder, service, packet)
	}
}

// denyHolder records that the agent that another entry named doesn't have the flow, and reports whether the record is kept for
// the search.
func (r *record) denyHolder(agent uint32) bool {
	if !r.isReported {
		return false
	}
	r.taken, r.isReported, r.agent, r.service, r.deniedHolder = false, false, 0, mesh.ServiceID{}, agent
	return true
}

// isGone reports whether an agent is unknown, which nil stands for, or has reported that its host runs no more.
func (a *agent) isGone() bool {
	if a == nil {
		return true
	}
	report := a.report.Load()
	return report.HostDown || report.HostState == host.Gone
}

// lookupPeers returns the entries to ask for a record of a flow: those of the own availability zone first, of more than
// maxLookupEntries others for each flow. The routers send the packets of a caller to entries of its zone.
func (r *roster) lookupPeers(key flow.Key) []uint32 {
	zone, others := r.lookupCandidates()
	peers := make([]uint32, 0, maxLookupEntries)
	for _, candidates := range [][]uint32{zone, others} {
		start := 0
		if len(candidates) > 0 {
			start = int(key.Hash() % uint64(len(candidates)))
		}
		for i := range min(len(candidates), maxLookupEntries-len(peers)) {
			peers = append(peers, candidates[(start+i)%len(candidates)])
		}
	}
	return peers
}

// lookupCandidates returns the other entries of the own availability zone and of other zones that sent a message recently, in order.
func (r *roster) lookupCandidates() (zone, others []uint32) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.lookupCache; c != nil && now-c.at < lookupPeersAge {
		return c.zone, c.others
	}
	for ip, e := range r.entries {
		switch {
		case ip == r.cfg.IP || now-e.lastHeard > mesh.SilenceTimeout(e.report.IntervalMs):
		case e.report.Zone == r.cfg.Zone:
			zone = append(zone, ip)
		default:
			others = append(others, ip)
		}
	}
	slices.SortFunc(zone, cmp.Compare[uint32])
	slices.SortFunc(others, cmp.Compare[uint32])
	r.lookupCache = &lookupCandidates{zone: zone, others: others, at: now}
	return zone, others
}

// lookupCandidates are entries to ask, as of a time.
type lookupCandidates struct {
	zone, others []uint32
	at           time.Duration
}
