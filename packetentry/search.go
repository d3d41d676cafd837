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

// nextSearchStep returns the next step of the search for a packet's flow and records it; the shard must be
// locked. ok is false if enough packets were searched for in this step: a flow whose host is down must not
// cause a search for each packet.
func (e *Entry) nextSearchStep(shard *flowtable.Shard[record], key flow.Key, r *record) (step int, ok bool) {
	now := e.cfg.Now()
	if r == nil {
		r = &record{lastPacket: now, callerStarted: now, lastSearch: now}
		shard.Put(key, r)
	} else if now-r.lastSearch > searchRetryAfter<<uint(min(r.searchCount, maxSearchDoublings)) {
		// The answer to the previous search was lost, or no agent had one.
		r.searchCount++
		r.lastSearch, r.searchedPackets = now, 0
	}
	r.searchedPackets++
	return searchStarts[r.searchCount%len(searchStarts)], r.searchedPackets <= searchBurst
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

// searchStarts are the steps with which a search begins, one after the other, while it has no answer. A search proceeds from
// step to step by itself, but not past an agent that doesn't answer.
var searchStarts = [...]int{0, 1, mesh.DirectorySteps}

// beginSearch searches for the flow of a packet of a caller. If the step is the last one and there is no budget for it, the
// search begins with the first one.
func (e *Entry) beginSearch(s flow.Segment, packet []byte) {
	shard := e.flows.Lock(s.Key)
	step, ok := e.nextSearchStep(shard, s.Key, shard.Get(s.Key))
	shard.Unlock()
	if !ok {
		return
	}
	e.repeats.packetForwarded()
	if step == mesh.DirectorySteps {
		allSearchesBegun.Inc()
		if e.search(s, packet, step) {
			return
		}
		step = 0
	} else {
		directorySearchesBegun.Inc()
	}
	e.search(s, packet, step)
}

// search sends a packet of a flow to the agents that may have a record of the flow: in the first steps to one agent that
// may be a directory agent of the flow, in the last to all agents of the service. The directory agents may be others now than
// when the flow opened, so that more agents are asked than there are directory agents. It reports whether the packet was sent:
// there may be no agent to ask, or no budget for the last step.
func (e *Entry) search(s flow.Segment, packet []byte, step int) bool {
	table := e.cfg.Routes.Current()
	route, known := table.Find(s.Key.Service)
	m := mesh.Message{Kind: mesh.KindSearch, ConfigVersion: routing.VersionOf(table), Origin: e.cfg.IP, Body: packet}
	asked := uint32(0)
	for ; known && asked == 0 && step < mesh.DirectorySteps; step++ {
		service, position := searchedService(route, s.Key, step)
		m.Service = mesh.ServiceTag(service)
		order := e.roster.directories(m.Service, s.Key)
		m.Directories, asked, m.Step = order.current(), order[position], mesh.DirectoryStep(step)
	}
	if asked == 0 {
		e.suspectLost(s)
		return e.searchAll(s, m, e.searchedAgents(route, known))
	}
	e.logSearch(s, mesh.DirectoryPosition(m.Step), 1, m.ConfigVersion)
	e.send(asked, &m)
	return true
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
		for _, share := range route.Shares {
			agents = append(agents, e.roster.serviceAgents(mesh.ServiceTag(share.Service))...)
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
	if allowed == 0 || !e.repeats.takeSearch(allowed) {
		return false
	}
	m.Step = mesh.StepAll
	floods.Inc()
	e.logSearch(s, mesh.DirectorySteps, allowed, m.ConfigVersion)
	first := int(e.searchTurn.Add(uint64(allowed)) % uint64(len(agents)))
	for i := range allowed {
		report := agents[(first+i)%len(agents)].report.Load()
		m.Service = mesh.ServiceTag(report.Service)
		e.send(report.IP, &m)
	}
	return true
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
	shard := e.flows.Lock(s.Key)
	r := shard.Get(s.Key)
	agent, service := r.agentBesides(m.Origin)
	next := stepAfter(m.Step)
	isFirst := r != nil && r.proceedTo(next)
	unplaced := r != nil && !r.taken && r.openingPacket != nil && r.offerCount == 0
	shard.Unlock()
	switch {
	case agent != 0 && e.deliver(agent, service, m.Body):
	case s.IsSYN && unplaced && next >= mesh.DirectoryCount:
		// No directory agent has a record of the flow, so no other entry has placed it.
		e.retryOffer(s.Key, e.cfg.Now(), true)
	case isFirst || next == mesh.DirectorySteps || e.repeats.take(1) == 1:
		e.search(s, m.Body, next)
	}
}

// stepAfter returns the step of a search after an agent returned the packet. A packet that was delivered to the agent is returned
// with StepAll, and its search begins with the first step.
func stepAfter(returned uint8) int {
	if returned == mesh.StepAll {
		return 0
	}
	return mesh.DirectoryPosition(returned) + 1
}

// agentBesides returns the agent that took the flow, unless it is the given one, with the tag of its service. It returns 0 if
// there is none. r may be nil.
func (r *record) agentBesides(other uint32) (agent, service uint32) {
	if agent = r.holder(); agent == 0 || agent == other {
		return 0, 0
	}
	return agent, r.service
}
