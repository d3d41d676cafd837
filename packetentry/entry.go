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
	"endiveflow.example/endiveflow/rotation"
	"endiveflow.example/endiveflow/routing"
)

// Entry is the state of one entry. It is safe for concurrent use.
type Entry struct {
	cfg    Config
	roster *roster
	flows  *flowtable.Table[record]
	// repeats limits what the entry sends on its own account.
	repeats   *repeats
	costs     routeCosts
	isolation isolation
	rotation  rotationStatus
	traffic   trafficMeter
	absences  absences
	moved     movedRoutes
	// reportCount is the number of reports that the entry has sent, searchTurn the number of agents that it has
	// searched at in last steps.
	reportCount, searchTurn atomic.Uint64
	// stopping reports whether the entry is stopping; it still forwards packets.
	stopping atomic.Bool

	// started is when the process started, in the time of Config.Now.
	started time.Duration

	// timersMu guards the fields below.
	timersMu sync.Mutex
	// parked holds the parked flows; some may have been placed since.
	parked []flow.Key
	// offerTimers, searchTimers and lookupTimers are roughly in order of due.
	offerTimers, searchTimers, lookupTimers []timer
	// meanAnswerDelay is the moving average of the time from an offer to an agent's first answer.
	meanAnswerDelay time.Duration
	// markerSent is when the outstanding marker was sent, 0 if there is none.
	markerSent time.Duration
}

type timer struct {
	key flow.Key
	due time.Duration
}

// record is the entry's record of one flow.
type record struct {
	// agent is the address of the agent that has the flow or was last offered it.
	agent uint32
	// service is the service of the agent that took the flow, zero if it isn't known.
	service mesh.ServiceID
	// taken reports whether the agent took the flow, passedOn whether it has passed the flow on since to an agent that
	// isn't known yet.
	taken, passedOn bool
	// others are other agents that may have the flow.
	others holders
	// lastPacket is when the last packet arrived, offerUpdated when the flow was last offered or passed on.
	lastPacket, offerUpdated time.Duration
	// openingPacket is the flow's opening packet until the flow is taken.
	openingPacket []byte
	// callerStarted is when the caller sent its first opening packet, as far as is known.
	callerStarted time.Duration
	// unresponsiveAgents are the agents that did not answer an offer of the flow.
	unresponsiveAgents [maxOffers]uint32
	// offered are the candidates of the last offer; 0 for none.
	offered [mesh.MaxCandidates]uint32
	// offerCount is the number of offers made that were not refused.
	offerCount int
	// firstCopy reports whether the opening packet is the first that the caller sent, so that no other entry has
	// placed the flow before.
	firstCopy bool
	// parked reports whether the flow waits to be placed, not before retryAt.
	parked  bool
	retryAt time.Duration
	// offerLapsed reports whether the last offer was not answered and not repeated.
	offerLapsed bool
	// lastSearch is when the current search began, searchCount the number of searches before it, and searchedPackets the
	// number of packets searched for in this one. searchedSteps is the last step that any search proceeded to.
	lastSearch                                  time.Duration
	searchCount, searchedPackets, searchedSteps int
	// drawn is what the steps to several processes at once drew from their budgets, until a search finds the flow.
	drawn draws
	// lookup holds the packets that wait for those that may have a record of the flow; nil while there are none.
	lookup *lookup
	// isReported reports whether another entry named the agent, deniedHolder the agent that one named and that doesn't have the
	// flow; 0 for none.
	isReported   bool
	deniedHolder uint32
}

// New returns an entry that has no record of other processes.
func New(cfg Config) *Entry {
	cfg = cfg.withDefaults()
	e := &Entry{cfg: cfg, roster: newRoster(cfg), flows: flowtable.New[record](), repeats: newRepeats(cfg.Now), absences: newAbsences(cfg.Random), started: cfg.Now()}
	e.rotation.state = rotation.Unavailable
	e.ConfigChanged()
	return e
}

// FromCaller handles a packet of a caller.
func (e *Entry) FromCaller(packet []byte) {
	e.traffic.received.Add(uint64(len(packet)))
	s, err := platform.DecodePacket(packet, platform.FromCaller)
	if err != nil {
		badPackets.Inc()
		return
	}
	platform.ClearMarks(packet)
	shard := e.flows.Lock(s.Key)
	r := shard.Get(s.Key)
	if r != nil {
		r.lastPacket = e.cfg.Now()
		if r.isReported && e.roster.agent(r.agent).isGone() {
			r.denyHolder(r.agent)
		}
	}
	switch {
	case s.Opens() && r == nil:
		e.placeFlow(shard, s, packet)
	case s.Opens() && r.taken:
		agent := r.agent
		shard.Unlock()
		e.resendOffer(s, packet, agent)
	case s.Opens() && r.offerLapsed:
		e.placeAgain(shard, s.Key, r)
	case s.Opens():
		// This is a retransmission; the flow is already being placed.
		shard.Unlock()
		e.cancelProof(s.Key)
	case r != nil && r.taken:
		agent, service := r.agent, r.service
		shard.Unlock()
		if !e.deliver(agent, service, packet) {
			e.beginSearch(s, packet)
		}
	default:
		shard.Unlock()
		e.beginSearch(s, packet)
	}
}

// placeFlow starts to place a new flow; it unlocks the shard.
func (e *Entry) placeFlow(shard *flowtable.Shard[record], s flow.Segment, packet []byte) {
	table := e.cfg.Routes.Current()
	route, ok := table.Find(s.Key.Service)
	if !ok && table != nil {
		shard.Unlock()
		e.rejectNoRoute(s, table)
		return
	}
	now := e.cfg.Now()
	r := &record{
		lastPacket: now, offerUpdated: now, callerStarted: now - s.Waited(), firstCopy: s.Ack == 0, openingPacket: append([]byte(nil), packet...),
	}
	shard.Put(s.Key, r)
	if table == nil {
		e.park(shard, s.Key, r, 0)
		return
	}
	if s.Ack > 0 {
		// This is a retransmission: another entry may have placed the flow.
		shard.Unlock()
		e.search(s, packet, 0)
		e.repeats.packetForwarded()
		e.startTimer(&e.searchTimers, timer{s.Key, now + e.cfg.SearchTimeout})
		return
	}
	e.sendOffer(shard, s.Key, r, route)
}

// placeAgain offers a flow again whose caller sent another copy of its opening packet; it unlocks the shard.
func (e *Entry) placeAgain(shard *flowtable.Shard[record], key flow.Key, r *record) {
	route, ok := e.cfg.Routes.Current().Find(key.Service)
	if !ok {
		shard.Delete(key)
		shard.Unlock()
		return
	}
	e.sendOffer(shard, key, r, route)
}

// rejectNoRoute rejects an opening packet to an address without a route.
func (e *Entry) rejectNoRoute(s flow.Segment, table *routing.Table) {
	noRoutes.Inc()
	if table == nil {
		// Without a configuration, the address may have a route.
		return
	}
	e.resetFlow(s.Key, s.Seq)
	if e.cfg.Log.AllowRare() {
		e.cfg.Log.Info("open", "flow", s.Key.String(), "outcome", "refused", "why", "no route", "config", table.Version)
	}
}

// sendOffer offers a flow to the agents of its service; it unlocks the shard.
func (e *Entry) sendOffer(shard *flowtable.Shard[record], key flow.Key, r *record, route routing.Route) {
	service := route.Service(key)
	m := mesh.Message{
		Kind: mesh.KindOffer, ConfigVersion: e.cfg.Routes.Version(), Origin: e.cfg.IP,
		Terms: mesh.Terms{
			Best: mesh.NoCandidate, Priority: uint8(min(max(route.Priority, 0), 255)), TargetLatency: mesh.MillisOf(route.TargetLatency),
			Resent: r.offerCount > 0 || !r.firstCopy, WarmupRate: e.cfg.Routes.Current().WarmupRate(service),
		},
	}
	m.SetService(mesh.ServiceIDOf(service))
	candidates, directories := e.roster.place(service, key, r.wasUnresponsive)
	cost := e.costs.of(key.Service)
	if cost.ServiceTime == 0 {
		cost.ServiceTime = e.roster.typicalServiceTime(service).Duration()
	}
	m.Terms.TypicalServiceTime = mesh.MillisOf(cost.ServiceTime)
	m.Directories = directories.directories().current()
	m.Count = e.orderByCost(key, cost, &candidates, &m.Candidates)
	if m.Count == 0 && e.mustReject(service) {
		e.rejectEvacuated(shard, key, r, service)
		return
	}
	if m.Count == 0 {
		e.park(shard, key, r, 0)
		e.logNoAgent(key, service)
		return
	}
	now := e.cfg.Now()
	m.Terms.Waited = mesh.MillisOf(now - r.callerStarted)
	r.agent, r.offerUpdated, r.offerLapsed = m.Candidates[0], now, false
	r.offered = m.Candidates
	r.offerCount++
	offers := r.offerCount
	m.Body = r.openingPacket
	shard.Unlock()
	if a := e.roster.agent(m.Candidates[0]); a != nil {
		a.countOffer()
	}
	e.send(m.Candidates[0], &m)
	e.repeats.packetForwarded()
	e.startTimer(&e.offerTimers, timer{key, now + e.offerTimeout()})
	offersSent.Inc()
	placements := singleOffers
	if cost.LongFlows {
		placements = longFlowOffers
	}
	placements.Inc()
	if e.cfg.Log.AllowOrdinary() {
		e.cfg.Log.Info("open", "flow", key.String(), "outcome", "offered", "entry", flow.IPText(e.cfg.IP),
			"service", service, "first", flow.IPText(m.Candidates[0]),
			"candidates", m.Count, "attempt", offers, "route", route.Name, "config", m.ConfigVersion, "usualMs", uint16(m.Terms.TypicalServiceTime), "longFlows", cost.LongFlows)
	}
}

// orderByCost writes the addresses of a flow's candidates to out, in the order in which an offer visits them, and returns their
// number.
func (e *Entry) orderByCost(key flow.Key, cost placement.RouteCost, candidates *ranking, out *[mesh.MaxCandidates]uint32) uint8 {
	now := e.cfg.Now()
	var views [mesh.MaxCandidates]placement.Candidate
	for i, a := range candidates.all() {
		views[i] = a.candidate(e.cfg.Zone, now)
	}
	return placement.OrderByCost(key, cost, views[:candidates.count], out)
}

func (e *Entry) logNoAgent(key flow.Key, service string) {
	if e.cfg.Log.AllowRare() {
		e.cfg.Log.Warn("open", "flow", key.String(), "outcome", "parked", "why", "no agent",
			"service", service, "config", e.cfg.Routes.Version())
	}
}

// awaitsAnswer reports whether the flow was offered and no agent has taken or refused it. r may be nil.
func (r *record) awaitsAnswer() bool { return r != nil && !r.taken && !r.parked && r.offerCount > 0 }

func (r *record) wasUnresponsive(ip uint32) bool {
	for _, agent := range r.unresponsiveAgents[:min(r.offerCount, maxOffers)] {
		if agent == ip {
			return true
		}
	}
	return false
}

// resendOffer sends a retransmitted opening packet to the agent that has the flow, as an offer with this agent
// as the only candidate.
func (e *Entry) resendOffer(s flow.Segment, packet []byte, agent uint32) {
	table := e.cfg.Routes.Current()
	route, ok := table.Find(s.Key.Service)
	if !ok {
		e.rejectNoRoute(s, table)
		return
	}
	service := route.Service(s.Key)
	m := mesh.Message{
		Kind: mesh.KindOffer, ConfigVersion: table.Version, Origin: e.cfg.IP,
		Terms: mesh.Terms{
			Best: mesh.NoCandidate, Priority: uint8(min(max(route.Priority, 0), 255)), TargetLatency: mesh.MillisOf(route.TargetLatency),
			Resent: true, Waited: mesh.MillisOf(s.Waited()), WarmupRate: table.WarmupRate(service),
		},
		Candidates: [mesh.MaxCandidates]uint32{agent}, Count: 1, Body: packet,
	}
	m.SetService(mesh.ServiceIDOf(service))
	e.send(agent, &m)
}

// deliver sends a packet of a flow to an agent. service is that of the agent that took the flow, zero if it isn't known. An entry that has
// just started may hear of the flow before the agent's report arrives, and the address may belong to an agent of another service since; then
// it returns false. An agent that doesn't have the flow returns the packet with the step of the message, which is no step of a search that
// agents answer.
func (e *Entry) deliver(agent uint32, service mesh.ServiceID, packet []byte) bool {
	if a := e.roster.agent(agent); a != nil {
		current := a.serviceID()
		if !service.IsZero() && !service.Matches(current) {
			return false
		}
		service = current
	}
	if service.IsZero() {
		return false
	}
	m := mesh.Message{Kind: mesh.KindDeliver, Step: mesh.StepAll, ConfigVersion: e.cfg.Routes.Version(), Origin: e.cfg.IP, Body: packet}
	m.SetService(service)
	forwarded.Inc()
	e.send(agent, &m)
	e.repeats.packetForwarded()
	return true
}

// serviceOf returns the service of an agent that has a flow, of which a message has the tag. The tag alone is returned if the agent's
// report has not arrived and the flow's route doesn't tell.
func (e *Entry) serviceOf(agent, tag uint32, key flow.Key) mesh.ServiceID {
	if a := e.roster.agent(agent); a != nil {
		if id := a.serviceID(); id.Tag == tag {
			return id
		}
	}
	found := mesh.ServiceID{Tag: tag}
	route, known := e.cfg.Routes.Current().Find(key.Service)
	if !known {
		return found
	}
	for _, service := range e.moved.servicesOf(route, e.cfg.Now()) {
		id := mesh.ServiceIDOf(service)
		switch {
		case id.Tag != tag:
		case found.Digest != mesh.ServiceDigest{}:
			// Two services of the route have the tag.
			return mesh.ServiceID{Tag: tag}
		default:
			found = id
		}
	}
	return found
}

func (e *Entry) send(ip uint32, m *mesh.Message) {
	e.traffic.sent.Add(uint64(m.Size()))
	m.Send(ip, e.cfg.ToMember)
}

func (e *Entry) resetFlow(key flow.Key, ack uint32) { platform.SendReset(key, ack, e.cfg.ToCaller) }

func (e *Entry) startTimer(timers *[]timer, t timer) {
	e.timersMu.Lock()
	*timers = append(*timers, t)
	first := len(*timers) == 1
	e.timersMu.Unlock()
	if first {
		e.cfg.ScheduleTick(t.due - e.cfg.Now())
	}
}

// offerTimeout returns the time that an agent currently has to answer an offer.
func (e *Entry) offerTimeout() time.Duration {
	e.timersMu.Lock()
	defer e.timersMu.Unlock()
	return min(max(e.cfg.OfferTimeout, offerTimeoutFactor*e.meanAnswerDelay), maxOfferTimeout)
}

// recordAnswerDelay records how long an agent took to answer an offer.
func (e *Entry) recordAnswerDelay(delay time.Duration) {
	const weight = 16
	e.timersMu.Lock()
	defer e.timersMu.Unlock()
	e.meanAnswerDelay += (delay - e.meanAnswerDelay) / weight
}

// Flows returns the number of flows that the entry has a record of.
func (e *Entry) Flows() int { return e.flows.Len() }
