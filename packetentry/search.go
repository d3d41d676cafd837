package packetentry

import (
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtable"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

const (
	// searchAgain is the time after which a flow that was searched for without
	// success is looked for in the next way. It is shorter than the time after which
	// callers send a packet again, and doubles with each search.
	searchAgain        = 150 * time.Millisecond
	maxSearchDoublings = 3
	// searchBurst is the number of packets of a flow that are searched for at
	// once; callers have at most 16 under way.
	searchBurst = 4
)

// nextStep returns the way of finding a flow to try for a packet, and notes the
// search; the shard is locked. It is false when enough is searched for already: a flow
// whose host is gone must not cost the fleet a question for each packet.
func (e *Entry) nextStep(shard *flowtable.Shard[record], key flow.Key, r *record) (step uint8, ok bool) {
	now := e.cfg.Now()
	if r == nil {
		r = &record{touched: now, since: now, searched: now}
		shard.Put(key, r)
	} else if now-r.searched > searchAgain<<uint(min(r.searches, maxSearchDoublings)) {
		// The answer to the search before was lost, or nobody had one.
		r.searches++
		r.searched, r.burst = now, 0
	}
	r.burst++
	return uint8(min(r.searches, mesh.StepAll)), r.burst <= searchBurst
}

// search sends a packet of a flow to those who may know its agent: in the
// first steps to a home of the flow, in the last to all agents of the service.
func (e *Entry) search(s flow.Segment, packet []byte, step uint8) {
	table := e.cfg.Routes.Current()
	route, known := table.Find(s.Key.Service)
	m := mesh.Message{Kind: mesh.Search, ConfigVersion: routing.VersionOf(table), Entry: e.cfg.IP, Body: packet}
	if known {
		m.Service = mesh.ServiceTag(route.Service(s.Key))
		m.Homes = e.roster.homes(m.Service, s.Key)
		for step < mesh.StepAll && m.Homes[step] == 0 {
			step++
		}
	} else {
		step = mesh.StepAll
	}
	m.Step = step
	searches.Inc()
	if e.cfg.Log.Rare() {
		e.cfg.Log.Info("search", "flow", s.Key.String(), "step", step, "opening", s.Opening, "config", m.ConfigVersion)
	}
	if step < mesh.StepAll {
		e.send(m.Homes[step], &m)
		return
	}
	agents := e.roster.all()
	if known {
		agents = agents[:0]
		for _, share := range route.Shares {
			agents = append(agents, e.roster.service(mesh.ServiceTag(share.Service))...)
		}
	}
	floods.Inc()
	for _, a := range agents {
		report := a.report.Load()
		m.Service = mesh.ServiceTag(report.Service)
		e.send(report.IP, &m)
	}
}

// searchFurther looks for the flow of a packet that an agent gave back.
func (e *Entry) searchFurther(m *mesh.Message) {
	s, err := platform.DecodePacket(m.Body, platform.FromCaller)
	if err != nil {
		badPackets.Inc()
		return
	}
	shard := e.flows.Lock(s.Key)
	r := shard.Get(s.Key)
	elsewhere := uint32(0)
	if r != nil && r.taken && r.agent != m.Entry {
		elsewhere = r.agent
	}
	opening := r != nil && !r.taken && r.opening != nil && r.offers == 0
	shard.Unlock()
	switch {
	case elsewhere != 0:
		e.forward(mesh.Deliver, elsewhere, s, m.Body)
	case s.Opening && opening && m.Step+1 >= mesh.StepAll:
		// No home knows the flow, so the copy is the first that arrived.
		e.overdue(s.Key, e.cfg.Now(), true)
	case m.Step < mesh.StepAll:
		e.search(s, m.Body, m.Step+1)
	}
}
