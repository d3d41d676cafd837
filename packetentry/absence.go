package packetentry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowabsence"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
)

const (
	// absenceInterval is the minimum time between two queries to each agent. It is longer in a large fleet, so that the entry
	// sends at most absenceQueriesPerSecond datagrams per second and receives as many answers.
	absenceInterval         = 100 * time.Millisecond
	absenceQueriesPerSecond = 400
	// absenceBytesPerSecond bounds the bytes of queries per second. It is a tenth of a link of 10 Mbit/s.
	absenceBytesPerSecond = 125_000
	// maxAbsenceDoublings is the number of times that the interval doubles while queries prove nothing, as in the minute after
	// all agents restarted beside their hosts.
	maxAbsenceDoublings = 4
	// absenceTimeout is the time in which the agents must answer a query. Answers that come later prove nothing.
	absenceTimeout = time.Second
	// maxAbsenceWait is the time that a flow waits for its query. Its caller has sent another copy of its packet by then,
	// which begins another search.
	maxAbsenceWait = 3 * time.Second
	// maxAbsenceWaiting bounds the number of flows that wait for a query.
	maxAbsenceWaiting = 2048
	// maxAbsenceAnswers bounds the answers that a query awaits, each of which takes memory. With more than 182 agents, a query
	// asks about fewer flows than mesh.MaxAbsenceKeys; with more than maxAbsenceAnswers agents, no flow is queried.
	maxAbsenceAnswers = 1 << 14
	// recentOffer is the time after an offer in which no agent is asked whether it lacks the flow.
	recentOffer = time.Second
)

// Membership is what the member records in the store say of agents.
type Membership struct {
	// Agents are the addresses of all agents with a record. They must not be modified.
	Agents []uint32
	// ReadAt is the time at which the read of the records began, in the time of Config.Now.
	ReadAt time.Duration
	// Known reports whether the records have been read and can be relied on.
	Known bool
}

// A flow that no search finds is reset if all agents answer that their hosts don't have it. Agents of all services count, as
// the flow may have opened before the shares of its route changed. The records of the agents must have been read after the caller's packet
// arrived: the caller had opened its flow by then, so that its agent had been in the fleet, although this entry may
// not have heard of it.

// lostFlow is a flow that a search didn't find at the directory agents.
type lostFlow struct {
	key flow.Key
	// ack is the caller's acknowledgement number, since the time at which its packet was searched for.
	ack   uint32
	since time.Duration
}

// absenceQuery is a query that was sent to all agents. The elements of its slices are guarded by absences.mu.
type absenceQuery struct {
	serial uint64
	sentAt time.Duration
	// interval is the minimum time until the next query, which holds if this one proves something.
	interval time.Duration
	// flows and proofs have the same length. A key that is cleared has been decided on.
	flows  []lostFlow
	proofs []flowabsence.Proof
}

// absences holds the flows whose absence is to be proved.
type absences struct {
	mu sync.Mutex
	// waiting are the flows to query in the order of their searches, at most maxAbsenceWaiting. Guarded by mu.
	waiting []lostFlow
	// queries are those of the last absenceTimeout, the oldest first. Guarded by mu.
	queries []*absenceQuery
	// nextQuery is the earliest time of the next query. Guarded by mu.
	nextQuery time.Duration
	// unproved is the number of queries since the last one that proved the absence of a flow, up to maxAbsenceDoublings.
	// Guarded by mu.
	unproved int
	// serial is that of the last query. It begins with a random number, so that a query of an earlier process at
	// this address has another one. Guarded by mu.
	serial uint64
}

// suspectLost records that the search for the flow of a caller's packet went past the directory agents. The query follows
// the search at the first agents in rendezvous order by up to absenceInterval; a flow that they have is not asked about. Only packets that a
// caller sends on a flow that it has opened lead to a query.
func (e *Entry) suspectLost(s flow.Segment) {
	now := e.cfg.Now()
	if e.cfg.Membership == nil || !s.IsACK || s.IsSYN || s.IsRST || s.DataBytes == 0 && !s.IsFIN || now-e.started < settleTime || e.mayHaveHolder(s.Key, now) {
		return
	}
	a := &e.absences
	a.mu.Lock()
	isFirst, full := len(a.waiting)+len(a.queries) == 0, len(a.waiting) >= maxAbsenceWaiting
	if !full && !a.includes(s.Key) {
		a.waiting = append(a.waiting, lostFlow{s.Key, s.Ack, now})
	}
	a.mu.Unlock()
	if full {
		absenceOverflows.Inc()
	}
	if isFirst {
		e.cfg.ScheduleTick(absenceInterval)
	}
}

// mayHaveHolder reports whether an agent is known that may have or get the flow.
func (e *Entry) mayHaveHolder(key flow.Key, now time.Duration) bool {
	shard := e.flows.Lock(key)
	defer shard.Unlock()
	return shard.Get(key).mayHaveHolder(now)
}

// mayHaveHolder is Entry.mayHaveHolder for a record, which may be nil.
func (r *record) mayHaveHolder(now time.Duration) bool {
	return r != nil && (r.taken || r.parked || r.openingPacket != nil || r.offerCount > 0 || r.offerUpdated > 0 && now-r.offerUpdated < recentOffer)
}

// includes reports whether a flow waits or is being queried; a.mu must be held.
func (a *absences) includes(key flow.Key) bool {
	isFlow := func(f lostFlow) bool { return f.key == key }
	return slices.ContainsFunc(a.waiting, isFlow) || slices.ContainsFunc(a.queries, func(q *absenceQuery) bool { return slices.ContainsFunc(q.flows, isFlow) })
}

// cancelProof ends the proof for a flow whose caller sent an opening packet: it may open the flow again.
func (e *Entry) cancelProof(key flow.Key) {
	a := &e.absences
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = slices.DeleteFunc(a.waiting, func(f lostFlow) bool { return f.key == key })
	for _, q := range a.queries {
		for i := range q.flows {
			if q.flows[i].key == key {
				q.proofs[i].Refute()
			}
		}
	}
}

// tickAbsences sends the query that is due. It returns the time until it must be called again, or 0 if no flow waits.
func (e *Entry) tickAbsences(now time.Duration) time.Duration {
	if e.cfg.Membership == nil {
		return 0
	}
	a := &e.absences
	a.mu.Lock()
	a.queries = slices.DeleteFunc(a.queries, func(q *absenceQuery) bool { return q.expire(now) })
	a.waiting = slices.DeleteFunc(a.waiting, func(f lostFlow) bool {
		expired := now-f.since > maxAbsenceWait
		if expired {
			absencesWithheld.Inc()
		}
		return expired
	})
	waiting, queried := len(a.waiting), len(a.queries)
	next := a.nextQuery - now
	var newest time.Duration
	if waiting > 0 {
		newest = a.waiting[waiting-1].since
	}
	a.mu.Unlock()
	switch {
	case waiting == 0 && queried == 0:
		return 0
	case waiting == 0:
		return absenceInterval
	case next > 0:
		return next
	}
	e.dropFound(now)
	members := e.cfg.Membership(newest)
	agents, complete := e.requiredAgents(members)
	interval := max(absenceInterval, time.Duration(len(agents))*time.Second/absenceQueriesPerSecond)
	if complete {
		e.sendAbsenceQuery(a.begin(agents, members.ReadAt, now, interval), agents)
	}
	return interval
}

// dropFound removes the waiting flows that an agent has taken since, so that no agent is asked about them.
func (e *Entry) dropFound(now time.Duration) {
	a := &e.absences
	a.mu.Lock()
	waiting := slices.Clone(a.waiting)
	a.mu.Unlock()
	for _, f := range waiting {
		if e.mayHaveHolder(f.key, now) {
			e.cancelProof(f.key)
		}
	}
}

// expire reports whether the time of a query is over, and counts the flows that weren't decided on.
func (q *absenceQuery) expire(now time.Duration) bool {
	if now-q.sentAt <= absenceTimeout {
		return false
	}
	for i := range q.flows {
		switch {
		case q.flows[i].key == flow.Key{}:
		case q.proofs[i].Refuted():
			absencesRefuted.Inc()
		default:
			absencesUnanswered.Inc()
		}
	}
	return true
}

// begin begins a query for the flows that were searched for before the records of the agents were read. It returns nil if
// there are none, or too many agents.
func (a *absences) begin(agents []requiredAgent, readAt, now, interval time.Duration) *absenceQuery {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, limit := 0, min(mesh.MaxAbsenceKeys, maxAbsenceAnswers/max(len(agents), 1))
	for n < len(a.waiting) && n < limit && a.waiting[n].since < readAt {
		n++
	}
	if n == 0 {
		return nil
	}
	a.serial++
	interval = max(interval, time.Duration(len(agents)*mesh.AbsenceQueryBytes(n))*time.Second/absenceBytesPerSecond)
	a.nextQuery = now + interval<<a.unproved
	a.unproved = min(a.unproved+1, maxAbsenceDoublings)
	q := &absenceQuery{serial: a.serial, sentAt: now, interval: interval, flows: slices.Clone(a.waiting[:n]), proofs: make([]flowabsence.Proof, n)}
	a.waiting = slices.Delete(a.waiting, 0, n)
	ips := make([]uint32, len(agents))
	for i, agent := range agents {
		ips[i] = agent.ip
	}
	for i := range q.proofs {
		q.proofs[i].Expect(ips)
	}
	a.queries = append(a.queries, q)
	return q
}

func (e *Entry) sendAbsenceQuery(q *absenceQuery, agents []requiredAgent) {
	if q == nil {
		return
	}
	body := mesh.AbsenceQuery{Serial: q.serial}
	e.absences.mu.Lock()
	for _, f := range q.flows {
		body.Keys = append(body.Keys, f.key)
	}
	e.absences.mu.Unlock()
	m := mesh.Message{Kind: mesh.KindAbsenceQuery, ConfigVersion: e.cfg.Routes.Version(), Origin: e.cfg.IP, Body: body.Append(nil)}
	for _, agent := range agents {
		m.SetService(agent.service)
		e.send(agent.ip, &m)
	}
	absenceQueries.Add(len(agents))
	absenceFlows.Add(len(q.flows))
}

// requiredAgent is an agent that must answer a query.
type requiredAgent struct {
	ip          uint32
	service     mesh.ServiceID
	incarnation int64
}

// requiredAgents returns the agents whose hosts may have a flow, ordered by address, and whether the entry knows all of them. An
// agent without a record whose host doesn't run isn't required: it left after its host, or its host has not started.
func (e *Entry) requiredAgents(members Membership) (agents []requiredAgent, complete bool) {
	if !members.Known {
		return nil, false
	}
	listed := make(map[uint32]bool, len(members.Agents))
	for _, ip := range members.Agents {
		listed[ip] = true
	}
	found, departed, reported, now := 0, 0, true, e.cfg.Now()
	for _, a := range e.roster.allAgents() {
		r := a.report.Load()
		if listed[r.IP] {
			found++
		} else if r.HostDown || r.Leaving && r.HostState == host.Gone {
			if !a.timedOut(now) {
				departed++
			}
			continue
		}
		reported = reported && (r.HostState != host.Unknown || r.HostDown)
		agents = append(agents, requiredAgent{r.IP, mesh.ServiceIDOf(r.Service), r.Incarnation})
	}
	slices.SortFunc(agents, func(x, y requiredAgent) int { return cmp.Compare(x.ip, y.ip) })
	// An agent that is recorded but has not reported can't be asked, and one that has no report of its host has no answer. An
	// agent that another entry counts may be missing here; others still count those that left until they time out.
	return agents, len(agents) > 0 && reported && found == len(listed) && e.roster.maxReportedAgents() <= len(agents)+departed
}

// maxReportedAgents returns the largest number of agents that another entry reported recently.
func (r *roster) maxReportedAgents() int {
	now, largest := r.cfg.Now(), 0
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, e := range r.entries {
		if now-e.lastHeard <= mesh.SilenceTimeout(e.report.IntervalMs) {
			largest = max(largest, int(e.report.AgentCount))
		}
	}
	return largest
}

// handleAbsenceAnswer records the answers of an agent and resets the flows that no host has.
func (e *Entry) handleAbsenceAnswer(m *mesh.Message) {
	answer, err := mesh.DecodeAbsenceAnswer(m.Body)
	if err != nil {
		badDatagrams.Inc()
		return
	}
	if e.cfg.Membership == nil {
		return
	}
	if a := e.roster.agent(m.Origin); a != nil {
		a.recordMessage(m.Load, e.cfg.Now())
	}
	var required []requiredAgent
	var determined, complete bool
	proved := func(p *flowabsence.Proof) bool {
		if !determined {
			required, complete = e.requiredAgents(e.cfg.Membership(0))
			determined = true
		}
		return complete && provedBy(p, required)
	}
	for _, f := range e.absences.record(m.Origin, answer, e.cfg.Now(), proved) {
		e.resetLost(f, len(required))
	}
}

// provedBy reports whether a proof is complete and all agents have answered it as their current incarnations.
func provedBy(p *flowabsence.Proof, agents []requiredAgent) bool {
	return p.Complete() && !slices.ContainsFunc(agents, func(a requiredAgent) bool { return !p.AnsweredBy(a.ip, a.incarnation) })
}

// record records the answers of an agent and returns the flows that are proved to be absent, each once.
func (a *absences) record(agent uint32, answer mesh.AbsenceAnswer, now time.Duration, proved func(*flowabsence.Proof) bool) (lost []lostFlow) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.IndexFunc(a.queries, func(q *absenceQuery) bool { return q.serial == answer.Serial })
	if i < 0 || len(answer.Verdicts) != len(a.queries[i].flows) || now-a.queries[i].sentAt > absenceTimeout {
		return nil
	}
	q := a.queries[i]
	for i, v := range answer.Verdicts {
		p := &q.proofs[i]
		p.Answer(agent, flowabsence.Incarnation{Agent: answer.Agent, Host: answer.Host}, flowabsence.Verdict(v))
		if q.flows[i].key != (flow.Key{}) && p.Complete() && proved(p) {
			lost = append(lost, q.flows[i])
			q.flows[i] = lostFlow{}
			a.unproved, a.nextQuery = 0, min(a.nextQuery, q.sentAt+q.interval)
		}
	}
	return lost
}

// resetLost resets a flow that no host has, unless an agent has taken it or its caller opens it again meanwhile.
func (e *Entry) resetLost(f lostFlow, agents int) {
	now := e.cfg.Now()
	shard := e.flows.Lock(f.key)
	if shard.Get(f.key).mayHaveHolder(now) {
		shard.Unlock()
		absencesRefuted.Inc()
		return
	}
	// The record stays, as it keeps further packets of the flow from beginning the search anew.
	shard.Unlock()
	e.resetFlow(f.key, f.ack)
	absencesProved.Inc()
	if e.cfg.Log.AllowRare() {
		e.cfg.Log.Warn("flow reset", "flow", f.key.String(), "why", "no host has the flow", "agents", agents, "afterMs", (now - f.since).Milliseconds())
	}
}

// newAbsences returns the state of an entry that has just started. Its serial numbers begin at a random one.
func newAbsences(random func() uint64) absences { return absences{serial: random()} }
