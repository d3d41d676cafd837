package packetagent

import (
	"math"
	"slices"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
)

// Heartbeat handles a report of the host. It returns an error of kind errors.NotValid if the report is for another service or
// address, and errHostUncertain if the report says that the host is draining and isn't in effect.
func (a *Agent) Heartbeat(r host.Report) error {
	if r.Service != a.cfg.Service || r.Address != a.cfg.Host {
		return errors.NotValidf("heartbeat of %s for service %q at %s, expected service %q at %s:",
			r, r.Service, r.Address, a.cfg.Service, a.cfg.Host)
	}
	a.hostMu.Lock()
	defer a.hostMu.Unlock()
	previous, known := a.host.Current()
	previousHeartbeat := time.Duration(a.lastHeartbeat.Load())
	now := a.cfg.Now()
	outcome := a.host.Update(r, now)
	if outcome == host.Outdated {
		acknowledged := a.host.InEffect(r)
		a.cfg.Log.Warn("outdated heartbeat ignored", "host", r.String(), "state", r.State.String(), "current", previous.String(),
			"currentState", previous.State.String(), "acknowledged", acknowledged)
		if !acknowledged {
			return errHostUncertain
		}
		return nil
	}
	a.lastHeartbeat.Store(int64(now))
	a.absences.setHostDown(false)
	a.unansweredOpenings.Store(0)
	a.load.SetSlots(r.Slots)
	a.load.SetWarmingUp(r.Warmup > 0)
	a.load.SetOpen(r.State == host.Ready)
	a.warmUntil.Store(int64(now + r.Warmup))
	if outcome == host.Replaced {
		a.noteIncarnation(r)
		a.handleReplacement(previous, known, r, previousHeartbeat)
	}
	if r.State == host.Ready {
		a.admitHeld()
	} else {
		a.reofferHeld("the host is " + r.State.String())
	}
	if outcome == host.Replaced || previous.State != r.State || previous.Slots != r.Slots {
		a.cfg.Log.Info("host", "host", r.String(), "outcome", outcome.String(), "state", r.State.String(), "before", previous.State.String(),
			"slots", r.Slots, "warmupMs", r.Warmup.Milliseconds(), "software", r.SoftwareVersion)
		a.cfg.ReportChanged()
	}
	return nil
}

// errHostUncertain reports that a host's call isn't in effect, as it isn't certain that the host is the current incarnation at its
// address. The host must not rely on it.
const errHostUncertain = errors.ConstError("not known to be the current host at its address")

// handleReplacement ends the flows of the host's previous incarnation, whose last heartbeat arrived at
// previousHeartbeat. Flows opened since then may be at the new incarnation, which accepts flows before its
// first heartbeat; if they aren't, their next packet bounces. known reports whether the agent had a report of
// the previous incarnation. The agent has a record of every flow of a host that started after the agent; the start times alone
// don't show this, as the clock may have been set between them. If the identity is the same, nothing shows that the flows are gone.
func (a *Agent) handleReplacement(previous host.Report, known bool, r host.Report, previousHeartbeat time.Duration) {
	if known && !r.SameIncarnation(previous) {
		startedAt := r.StartedAt
		if startedAt <= previous.StartedAt {
			// The clock was set back between the two starts, so that the start time tells nothing about flows.
			startedAt = 0
		}
		a.endFlows("the host was replaced by another incarnation", previousHeartbeat, startedAt)
		a.load.Reset()
	}
	sawStart := a.host.FirstSequence() <= firstSequence
	if known && a.host.FirstSequence() <= firstSequence+1 || sawStart && r.StartedAt > a.cfg.Incarnation {
		a.allFlowsKnown.Store(true)
	}
	a.startedTogether.Store((sawStart || a.startedBeforeAgent(r)) && r.StartedAt+startSkew.Milliseconds() > a.cfg.Incarnation)
}

// HostLeft handles the notification of a host that it is shutting down. It returns errHostUncertain if the host may
// prove to be the current one.
func (a *Agent) HostLeft(id string) error {
	a.hostMu.Lock()
	defer a.hostMu.Unlock()
	if !a.host.MarkGone(id) {
		acknowledged := !a.host.MayReplace(id)
		a.cfg.Log.Warn("shutdown notification ignored: not the current host, or not draining", "id", id, "acknowledged", acknowledged)
		if !acknowledged {
			return errHostUncertain
		}
		return nil
	}
	a.load.SetOpen(false)
	a.cfg.Log.Info("host", "id", id, "outcome", "left")
	a.cfg.ReportChanged()
	a.endFlows("the host shut down", maxTime, math.MaxInt64)
	return nil
}

// HostDown closes a host that is certainly down, as nothing listens at its address. The next heartbeat of any
// incarnation opens it again.
func (a *Agent) HostDown() {
	a.hostMu.Lock()
	defer a.hostMu.Unlock()
	r, _ := a.host.Current()
	a.host.MarkDown()
	a.load.SetOpen(false)
	a.absences.setHostDown(true)
	a.cfg.Log.Warn("host", "host", r.String(), "outcome", "down", "why", "its port refuses connections")
	a.cfg.ReportChanged()
	a.endFlows("the host is down", maxTime, math.MaxInt64)
}

// CloseUnresponsiveHost closes an unresponsive host until its next heartbeat.
func (a *Agent) CloseUnresponsiveHost() {
	if !a.load.IsOpen() {
		return
	}
	a.load.SetOpen(false)
	a.cfg.Log.Warn("host", "outcome", "silent", "openings", a.unansweredOpenings.Load())
	a.cfg.ReportChanged()
	a.reofferHeld("the host does not answer")
}

// HostUnresponsive reports whether the host left maxUnansweredOpenings consecutive opening packets unanswered.
func (a *Agent) HostUnresponsive() bool { return a.unansweredOpenings.Load() >= maxUnansweredOpenings }

// maxTime is later than any time.
const maxTime time.Duration = math.MaxInt64

// endFlows ends the flows of a host that is certainly down. It ends those opened before openedBefore and,
// unless nextStartedAt is 0, before nextStartedAt, the start of the next incarnation in Unix milliseconds.
// Both must hold: an agent that was paused reads old heartbeats late, and the wall clock may jump. It resets
// flows that their callers have confirmed, so that these retry immediately; others may be open at another
// host that received a copy of the opening packet.
func (a *Agent) endFlows(why string, openedBefore time.Duration, nextStartedAt int64) {
	a.reofferHeld(why)
	n := 0
	type lostFlow struct {
		key flow.Key
		ack uint32
	}
	var lost []lostFlow
	now := a.cfg.Now()
	a.flows.Sweep(func(key flow.Key, r *record) bool {
		if r.opened >= openedBefore || nextStartedAt > 0 && r.openedUnixMilli >= nextStartedAt {
			return true
		}
		if r.phase != ended {
			if closed := r.callerClosed && r.hostClosed; r.confirmed && !closed {
				lost = append(lost, lostFlow{key, r.callerAck})
			}
			r.setPhase(ended, now, a.load)
			n++
		}
		if nextStartedAt == math.MaxInt64 {
			// No new incarnation has reported, so that nothing but this observation shows that the flow is gone.
			a.forgetFlow(key)
		}
		return false
	})
	slices.SortFunc(lost, func(x, y lostFlow) int { return x.key.Compare(y.key) })
	for _, f := range lost {
		a.resetFlow(f.key, f.ack)
		resets.Inc()
	}
	if n > 0 {
		a.cfg.Log.Warn("flows ended", "why", why, "flows", n)
	}
}

// SetEvacuated sets whether the agent's zone is evacuated. While it is, the host gets no new flows: held ones are offered
// to other agents, and open ones continue.
func (a *Agent) SetEvacuated(evacuated bool) {
	if a.evacuated.Swap(evacuated) == evacuated {
		return
	}
	a.load.SetEvacuated(evacuated)
	a.cfg.Log.Info("host", "outcome", "evacuation", "zone", a.cfg.Zone, "evacuated", evacuated, "flows", a.Flows())
	if evacuated {
		a.reofferHeld("the zone is evacuated")
	}
	a.cfg.ReportChanged()
}

// Stop closes the host to new flows; its open flows continue until they end.
func (a *Agent) Stop() {
	a.leaving.Store(true)
	a.load.SetOpen(false)
	a.cfg.ReportChanged()
	a.reofferHeld("the agent is stopping")
}

// Report returns the agent's report, which contains the time until its next regular report.
func (a *Agent) Report(interval time.Duration) mesh.AgentReport {
	r, _ := a.host.Current()
	return mesh.AgentReport{
		IP: a.cfg.IP, Incarnation: a.cfg.Incarnation, Version: a.reportVersion.Add(1), Service: a.cfg.Service, Zone: a.cfg.Zone,
		Leaving: a.leaving.Load(), HostState: r.State, HostID: r.ID, HostStartedAt: r.StartedAt,
		HostWarm: a.cfg.Now() >= time.Duration(a.warmUntil.Load()), IntervalMs: uint32(interval.Milliseconds()),
		Evacuations: a.cfg.Evacuations(), HostDown: a.absences.isHostDown(), RelativeCostPermille: uint32(math.Round(1000 * a.load.RelativeCost())),
	}
}

// ReportMessage returns the encoded message that carries the report.
func (a *Agent) ReportMessage(interval time.Duration) ([]byte, error) {
	body, err := mesh.EncodeReport(a.Report(interval))
	if err != nil {
		return nil, err
	}
	m := a.newMessage(mesh.KindAgentReport, flow.Key{})
	m.Body = body
	return m.Append(nil), nil
}

// Tick does the work that is due: it passes on the offers that the host did not answer, frees the slots of
// opened flows whose callers sent no request, refuses the flows that were held for too long, and gives the host those that it
// had to wait for while it was warming up. It returns the time until it must be called again, or 0 if there are no timers.
func (a *Agent) Tick() time.Duration {
	now := a.cfg.Now()
	answer := a.expireAnswerTimers(now)
	a.refuseExpired()
	wait, waits := a.load.NextAdmission(now)
	if waits && wait == 0 {
		a.admitHeld()
		wait, _ = a.load.NextAdmission(now)
	}
	next := time.Duration(0)
	for _, d := range [...]time.Duration{answer, a.load.NextExpiry(now), wait} {
		if d > 0 && (next == 0 || d < next) {
			next = d
		}
	}
	return next
}

// expireAnswerTimers handles the answer timers that are due. It returns the time until the next one, or 0 if
// there is none.
func (a *Agent) expireAnswerTimers(now time.Duration) time.Duration {
	for {
		a.timersMu.Lock()
		if len(a.answerTimers) == 0 {
			a.answerTimers = nil
			a.timersMu.Unlock()
			return 0
		}
		timer := a.answerTimers[0]
		if timer.due > now {
			a.timersMu.Unlock()
			return timer.due - now
		}
		a.answerTimers = a.answerTimers[1:]
		a.timersMu.Unlock()
		a.handleAnswerTimeout(timer.key, now)
	}
}

func (a *Agent) handleAnswerTimeout(key flow.Key, now time.Duration) {
	shard := a.flows.Lock(key)
	r := shard.Get(key)
	if r != nil && r.phase == awaitingRequest {
		// A caller that is still there sends its request within a round trip. One that has left must not
		// occupy a slot; if its request arrives after all, it is counted then.
		r.setPhase(idle, now, a.load)
		shard.Unlock()
		noRequest.Inc()
		a.admitHeld()
		return
	}
	if r == nil {
		shard.Unlock()
		a.handleProbeTimeout(key, now)
		return
	}
	if r.phase != opening || r.offer == nil || now-r.opened < a.cfg.AnswerTimeout {
		shard.Unlock()
		return
	}
	offer := r.offer
	r.setPhase(ended, now, a.load)
	// The host may answer later.
	a.forgetFlow(key)
	shard.Delete(key)
	shard.Unlock()
	a.recordUnanswered(key, offer.message.Directories)
	a.unansweredOpenings.Add(1)
	a.decline(key, offer, "no answer")
	a.admitHeld()
}

// Sweep removes expired records. It must be called about once a second.
func (a *Agent) Sweep() {
	now, idle := a.cfg.Now(), a.cfg.IdleTimeout()
	a.flows.Sweep(func(key flow.Key, r *record) bool {
		if r.phase == running && now-r.phaseStarted > requestTimeout {
			r.abandonRequest(now, a.load)
			noAnswer.Inc()
		}
		keep := idle + endedRetention
		if r.phase == ended {
			keep = endedRetention
		}
		if now-r.lastPacket <= keep {
			return true
		}
		r.setPhase(ended, now, a.load)
		a.forgetFlow(key)
		return false
	})
	a.absences.sweep(now)
	a.refreshLocations(now)
	a.reassess(now)
	a.admitHeld()
	// As long as the agent may ask its host for flows, it remembers those that it has asked for.
	mayProbe := a.mayHaveUnknownFlows()
	a.searches.Sweep(func(_ flow.Key, s *search) bool {
		return now-s.at < searchTTL || mayProbe && (s.probed || s.bounced)
	})
}

// reassess logs when the host becomes or ceases to be faulty.
func (a *Agent) reassess(now time.Duration) {
	faulty, failureRate := a.load.Reassess(now)
	if a.loggedFaulty.Swap(faulty) == faulty {
		return
	}
	r, _ := a.host.Current()
	a.cfg.Log.Warn("host", "host", r.String(), "outcome", "judged", "faulty", faulty, "failedShare", math.Round(failureRate*100)/100)
	a.cfg.ReportChanged()
}
