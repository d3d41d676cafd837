package packetentry

import (
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtable"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

const (
	// searchRetryAfter is the time after which an unsuccessful search for a flow continues with its next step, and
	// begins again after the last one. It is shorter than the time after which callers retransmit a packet, and doubles
	// with each step, up to maxSearchDoublings times.
	searchRetryAfter   = 150 * time.Millisecond
	maxSearchDoublings = 3
	// searchBurst is the maximum number of packets of a flow that are searched for in each step; callers have
	// at most 16 in flight.
	searchBurst = 4
)

// Steps of a search after those that ask a directory agent each, which are numbered from 0. On the wire they are
// mesh.StepAll or mesh.StepRecorded.
const (
	// stepRecorded asks other entries and the first agents in rendezvous order for their records, also those of services that the
	// route doesn't lead to. No host gets the packet that doesn't have the flow. The next step follows after lookupWait.
	stepRecorded = mesh.DirectorySteps + iota
	// stepFirstAgents asks the first agents in rendezvous order of the services that the route leads to or led to recently at
	// once. Those that restarted give the packet to their hosts.
	stepFirstAgents
	// stepFormerFirst asks the agents that may have come first when the flow opened: others have joined since, or didn't take flows
	// then. It is left out if these are the ones of the step before, or if there are few others.
	stepFormerFirst
	// stepAllAgents asks all agents of these services.
	stepAllAgents
)

// nextSearchStep returns the next step of the search for a packet's flow and records it; the shard must be
// locked. ok is false if enough packets were searched for in this step: a flow whose host is down must not
// cause a search for each packet.
func (e *Entry) nextSearchStep(shard *flowtable.Shard[record], key flow.Key, r *record) (step int, ok bool) {
	now := e.cfg.Now()
	switch {
	case r == nil:
		r = &record{lastPacket: now, callerStarted: now, lastSearch: now}
		shard.Put(key, r)
	case r.lastSearch == 0:
		r.lastSearch = now
	case now-r.lastSearch > searchRetryAfter<<uint(min(r.searchCount, maxSearchDoublings)):
		// The answer to the previous search was lost, or no agent had one.
		r.searchCount++
		r.lastSearch, r.searchedPackets = now, 0
	}
	r.searchedPackets++
	return r.searchStart(), r.searchedPackets <= searchBurst
}

// searchStart returns the step with which a search begins. One without an answer goes on with the step after those of single agents, as
// it doesn't get past a directory agent that doesn't answer, then with all agents, and every third begins anew.
func (r *record) searchStart() int {
	const starts = 3
	switch {
	case r.searchCount%starts == 0:
		return 0
	case r.searchedSteps < stepAllAgents:
		return max(r.searchedSteps+1, stepRecorded)
	}
	return stepAllAgents
}

// proceedTo records that a search for the flow proceeds to a step, and reports whether it is the first one to do so. Each step
// to a single agent is taken once without drawing on the budget, so that flows are found when many of them move to another
// entry at once. A flow that isn't found doesn't cause such steps for each copy of its packets.
func (r *record) proceedTo(step int) bool {
	if step <= r.searchedSteps || step >= mesh.DirectorySteps {
		return false
	}
	r.searchedSteps = step
	return true
}

// beginSearch searches for the flow of a packet of a caller. If there is no budget for the step that it would begin with, the
// search begins with the first one.
func (e *Entry) beginSearch(s flow.Segment, packet []byte) {
	shard := e.flows.Lock(s.Key)
	step, ok := e.nextSearchStep(shard, s.Key, shard.Get(s.Key))
	shard.Unlock()
	if !ok {
		return
	}
	e.repeats.packetForwarded()
	switch step {
	case stepFormerFirst, stepAllAgents:
		allSearchesBegun.Inc()
		if e.search(s, packet, step) {
			return
		}
	case stepRecorded, stepFirstAgents:
		firstSearchesBegun.Inc()
		if e.search(s, packet, step) {
			return
		}
	default:
		directorySearchesBegun.Inc()
	}
	e.search(s, packet, 0)
}

// search sends a packet of a flow to the agents that may have a record of the flow: in the first steps to one agent that
// may be a directory agent of the flow, then to those that may have a record of it, then to the first agents in rendezvous order and to
// those that may have been, in the last step to all agents of the service. The directory agents may be others now than when the flow opened,
// so that more agents are asked than there are directory agents. It reports whether the packet was sent: there may be no agent to ask, or no
// budget for the last steps.
func (e *Entry) search(s flow.Segment, packet []byte, step int) bool {
	table := e.cfg.Routes.Current()
	route, known := table.Find(s.Key.Service)
	m := mesh.Message{Kind: mesh.KindSearch, ConfigVersion: routing.VersionOf(table), Origin: e.cfg.IP, Body: packet}
	asked := uint32(0)
	for ; known && asked == 0 && step < mesh.DirectorySteps; step++ {
		service, position := searchedService(route, s.Key, step)
		m.SetService(mesh.ServiceIDOf(service))
		order := e.roster.searchOrder(service, s.Key)
		m.Directories, asked, m.Step = order.current(), order[position], mesh.DirectoryStep(step)
	}
	if asked != 0 {
		e.logSearch(s, mesh.DirectoryPosition(m.Step), 1, m.ConfigVersion)
		e.send(asked, &m)
		return true
	}
	e.suspectLost(s)
	if known && step <= stepRecorded && e.searchRecorded(s, m, route) {
		return true
	}
	if known && step <= stepFirstAgents {
		return e.searchFirst(s, m, route)
	}
	if known && step <= stepFormerFirst && e.searchFormerFirst(s, m, route) {
		return true
	}
	return e.searchAll(s, m, e.searchedAgents(route, known))
}

// searchedService returns the service whose agents a step of a search asks, and the position among the flow's directory agents
// there. The last steps ask for the route's other services: the flow may have opened before a change of the shares.
func searchedService(route routing.Route, key flow.Key, step int) (service string, position int) {
	service = route.Service(key)
	others := len(route.Shares) - 1
	first := max(mesh.DirectorySteps-mesh.DirectoryCount*others, mesh.DirectoryCount)
	if step < first {
		return service, step
	}
	other, position := (step-first)/mesh.DirectoryCount, (step-first)%mesh.DirectoryCount
	for _, s := range route.Shares {
		if s.Service == service {
			continue
		}
		if other == 0 {
			return s.Service, position
		}
		other--
	}
	return service, step
}

// searchedAgents returns the agents that may have the flows of a route, or all agents if the route isn't known. Agents that
// joined and whose hosts have not reported yet are omitted: their hosts have no flows.
func (e *Entry) searchedAgents(route routing.Route, known bool) []*agent {
	var agents []*agent
	if known {
		for _, service := range e.moved.servicesOf(route, e.cfg.Now()) {
			agents = append(agents, e.roster.serviceAgents(service)...)
		}
	} else {
		agents = e.roster.allAgents()
	}
	return slices.DeleteFunc(agents, func(a *agent) bool { return a.joined && a.report.Load().HostState == host.Unknown })
}

// searchAll sends a search to all agents, or none if the budget doesn't allow it, and reports whether it did. A search at a
// part of the agents would give the packet to the hosts of restarted agents, and the next copy to others, before it comes to
// the flow's own one. Of more than maxSearched agents, which ones are asked changes with each search.
func (e *Entry) searchAll(s flow.Segment, m mesh.Message, agents []*agent) bool {
	allowed := min(len(agents), maxSearched)
	if allowed == 0 {
		return false
	}
	drawn, ok := e.repeats.takeAllAgents(allowed)
	if !ok {
		return false
	}
	floods.Inc()
	first := int(e.searchTurn.Add(uint64(allowed)) % uint64(len(agents)))
	e.askAtOnce(s, m, stepAllAgents, slices.Concat(agents[first:], agents[:first])[:allowed], drawn)
	return true
}

// searchFirst sends a search to the agents that most likely took the flow, if the budget allows it, and reports whether it did.
// These are the agents that this entry offered the flow to, and the first ones in rendezvous order of the route's services.
func (e *Entry) searchFirst(s flow.Segment, m mesh.Message, route routing.Route) bool {
	var buffer [maxFirstAgents + mesh.MaxCandidates + maxOffers]*agent
	agents := e.appendOffered(buffer[:0], s.Key)
	service := route.Service(s.Key)
	agents = e.roster.appendFirst(agents, service, s.Key)
	for _, other := range e.moved.servicesOf(route, e.cfg.Now()) {
		// The flow may have opened before a change of the shares.
		if other != service && len(agents) <= maxFirstAgents-2*mesh.MaxCandidates {
			agents = e.roster.appendFirst(agents, other, s.Key)
		}
	}
	if len(agents) == 0 {
		return false
	}
	drawn, ok := e.repeats.takeFirstAgents(len(agents))
	if !ok {
		return false
	}
	firstSearches.Inc()
	e.askAtOnce(s, m, stepFirstAgents, agents, drawn)
	return true
}

// searchFormerFirst sends a search to the agents that may have come first when the flow opened, if there are others than those that come
// first now and the budget allows it, and reports whether it did. If all agents are few, it doesn't, as the search at all of them costs
// hardly more.
func (e *Entry) searchFormerFirst(s flow.Segment, m mesh.Message, route routing.Route) bool {
	services, count := e.moved.servicesOf(route, e.cfg.Now()), 0
	for _, service := range services {
		count += len(e.roster.serviceAgents(service))
	}
	if count <= maxFirstAgents {
		return false
	}
	// A part is drawn before the agents are ranked, which takes time: flows that no host has must not cause it for each packet.
	drawn, ok := e.repeats.takeAllAgents(mesh.MaxCandidates)
	if !ok {
		return false
	}
	var first, agents []*agent
	for _, service := range services {
		first = e.roster.appendFirst(first, service, s.Key)
		agents = e.roster.appendFormerFirst(agents, service, s.Key)
	}
	hasOthers := slices.ContainsFunc(agents, func(a *agent) bool { return !slices.Contains(first, a) })
	rest, ok := e.repeats.takeAllAgents(max(len(agents)-mesh.MaxCandidates, 0))
	if !hasOthers || !ok {
		e.repeats.putBack(drawn.add(rest))
		return false
	}
	formerFirstSearches.Inc()
	e.askAtOnce(s, m, stepFormerFirst, agents, drawn.add(rest))
	return true
}

// askAtOnce sends a search to several agents at once, for a step that has drawn its cost.
func (e *Entry) askAtOnce(s flow.Segment, m mesh.Message, step int, agents []*agent, drawn draws) {
	e.recordDraw(s, step, drawn)
	e.logSearch(s, step, len(agents), m.ConfigVersion)
	m.Step = mesh.StepAll
	for _, a := range agents {
		e.sendToSeveral(&m, s.Key, a)
	}
}

// sendToSeveral sends a search to one of several agents that are asked at once, with the directory agents of its service.
func (e *Entry) sendToSeveral(m *mesh.Message, key flow.Key, a *agent) {
	report := a.report.Load()
	if id := mesh.ServiceIDOf(report.Service); m.ServiceID() != id || m.Directories == ([mesh.DirectoryCount]uint32{}) {
		m.SetService(id)
		m.Directories = e.roster.directories(report.Service, key)
	}
	e.send(report.IP, m)
}

// appendOffered appends the agents that this entry offered a flow to of which it doesn't know who took it.
func (e *Entry) appendOffered(dst []*agent, key flow.Key) []*agent {
	shard := e.flows.Lock(key)
	defer shard.Unlock()
	r := shard.Get(key)
	if r == nil || r.taken {
		return dst
	}
	for _, offered := range [][]uint32{r.offered[:], r.unresponsiveAgents[:]} {
		for _, ip := range offered {
			if ip != 0 {
				dst = appendMissing(dst, e.roster.agent(ip))
			}
		}
	}
	return dst
}

// recordDraw records that a search takes a step to several agents at once, and what it drew for it. An opening packet without
// a record gets none, as its next copy would count as one of a flow that is being placed.
func (e *Entry) recordDraw(s flow.Segment, step int, drawn draws) {
	now := e.cfg.Now()
	shard := e.flows.Lock(s.Key)
	defer shard.Unlock()
	r := shard.Get(s.Key)
	if r == nil {
		if s.IsSYN {
			return
		}
		r = &record{lastPacket: now, callerStarted: now, lastSearch: now}
		shard.Put(s.Key, r)
	}
	r.recordDraw(step, drawn)
}

// recordDraw is Entry.recordDraw for a record. What all steps drew is returned together.
func (r *record) recordDraw(step int, drawn draws) {
	r.searchedSteps, r.drawn = max(r.searchedSteps, step), r.drawn.add(drawn)
}

// returnDrawn returns what the search for a flow drew that has been found. The shard of the flow must be locked.
func (e *Entry) returnDrawn(r *record) {
	e.repeats.giveBack(r.drawn)
	r.drawn = draws{}
}

func (e *Entry) logSearch(s flow.Segment, step int, agents int, version uint64) {
	searches.Inc()
	if e.cfg.Log.AllowRare() {
		e.cfg.Log.Info("search", "flow", s.Key.String(), "step", step, "agents", agents, "opening", s.IsSYN, "config", version)
	}
}

// continueSearch continues the search for the flow of a packet that an agent returned.
func (e *Entry) continueSearch(m *mesh.Message) {
	s, err := platform.DecodePacket(m.Body, platform.FromCaller)
	if err != nil {
		badPackets.Inc()
		return
	}
	if m.Step == mesh.StepRecorded {
		// Agents of earlier versions return the packet, which has been sent to several.
		return
	}
	shard := e.flows.Lock(s.Key)
	r := shard.Get(s.Key)
	agent, service := r.agentBesides(m.Origin)
	next := stepAfter(m.Step)
	isFirst := r != nil && r.proceedTo(next)
	unplaced := r != nil && !r.taken && r.openingPacket != nil && r.offerCount == 0
	shard.Unlock()
	switch {
	case agent != 0 && e.deliver(agent, service, m.Body):
	case s.IsSYN && unplaced && next >= e.openingSteps():
		// No directory agent has a record of the flow, so no other entry has placed it.
		e.retryOffer(s.Key, e.cfg.Now(), true)
	case isFirst || next == stepRecorded || e.repeats.take(1) == 1:
		e.search(s, m.Body, next)
	}
}

// openingSteps returns the number of directory agents to ask for the flow of an opening packet that its caller sent again: the
// current ones and, after agents joined, those from before.
func (e *Entry) openingSteps() int {
	if e.roster.joinedRecently(e.cfg.Now()) {
		return 2 * mesh.DirectoryCount
	}
	return mesh.DirectoryCount
}

// stepAfter returns the step of a search after an agent returned the packet. A packet that was delivered to the agent is returned
// with StepAll, and its search begins with the first step.
func stepAfter(returned uint8) int {
	if returned == mesh.StepAll {
		return 0
	}
	return mesh.DirectoryPosition(returned) + 1
}

// agentBesides returns the agent that took the flow, unless it is the given one, with its service. It returns 0 if
// there is none. r may be nil.
func (r *record) agentBesides(other uint32) (agent uint32, service mesh.ServiceID) {
	if agent = r.holder(); agent == 0 || agent == other {
		return 0, mesh.ServiceID{}
	}
	return agent, r.service
}
