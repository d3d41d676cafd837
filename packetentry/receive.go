package packetentry

import (
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

// Receive takes a datagram of another process.
func (e *Entry) Receive(datagram []byte) {
	var m mesh.Message
	if err := m.Decode(datagram); err != nil {
		badDatagrams.Inc()
		return
	}
	if m.ConfigVersion > e.cfg.Routes.Version() && m.Entry != 0 {
		e.cfg.NewerConfig(m.Entry)
	}
	switch m.Kind {
	case mesh.Marker:
		if m.Entry == e.cfg.IP {
			e.markerArrived()
		}
	case mesh.AgentReport:
		e.agentReport(&m)
	case mesh.EntryReport:
		e.entryReport(&m)
	case mesh.Taken, mesh.Passed, mesh.Refused, mesh.Missing:
		if a := e.roster.agent(m.Entry); a != nil {
			a.told(m.Load, e.cfg.Now())
		}
		e.notice(&m)
	default:
		badDatagrams.Inc()
	}
}

func (e *Entry) agentReport(m *mesh.Message) {
	report, err := mesh.DecodeReport[mesh.Agent](m.Body)
	if err != nil || report.IP != m.Entry || report.Service == "" {
		badDatagrams.Inc()
		return
	}
	fresh, changed := e.roster.takeAgent(report, m.Load)
	if changed {
		e.cfg.Log.Info("agent", "agent", flow.IPText(report.IP), "incarnation", report.Incarnation, "report", report.Version, "service", report.Service,
			"host", report.HostID, "state", report.Host.String(), "leaving", report.Leaving, "warm", report.Warm, "slots", m.Load.Slots)
	}
	if fresh {
		e.cfg.Met(report.IP)
	}
}

func (e *Entry) entryReport(m *mesh.Message) {
	report, err := mesh.DecodeReport[mesh.Entry](m.Body)
	if err != nil || report.IP != m.Entry {
		badDatagrams.Inc()
		return
	}
	if e.roster.takeEntry(report) {
		e.cfg.Log.Info("entry", "entry", flow.IPText(report.IP), "incarnation", report.Incarnation, "zone", report.Zone)
		e.cfg.Met(report.IP)
	}
	for _, ip := range report.Agents {
		if e.roster.agent(ip) == nil {
			e.cfg.Met(ip)
		}
	}
}

// notice takes what an agent says of a flow.
func (e *Entry) notice(m *mesh.Message) {
	shard := e.flows.Lock(m.Flow)
	r := shard.Get(m.Flow)
	now := e.cfg.Now()
	if r != nil && !r.taken && r.offers > 0 {
		e.answered(now - r.asked)
	}
	switch {
	case m.Kind == mesh.Taken:
		if r == nil {
			r = &record{touched: now}
			shard.Put(m.Flow, r)
		}
		r.agent, r.taken, r.opening = m.Entry, true, nil
	case m.Kind == mesh.Missing:
		if r != nil && r.taken && r.agent == m.Entry {
			// The agent no longer has the flow that it had.
			shard.Delete(m.Flow)
		}
	case r == nil || r.taken:
	case m.Kind == mesh.Refused:
		shard.Delete(m.Flow)
	case m.Offered.At < m.Count:
		r.agent, r.asked = m.Candidates[m.Offered.At], now
	}
	shard.Unlock()
	if m.Kind == mesh.Missing {
		e.searchFurther(m)
	}
}

// Tick looks for what is due. Whether an agent stayed silent is known only when
// the datagrams that came before are read: a slow entry must not take its own
// delay for the agent's. So Tick sends the entry a marker, and what is due is done when the
// marker arrives. It returns the time until something else is due, or 0 when nothing waits.
func (e *Entry) Tick() time.Duration {
	now := e.cfg.Now()
	e.waitMu.Lock()
	defer e.waitMu.Unlock()
	next := time.Duration(0)
	for _, list := range [][]wait{e.offers, e.searches} {
		if len(list) == 0 {
			continue
		}
		if left := max(list[0].due-now, 0); next == 0 || left < next {
			next = max(left, time.Millisecond)
		}
		if list[0].due <= now && (e.marked == 0 || now-e.marked > markerTimeout) {
			e.marked = now
			m := mesh.Message{Kind: mesh.Marker, Entry: e.cfg.IP}
			e.send(e.cfg.IP, &m)
		}
	}
	if next > 0 && e.marked != 0 {
		next = max(next, markerPause)
	}
	return next
}

const (
	// markerTimeout is the time after which a marker is taken for lost.
	markerTimeout = 200 * time.Millisecond
	// markerPause is the time between looks while a marker is on its way.
	markerPause = 5 * time.Millisecond
)

// markerArrived does what was due when the marker was sent.
func (e *Entry) markerArrived() {
	now := e.cfg.Now()
	e.waitMu.Lock()
	sent := e.marked
	e.marked = 0
	e.waitMu.Unlock()
	if sent == 0 {
		return
	}
	for _, list := range []*[]wait{&e.offers, &e.searches} {
		for {
			w, ok := e.due(list, sent)
			if !ok {
				break
			}
			e.overdue(w.key, now, list == &e.searches)
		}
	}
}

// due takes the first wait that was due at a time.
func (e *Entry) due(list *[]wait, at time.Duration) (wait, bool) {
	e.waitMu.Lock()
	defer e.waitMu.Unlock()
	if len(*list) == 0 || (*list)[0].due > at {
		return wait{}, false
	}
	w := (*list)[0]
	*list = (*list)[1:]
	return w, true
}

// overdue offers a flow again that wasn't taken in time.
func (e *Entry) overdue(key flow.Key, now time.Duration, searched bool) {
	shard := e.flows.Lock(key)
	r := shard.Get(key)
	if r == nil || r.taken || r.opening == nil {
		shard.Unlock()
		return
	}
	if left := r.asked + e.offerTimeout() - now; !searched && left > 0 {
		// An agent passed the offer on meanwhile.
		shard.Unlock()
		e.await(&e.offers, wait{key, now + left})
		return
	}
	if !searched {
		e.blame(key, r)
	}
	route, ok := e.cfg.Routes.Current().Find(key.Service)
	if !ok || r.offers >= maxOffers {
		shard.Delete(key)
		shard.Unlock()
		gaveUp.Inc()
		if e.cfg.Log.Rare() {
			e.cfg.Log.Warn("open", "flow", key.String(), "outcome", "gave up", "offers", maxOffers)
		}
		return
	}
	e.offer(shard, key, r, route)
}

// blame notes that the agent that has an offer stayed silent.
func (e *Entry) blame(key flow.Key, r *record) {
	if r.offers > 0 {
		r.tried[r.offers-1] = r.agent
	}
	silentOffers.Inc()
	if a := e.roster.agent(r.agent); a != nil {
		a.markSilent()
	}
	if e.cfg.Log.Rare() {
		e.cfg.Log.Warn("agent", "agent", flow.IPText(r.agent), "outcome", "silent", "flow", key.String(), "afterMs", (e.cfg.Now() - r.asked).Milliseconds(), "attempt", r.offers)
	}
}

// Ready says whether the entry can place flows, or why it can't.
func (e *Entry) Ready() (bool, string) {
	switch {
	case e.leaving.Load():
		return false, "leaving"
	case e.cfg.Routes.Current() == nil:
		return false, "no configuration"
	case len(e.roster.all()) == 0:
		return false, "no agents"
	}
	return true, ""
}

// Stop makes the entry not ready; it goes on forwarding.
func (e *Entry) Stop() { e.leaving.Store(true) }

// Known returns the addresses of the processes that were heard from lately.
func (e *Entry) Known() (entries, agents []uint32) { return e.roster.heardFrom() }

// reportedOthers is the number of entries and of agents that a report names. Which
// ones changes from report to report, so that all are named in time.
const reportedOthers = 16

// ReportMessage returns the message that carries what the entry says of
// itself, with the time until its next regular report.
func (e *Entry) ReportMessage(interval time.Duration) ([]byte, error) {
	entries, agents := e.roster.heardFrom()
	turn := int(e.reports.Add(1))
	body, err := mesh.EncodeReport(mesh.Entry{
		IP: e.cfg.IP, Incarnation: e.cfg.Incarnation, Zone: e.cfg.Zone, IntervalMs: uint32(interval.Milliseconds()),
		Entries: someOf(entries, turn), Agents: someOf(agents, turn),
	})
	if err != nil {
		return nil, err
	}
	m := mesh.Message{Kind: mesh.EntryReport, ConfigVersion: e.cfg.Routes.Version(), Entry: e.cfg.IP, Body: body}
	return m.Append(nil), nil
}

// someOf returns up to reportedOthers addresses, others at each turn.
func someOf(all []uint32, turn int) []uint32 {
	if len(all) <= reportedOthers {
		return all
	}
	out := make([]uint32, 0, reportedOthers)
	for i := range reportedOthers {
		out = append(out, all[(turn*reportedOthers+i)%len(all)])
	}
	return out
}

// Sweep forgets flows without packets and processes that have been silent for long. It is called about once a second.
func (e *Entry) Sweep() {
	now, idle := e.cfg.Now(), e.cfg.Routes.IdleTimeout()
	e.flows.Sweep(func(_ flow.Key, r *record) bool { return now-r.touched <= idle })
	for _, ip := range e.roster.sweep() {
		e.cfg.Log.Warn("process forgotten", "process", flow.IPText(ip), "of", "all that are silent for long")
	}
}
