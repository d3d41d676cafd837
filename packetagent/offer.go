package packetagent

import (
	"bytes"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtable"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
	"endiveflow.example/endiveflow/platform"
)

// offered decides about a new flow.
func (a *Agent) offered(m *mesh.Message, s flow.Segment) {
	if !s.Opens() {
		badPackets.Inc()
		return
	}
	shard := a.flows.Lock(s.Key)
	if r := shard.Get(s.Key); r != nil && r.phase != ended {
		r.touched = a.cfg.Now()
		shard.Unlock()
		a.toHost(m.Body, contextDeliver)
		a.tell(mesh.Taken, m.Entry, s.Key)
		return
	}
	d := a.load.Decide(m.Offered, m.Count)
	if d.Action == placement.Take {
		a.take(shard, m, s)
		shard.Unlock()
		a.toHost(m.Body, contextOffer)
		a.tell(mesh.Taken, m.Entry, s.Key)
	} else {
		shard.Unlock()
		a.sendOn(m, s, d)
	}
	a.explainOffer(m, s, d)
}

// take records a flow that is given to the host; the shard is locked.
func (a *Agent) take(shard *flowtable.Shard[record], m *mesh.Message, s flow.Segment) {
	now := a.cfg.Now()
	held := &heldOffer{message: *m, packet: bytes.Clone(m.Body)}
	held.message.Body = nil
	shard.Put(s.Key, &record{phase: opening, since: now, touched: now, offer: held})
	a.waitMu.Lock()
	a.waits = append(a.waits, wait{key: s.Key, due: now + a.cfg.AnswerTimeout})
	first := len(a.waits) == 1
	a.waitMu.Unlock()
	if first {
		a.cfg.Waiting(a.cfg.AnswerTimeout)
	}
}

// sendOn does what a decision other than to take the flow says.
func (a *Agent) sendOn(m *mesh.Message, s flow.Segment, d placement.Decision) {
	switch d.Action {
	case placement.Pass, placement.Return:
		m.Offered = d.Terms
		a.send(m.Candidates[m.Offered.At], m)
		notice := a.message(mesh.Passed, m.Entry, s.Key)
		notice.Offered = d.Terms
		notice.Candidates, notice.Count = m.Candidates, m.Count
		a.send(m.Entry, &notice)
	default:
		a.reset(s.Key, s.Seq)
		a.tell(mesh.Refused, m.Entry, s.Key)
	}
}

// decline takes back a flow that the host did not accept and sends its offer on.
func (a *Agent) decline(key flow.Key, held *heldOffer, why string) {
	m := held.message
	m.Body = held.packet
	platform.ClearMarks(m.Body)
	s, err := platform.DecodePacket(m.Body, platform.FromCaller)
	if err != nil {
		badPackets.Inc()
		return
	}
	d := placement.Decline(m.Offered, m.Count)
	a.sendOn(&m, s, d)
	declined.Inc()
	if a.cfg.Log.Rare() {
		a.cfg.Log.Warn("host did not take a flow", "flow", key.String(), "why", why, "outcome", d.Action.String(), "silent", a.silent.Load())
	}
}

func (a *Agent) explainOffer(m *mesh.Message, s flow.Segment, d placement.Decision) {
	decisions[d.Action].Inc()
	may := a.cfg.Log.Ordinary
	if d.Action == placement.Refuse {
		may = a.cfg.Log.Rare
	}
	if !may() {
		return
	}
	a.cfg.Log.Info("offer", "flow", s.Key.String(), "outcome", d.Action.String(), "entry", addr(m.Entry),
		"visit", m.Offered.At, "of", m.Count, "busy", d.Load.Busy, "slots", d.Load.Slots, "open", d.Load.Open,
		"meanMs", uint16(d.Load.Service), "expectedMs", d.Expected.Milliseconds(), "bestMs", uint16(d.Terms.BestWait),
		"targetMs", uint16(m.Offered.Target), "config", m.ConfigVersion)
}
