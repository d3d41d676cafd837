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
		waits := r.phase == held
		shard.Unlock()
		if !waits {
			a.toHost(m.Body, contextDeliver)
		}
		a.tell(mesh.Taken, m.Entry, s.Key)
		return
	}
	visit := m.Offered.At
	d := a.load.Decide(s.Key, m.Offered, m.Count, a.cfg.Now())
	switch d.Action {
	case placement.Take:
		a.record(shard, m, s, opening)
		shard.Unlock()
		a.awaitAnswer(s.Key)
		a.toHost(m.Body, contextOffer)
		a.tell(mesh.Taken, m.Entry, s.Key)
		a.locate(s.Key, m.Homes)
	case placement.Hold:
		a.record(shard, m, s, held)
		shard.Unlock()
		a.cfg.Waiting(a.load.NextExpiry(a.cfg.Now()))
		a.tell(mesh.Taken, m.Entry, s.Key)
		a.locate(s.Key, m.Homes)
	default:
		shard.Unlock()
		a.sendOn(m, s, d)
	}
	a.explainOffer(m, s, d, visit)
}

// record keeps a flow that this agent took or holds; the shard is locked.
func (a *Agent) record(shard *flowtable.Shard[record], m *mesh.Message, s flow.Segment, p phase) {
	now := a.cfg.Now()
	kept := &heldOffer{message: *m, packet: bytes.Clone(m.Body)}
	kept.message.Body = nil
	shard.Put(s.Key, &record{phase: p, since: now, opened: now, openedAt: a.cfg.UnixMilli(), touched: now, offer: kept, homes: m.Homes, told: now})
}

// awaitAnswer makes Tick look whether the host answered an opening packet.
func (a *Agent) awaitAnswer(key flow.Key) {
	a.waitMu.Lock()
	a.waits = append(a.waits, wait{key: key, due: a.cfg.Now() + a.cfg.AnswerTimeout})
	first := len(a.waits) == 1
	a.waitMu.Unlock()
	if first {
		a.cfg.Waiting(a.cfg.AnswerTimeout)
	}
}

// serveHeld gives held flows to the host while it has room. It is called
// without any lock after a flow may have made room.
func (a *Agent) serveHeld() {
	for {
		now := a.cfg.Now()
		key, ok := a.load.Dequeue(now)
		if !ok {
			return
		}
		shard := a.flows.Lock(key)
		r := shard.Get(key)
		if r == nil || r.phase != held {
			shard.Unlock()
			a.load.RequestEnded(nil, now)
			continue
		}
		waited := now - r.since
		r.phase, r.since, r.opened, r.openedAt = opening, now, now, a.cfg.UnixMilli()
		packet, target := bytes.Clone(r.offer.packet), r.offer.message.Offered.Target.Duration()
		shard.Unlock()
		a.awaitAnswer(key)
		a.toHost(packet, contextOffer)
		holdTimes.Update(waited.Seconds())
		may := a.cfg.Log.Ordinary
		if waited > target {
			may = a.cfg.Log.Rare
		}
		if may() {
			l := a.load.Load()
			a.cfg.Log.Info("held flow given to the host", "flow", key.String(), "heldMs", waited.Milliseconds(), "targetMs", target.Milliseconds(), "busy", l.Busy, "slots", l.Slots, "meanMs", uint16(l.Service))
		}
	}
}

// releaseHeld offers all held flows to other agents, for a host that no longer takes flows.
func (a *Agent) releaseHeld(why string) {
	for {
		key, ok := a.load.DequeueAny()
		if !ok {
			return
		}
		if kept := a.dropHeld(key); kept != nil {
			a.decline(key, kept, why)
		}
	}
}

// refuseExpired refuses the held flows whose callers are about to give up.
func (a *Agent) refuseExpired() {
	for {
		key, ok := a.load.DequeueExpired(a.cfg.Now())
		if !ok {
			return
		}
		kept := a.dropHeld(key)
		if kept == nil {
			continue
		}
		s, err := platform.DecodePacket(kept.packet, platform.FromCaller)
		if err != nil {
			badPackets.Inc()
			continue
		}
		a.refuse(kept.message.Entry, s)
		if a.cfg.Log.Rare() {
			a.cfg.Log.Warn("held flow refused", "flow", key.String(), "why", "held too long", "busy", a.load.Load().Busy)
		}
	}
}

// dropHeld forgets a held flow and returns its offer, nil if it is no longer held.
func (a *Agent) dropHeld(key flow.Key) *heldOffer {
	shard := a.flows.Lock(key)
	defer shard.Unlock()
	r := shard.Get(key)
	if r == nil || r.phase != held {
		return nil
	}
	shard.Delete(key)
	return r.offer
}

// sendOn does what a decision other than to take the flow says.
func (a *Agent) sendOn(m *mesh.Message, s flow.Segment, d placement.Decision) {
	mustTake := m.Offered.MustTake
	m.Offered = d.Terms
	switch {
	case d.Action == placement.Pass || d.Action == placement.Return:
		a.passOn(m, s.Key)
	case mustTake && placement.RestartWithout(m, a.cfg.IP):
		// This host was the best when the others were asked.
		a.passOn(m, s.Key)
	default:
		a.refuse(m.Entry, s)
	}
}

// passOn sends an offer to the candidate at Offered.At and tells the entry.
func (a *Agent) passOn(m *mesh.Message, key flow.Key) {
	a.send(m.Candidates[m.Offered.At], m)
	notice := a.message(mesh.Passed, key)
	notice.Offered, notice.Candidates, notice.Count = m.Offered, m.Candidates, m.Count
	a.send(m.Entry, &notice)
}

// refuse resets a flow that no host can serve.
func (a *Agent) refuse(entry uint32, s flow.Segment) {
	a.reset(s.Key, s.Seq)
	a.tell(mesh.Refused, entry, s.Key)
}

// decline takes back a flow that the host did not accept and sends its offer on.
func (a *Agent) decline(key flow.Key, kept *heldOffer, why string) {
	m := kept.message
	m.Body = kept.packet
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

func (a *Agent) explainOffer(m *mesh.Message, s flow.Segment, d placement.Decision, visit uint8) {
	decisions[d.Action].Inc()
	may := a.cfg.Log.Ordinary
	if d.Action == placement.Refuse {
		may = a.cfg.Log.Rare
	}
	if !may() {
		return
	}
	a.cfg.Log.Info("offer", "flow", s.Key.String(), "outcome", d.Action.String(), "entry", flow.IPText(m.Entry),
		"visit", visit, "of", m.Count, "busy", d.Load.Busy, "slots", d.Load.Slots, "open", d.Load.Open,
		"meanMs", uint16(d.Load.Service), "expectedMs", d.ExpectedLatency.Milliseconds(), "bestMs", uint16(d.Terms.BestWait),
		"targetMs", uint16(m.Offered.Target), "config", m.ConfigVersion)
}
