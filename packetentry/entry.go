package packetentry

import (
	"sync"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtable"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

// Entry is the state of one entry. It is safe for concurrent use.
type Entry struct {
	cfg    Config
	roster *roster
	flows  *flowtable.Table[record]
	// reports counts the entry's reports.
	reports atomic.Uint64
	// leaving says that the entry ends; it goes on forwarding.
	leaving atomic.Bool

	waitMu sync.Mutex
	// All below is guarded by waitMu. The waits are about in order of due.
	offers, searches []wait
	// answerDelay is the usual time from an offer to the first word of an agent.
	answerDelay time.Duration
	// marked is the time of the marker that is on its way, 0 for none.
	marked time.Duration
}

type wait struct {
	key flow.Key
	due time.Duration
}

// record is what the entry knows of one flow.
type record struct {
	// agent is the address of the agent that has the flow or was offered it last.
	agent uint32
	// taken says that the agent has the flow.
	taken bool
	// touched is when the last packet came, asked when the last offer or notice was.
	touched, asked time.Duration
	// opening is the flow's opening packet while it isn't taken.
	opening []byte
	// since is when the caller first asked, as far as is known.
	since time.Duration
	// tried are the agents that did not answer.
	tried [maxOffers]uint32
	// offers is the number of offers made.
	offers int
	// searched is when the flow was last searched for, searches how often, and
	// burst for how many packets since then.
	searched time.Duration
	searches int
	burst    int
}

// New returns an entry that knows no other process.
func New(cfg Config) *Entry {
	cfg = cfg.withDefaults()
	return &Entry{cfg: cfg, roster: newRoster(cfg), flows: flowtable.New[record]()}
}

// FromCaller takes a packet of a caller.
func (e *Entry) FromCaller(packet []byte) {
	s, err := platform.DecodePacket(packet, platform.FromCaller)
	if err != nil {
		badPackets.Inc()
		return
	}
	platform.ClearMarks(packet)
	shard := e.flows.Lock(s.Key)
	r := shard.Get(s.Key)
	if r != nil {
		r.touched = e.cfg.Now()
	}
	switch {
	case s.Opens() && r == nil:
		e.open(shard, s, packet)
	case s.Opens() && r.taken:
		agent := r.agent
		shard.Unlock()
		e.offerAgain(s, packet, agent)
	case s.Opens():
		// The offer of the first copy is still under way.
		shard.Unlock()
	case r != nil && r.taken:
		agent := r.agent
		shard.Unlock()
		e.forward(mesh.Deliver, agent, s, packet)
	default:
		step, ok := e.nextStep(shard, s.Key, r)
		shard.Unlock()
		if ok {
			e.search(s, packet, step)
		}
	}
}

// open starts to place a new flow; it unlocks the shard.
func (e *Entry) open(shard *flowtable.Shard[record], s flow.Segment, packet []byte) {
	table := e.cfg.Routes.Current()
	route, ok := table.Find(s.Key.Service)
	if !ok {
		shard.Unlock()
		e.noRoute(s, table)
		return
	}
	now := e.cfg.Now()
	r := &record{touched: now, asked: now, since: now - s.Waited(), opening: append([]byte(nil), packet...)}
	shard.Put(s.Key, r)
	if s.Ack > 0 {
		// Another entry may have placed the flow when it got the first copy.
		shard.Unlock()
		e.search(s, packet, 0)
		e.await(&e.searches, wait{s.Key, now + e.cfg.SearchTimeout})
		return
	}
	e.offer(shard, s.Key, r, route)
}

// noRoute answers an opening packet to an address that no route has.
func (e *Entry) noRoute(s flow.Segment, table *routing.Table) {
	noRoutes.Inc()
	if table == nil {
		// Without a configuration nothing is known of the address.
		return
	}
	e.reset(s.Key, s.Seq)
	if e.cfg.Log.Rare() {
		e.cfg.Log.Info("open", "flow", s.Key.String(), "outcome", "refused", "why", "no route", "config", table.Version)
	}
}

// offer offers a flow to the agents of its service; it unlocks the shard.
func (e *Entry) offer(shard *flowtable.Shard[record], key flow.Key, r *record, route routing.Route) {
	service := route.Service(key)
	m := mesh.Message{
		Kind: mesh.Offer, Service: mesh.ServiceTag(service), ConfigVersion: e.cfg.Routes.Version(), Entry: e.cfg.IP,
		Offered: mesh.Terms{
			Best: mesh.NoCandidate, Priority: uint8(min(max(route.Priority, 0), 255)), Target: mesh.WaitOf(route.Target), Copy: r.offers > 0,
		},
	}
	scratch := candidatePool.Get().(*[]placement.Candidate)
	defer candidatePool.Put(scratch)
	candidates := e.roster.candidates(m.Service, (*scratch)[:0], r.excluded)
	*scratch = candidates
	m.Offered.Usual = usual(candidates)
	m.Homes = e.roster.homes(m.Service, key)
	m.Count = placement.Order(key, candidates, &m.Candidates)
	if m.Count == 0 {
		shard.Delete(key)
		shard.Unlock()
		noAgents.Inc()
		e.explainNone(key, service)
		return
	}
	now := e.cfg.Now()
	m.Offered.Waited = mesh.WaitOf(now - r.since)
	r.agent, r.asked = m.Candidates[0], now
	r.offers++
	offers := r.offers
	m.Body = r.opening
	shard.Unlock()
	if a := e.roster.agent(m.Candidates[0]); a != nil {
		a.offered()
	}
	e.send(m.Candidates[0], &m)
	e.await(&e.offers, wait{key, now + e.offerTimeout()})
	offersSent.Inc()
	if e.cfg.Log.Ordinary() {
		e.cfg.Log.Info("open", "flow", key.String(), "outcome", "offered", "entry", flow.IPText(e.cfg.IP), "service", service, "first", flow.IPText(m.Candidates[0]),
			"candidates", m.Count, "attempt", offers, "route", route.Name, "config", m.ConfigVersion, "usualMs", uint16(m.Offered.Usual))
	}
}

func (e *Entry) explainNone(key flow.Key, service string) {
	if e.cfg.Log.Rare() {
		e.cfg.Log.Warn("open", "flow", key.String(), "outcome", "dropped", "why", "no agent", "service", service, "config", e.cfg.Routes.Version())
	}
}

func (r *record) excluded(ip uint32) bool {
	for _, t := range r.tried[:min(r.offers, maxOffers)] {
		if t == ip {
			return true
		}
	}
	return false
}

// offerAgain sends a copy of an opening packet to the agent that has the flow.
func (e *Entry) offerAgain(s flow.Segment, packet []byte, agent uint32) {
	table := e.cfg.Routes.Current()
	route, ok := table.Find(s.Key.Service)
	if !ok {
		e.noRoute(s, table)
		return
	}
	m := mesh.Message{
		Kind: mesh.Offer, Service: mesh.ServiceTag(route.Service(s.Key)), ConfigVersion: table.Version, Entry: e.cfg.IP,
		Offered:    mesh.Terms{Best: mesh.NoCandidate, Priority: uint8(min(max(route.Priority, 0), 255)), Target: mesh.WaitOf(route.Target), Copy: true, Waited: mesh.WaitOf(s.Waited())},
		Candidates: [mesh.MaxCandidates]uint32{agent}, Count: 1, Body: packet,
	}
	e.send(agent, &m)
}

// forward sends a packet of a flow to an agent.
func (e *Entry) forward(k mesh.Kind, agent uint32, s flow.Segment, packet []byte) {
	a := e.roster.agent(agent)
	if a == nil {
		e.search(s, packet, mesh.StepAll)
		return
	}
	m := mesh.Message{
		Kind: k, Service: mesh.ServiceTag(a.report.Load().Service), ConfigVersion: e.cfg.Routes.Version(), Entry: e.cfg.IP, Body: packet,
	}
	forwarded.Inc()
	e.send(agent, &m)
}

func (e *Entry) send(ip uint32, m *mesh.Message) { m.Send(ip, e.cfg.ToMember) }

func (e *Entry) reset(key flow.Key, ack uint32) { platform.SendReset(key, ack, e.cfg.ToCaller) }

func (e *Entry) await(list *[]wait, w wait) {
	e.waitMu.Lock()
	*list = append(*list, w)
	first := len(*list) == 1
	e.waitMu.Unlock()
	if first {
		e.cfg.Waiting(w.due - e.cfg.Now())
	}
}

// offerTimeout is how long an agent may stay silent now.
func (e *Entry) offerTimeout() time.Duration {
	e.waitMu.Lock()
	defer e.waitMu.Unlock()
	return min(max(e.cfg.OfferTimeout, offerTimeoutFactor*e.answerDelay), maxOfferTimeout)
}

// answered notes how long an agent took to answer an offer.
func (e *Entry) answered(delay time.Duration) {
	const weight = 16
	e.waitMu.Lock()
	defer e.waitMu.Unlock()
	e.answerDelay += (delay - e.answerDelay) / weight
}

// Flows returns the number of flows that the entry remembers.
func (e *Entry) Flows() int { return e.flows.Len() }

// candidatePool keeps the lists of candidates, which are as long as a service has agents.
var candidatePool = sync.Pool{New: func() any { return new([]placement.Candidate) }}
