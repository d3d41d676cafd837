package packetagent

import (
	"bytes"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtable"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
	"endiveflow.example/endiveflow/platform"
)

// handleOffer decides on a new flow.
func (a *Agent) handleOffer(m *mesh.Message, s flow.Segment) {
	if !s.Opens() {
		badPackets.Inc()
		return
	}
	if m.Terms.Best != mesh.NoCandidate && m.Terms.Best >= m.Count {
		badDatagrams.Inc()
		return
	}
	if a.load.SetWarmupRate(m.ConfigVersion, m.Terms.WarmupRate) {
		a.cfg.Log.Info("host", "outcome", "warmupRate", "perSecond", m.Terms.WarmupRate, "config", m.ConfigVersion)
		a.admitHeld()
	}
	shard := a.flows.Lock(s.Key)
	if r := shard.Get(s.Key); r != nil && r.phase != ended {
		r.lastPacket = a.cfg.Now()
		isHeld := r.phase == held
		shard.Unlock()
		if !isHeld {
			a.deliverToHost(m.Body, s)
		}
		a.notify(mesh.KindTaken, m.Origin, s.Key)
		return
	}
	visit := m.Terms.Current
	d := a.load.Decide(s.Key, m.Terms, m.Count, a.cfg.Now())
	switch d.Action {
	case placement.Take:
		a.addFlow(shard, m, s, opening)
		shard.Unlock()
		a.startAnswerTimer(s.Key)
		a.sendToHost(m.Body, contextOffer)
		a.notify(mesh.KindTaken, m.Origin, s.Key)
		a.announceLocation(s.Key, m.Directories)
	case placement.Hold:
		a.addFlow(shard, m, s, held)
		shard.Unlock()
		a.cfg.ScheduleTick(a.load.NextExpiry(a.cfg.Now()))
		a.scheduleAdmission()
		a.notify(mesh.KindTaken, m.Origin, s.Key)
		a.announceLocation(s.Key, m.Directories)
	default:
		shard.Unlock()
		a.applyDecision(m, s, d)
	}
	a.logOffer(m, s, d, visit)
}

// addFlow adds a record of a flow that this agent took or holds; the shard must be locked.
func (a *Agent) addFlow(shard *flowtable.Shard[record], m *mesh.Message, s flow.Segment, p phase) {
	now := a.cfg.Now()
	offer := &pendingOffer{message: *m, packet: bytes.Clone(m.Body)}
	offer.message.Body = nil
	shard.Put(s.Key, &record{
		route: s.Key.Service, phase: p, phaseStarted: now, opened: now, openedUnixMilli: a.cfg.UnixMilli(), lastPacket: now,
		offer: offer, directories: m.Directories, directoriesNotified: now, directoriesAsked: now,
	})
}

// startAnswerTimer starts the timer for the host's answer to an opening packet.
func (a *Agent) startAnswerTimer(key flow.Key) {
	a.timersMu.Lock()
	a.answerTimers = append(a.answerTimers, answerTimer{key: key, due: a.cfg.Now() + a.cfg.AnswerTimeout})
	first := len(a.answerTimers) == 1
	a.timersMu.Unlock()
	if first {
		a.cfg.ScheduleTick(a.cfg.AnswerTimeout)
	}
}

// admitHeld sends the opening packets of held flows to the host while it has room. It is called when room may
// have become free, with no lock held. Flows that exceeded the hold limit are refused first: after a pause of the
// process, the callers of all held flows may be gone.
func (a *Agent) admitHeld() {
	a.refuseExpired()
	for {
		now := a.cfg.Now()
		key, ok := a.load.Dequeue(now)
		if !ok {
			a.scheduleAdmission()
			return
		}
		shard := a.flows.Lock(key)
		r := shard.Get(key)
		if r == nil || r.phase != held {
			shard.Unlock()
			a.load.RequestEnded(nil, now)
			continue
		}
		waited := now - r.phaseStarted
		r.phase, r.phaseStarted, r.opened, r.openedUnixMilli = opening, now, now, a.cfg.UnixMilli()
		packet, target := bytes.Clone(r.offer.packet), r.offer.message.Terms.TargetLatency.Duration()
		shard.Unlock()
		a.startAnswerTimer(key)
		a.sendToHost(packet, contextOffer)
		holdTimes.Update(waited.Seconds())
		logAllowed := a.cfg.Log.AllowOrdinary
		if waited > target {
			logAllowed = a.cfg.Log.AllowRare
		}
		if logAllowed() {
			l := a.load.Load(now)
			a.cfg.Log.Info("held flow given to the host", "flow", key.String(),
				"heldMs", waited.Milliseconds(), "targetMs", target.Milliseconds(), "busy", l.Busy, "slots", l.Slots, "meanMs", uint16(l.ServiceTime))
		}
	}
}

// scheduleAdmission schedules a tick for the time at which a held flow may be given to a host that is warming up. It is called
// whenever a flow is held or room has become free, so that it doesn't schedule the same tick again.
func (a *Agent) scheduleAdmission() {
	now := a.cfg.Now()
	wait, waits := a.load.NextAdmission(now)
	if !waits {
		return
	}
	at := now + wait
	if scheduled := time.Duration(a.admissionTick.Load()); scheduled > now && scheduled <= at {
		return
	}
	a.admissionTick.Store(int64(at))
	a.cfg.ScheduleTick(wait)
}

// reofferHeld offers all held flows to other agents, for a host that no longer accepts flows.
func (a *Agent) reofferHeld(why string) {
	for {
		key, ok := a.load.DequeueAny()
		if !ok {
			return
		}
		if offer := a.removeHeld(key); offer != nil {
			offer.message.Terms.HandedOver = true
			a.decline(key, offer, why)
		}
	}
}

// refuseExpired refuses the held flows that exceeded the hold limit. The entry resets those that it offered only once: it alone
// knows whether another agent may have the flow.
func (a *Agent) refuseExpired() {
	for {
		key, ok := a.load.DequeueExpired(a.cfg.Now())
		if !ok {
			return
		}
		offer := a.removeHeld(key)
		if offer == nil {
			continue
		}
		m := a.newMessage(mesh.KindRefused, key)
		m.Step = mesh.RefusedHeld
		a.send(offer.message.Origin, &m)
		if a.cfg.Log.AllowRare() {
			a.cfg.Log.Warn("held flow refused", "flow", key.String(), "why", "held too long", "busy", a.Load().Busy)
		}
	}
}

// removeHeld removes a held flow and returns its offer, nil if the flow is no longer held.
func (a *Agent) removeHeld(key flow.Key) *pendingOffer {
	shard := a.flows.Lock(key)
	defer shard.Unlock()
	r := shard.Get(key)
	if r == nil || r.phase != held {
		return nil
	}
	shard.Delete(key)
	return r.offer
}

// applyDecision passes on or refuses an offer, as decided by the placement.
func (a *Agent) applyDecision(m *mesh.Message, s flow.Segment, d placement.Decision) {
	mustTake := m.Terms.MustTake
	m.Terms = d.Terms
	switch {
	case d.Action == placement.Pass || d.Action == placement.Return:
		a.passOffer(m, s.Key)
	case mustTake && placement.RestartWithout(m, a.cfg.IP):
		// This host was the best candidate when the others were visited, but can no longer take the flow.
		a.passOffer(m, s.Key)
	default:
		// The entry knows whether another agent may have the flow, and resets it if not.
		a.notify(mesh.KindRefused, m.Origin, s.Key)
	}
}

// passOffer sends an offer to its current candidate and notifies the entry.
func (a *Agent) passOffer(m *mesh.Message, key flow.Key) {
	a.forgetOffer(key)
	a.send(m.Candidates[m.Terms.Current], m)
	notice := a.newMessage(mesh.KindPassed, key)
	estimate := notice.Terms
	notice.Terms, notice.Candidates, notice.Count = m.Terms, m.Candidates, m.Count
	notice.Terms.TypicalServiceTime, notice.Terms.LongFlows = estimate.TypicalServiceTime, estimate.LongFlows
	a.send(m.Origin, &notice)
}

// decline passes on the offer of a flow that the host did not accept.
func (a *Agent) decline(key flow.Key, offer *pendingOffer, why string) {
	m := offer.message
	m.Body = offer.packet
	platform.ClearMarks(m.Body)
	s, err := platform.DecodePacket(m.Body, platform.FromCaller)
	if err != nil {
		badPackets.Inc()
		return
	}
	d := placement.Decline(m.Terms, m.Count)
	a.applyDecision(&m, s, d)
	declined.Inc()
	if a.cfg.Log.AllowRare() {
		a.cfg.Log.Warn("flow not accepted by the host", "flow", key.String(), "why", why,
			"outcome", d.Action.String(), "silent", a.unansweredOpenings.Load())
	}
}

func (a *Agent) logOffer(m *mesh.Message, s flow.Segment, d placement.Decision, visit uint8) {
	decisions[d.Action].Inc()
	if d.WarmupWait > 0 {
		warmupLimited.Inc()
	}
	logAllowed := a.cfg.Log.AllowOrdinary
	if d.Action == placement.Refuse {
		logAllowed = a.cfg.Log.AllowRare
	}
	if !logAllowed() {
		return
	}
	a.cfg.Log.Info("offer", "flow", s.Key.String(), "outcome", d.Action.String(), "entry", flow.IPText(m.Origin),
		"visit", visit, "of", m.Count, "busy", d.Load.Busy, "slots", d.Load.Slots, "open", d.Load.Open, "workMs", d.Load.WorkMs, "standingMs", d.Load.StandingMs,
		"meanMs", uint16(d.Load.ServiceTime), "expectedMs", d.ExpectedLatency.Milliseconds(), "bestMs", uint16(d.Terms.BestLatency), "warmupWaitMs", d.WarmupWait.Milliseconds(),
		"targetMs", uint16(m.Terms.TargetLatency), "config", m.ConfigVersion)
}
