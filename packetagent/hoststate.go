package packetagent

import (
	"math"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
)

// Heartbeat takes a report of the host. When it returns nil the report is in force.
func (a *Agent) Heartbeat(r host.Report) error {
	if r.Service != a.cfg.Service || r.Address != a.cfg.Host {
		return errors.NotValidf("heartbeat of %s for service %q at %s, expected service %q at %s:",
			r, r.Service, r.Address, a.cfg.Service, a.cfg.Host)
	}
	before, known := a.host.Current()
	heardBefore := time.Duration(a.heardHost.Load())
	outcome := a.host.Take(r)
	if outcome == host.Outdated {
		a.cfg.Log.Warn("late heartbeat ignored", "host", r.String(), "current", before.String(), "state", before.State.String())
		return nil
	}
	now := a.cfg.Now()
	a.heardHost.Store(int64(now))
	a.silent.Store(0)
	a.load.SetSlots(r.Slots)
	a.load.SetOpen(r.State == host.Ready)
	a.warmUntil.Store(int64(now + r.Warmup))
	if outcome == host.Replaced {
		a.replaced(known, r, heardBefore)
	}
	if r.State == host.Ready {
		a.serveHeld()
	} else {
		a.releaseHeld("the host is " + r.State.String())
	}
	if outcome == host.Replaced || before.State != r.State || before.Slots != r.Slots {
		a.cfg.Log.Info("host", "host", r.String(), "outcome", outcome.String(), "state", r.State.String(), "before", before.State.String(),
			"slots", r.Slots, "warmupMs", r.Warmup.Milliseconds(), "software", r.Software)
		a.cfg.Changed()
	}
	return nil
}

// replaced ends the flows of the host's former incarnation, which was last heard
// from at a time. Flows that were opened since may be at the new one, which takes flows before its
// first heartbeat; if they aren't, their next packet comes back. A host that
// started after this process has no flow that the agent doesn't know.
func (a *Agent) replaced(known bool, r host.Report, heardBefore time.Duration) {
	if known {
		a.endAll("another incarnation of the host is at its address", heardBefore, r.Born)
		a.load.Reset()
	}
	if known || r.Born > a.cfg.Incarnation {
		a.knowsAll.Store(true)
	}
}

// Leave takes the host's goodbye.
func (a *Agent) Leave(id string) error {
	if !a.host.Leave(id) {
		a.cfg.Log.Warn("goodbye of a host that isn't the current one", "id", id)
		return nil
	}
	a.load.SetOpen(false)
	a.cfg.Log.Info("host", "id", id, "outcome", "left")
	a.cfg.Changed()
	a.endAll("the host left", forever, math.MaxInt64)
	return nil
}

// HostDown closes a host that is certainly gone: nothing listens at its
// address. A later heartbeat opens it again, of whichever incarnation.
func (a *Agent) HostDown() {
	r, _ := a.host.Current()
	a.load.SetOpen(false)
	a.cfg.Log.Warn("host", "host", r.String(), "outcome", "down", "why", "its port refuses connections")
	a.cfg.Changed()
	a.endAll("the host is down", forever, math.MaxInt64)
}

// HostSilent closes a host that doesn't answer until it is heard from.
func (a *Agent) HostSilent() {
	if !a.load.Load().Open {
		return
	}
	a.load.SetOpen(false)
	a.cfg.Log.Warn("host", "outcome", "silent", "openings", a.silent.Load())
	a.cfg.Changed()
	a.releaseHeld("the host is silent")
}

// Suspect says whether the host left opening packets unanswered.
func (a *Agent) Suspect() bool { return a.silent.Load() >= silentLimit }

// forever is after any time.
const forever time.Duration = math.MaxInt64

// endAll ends the flows that were opened before a time and before the start of
// the next host, in Unix milliseconds, at a host that is certainly gone. Both must hold: an agent that stood still reads old
// heartbeats late, and the time of day may jump. It resets those that their callers have confirmed, so that they try again
// at once; others may be open at another host, by a copy of their opening packet.
func (a *Agent) endAll(why string, before time.Duration, nextBorn int64) {
	a.releaseHeld(why)
	n := 0
	type lostFlow struct {
		key flow.Key
		ack uint32
	}
	var lost []lostFlow
	now := a.cfg.Now()
	a.flows.Sweep(func(key flow.Key, r *record) bool {
		if r.opened >= before || nextBorn > 0 && r.openedAt >= nextBorn {
			return true
		}
		if r.phase != ended {
			if closed := r.callerEnded && r.hostEnded; r.confirmed && !closed {
				lost = append(lost, lostFlow{key, r.callerAck})
			}
			r.moveTo(ended, now, a.load)
			n++
		}
		return false
	})
	for _, f := range lost {
		a.reset(f.key, f.ack)
		resets.Inc()
	}
	if n > 0 {
		a.cfg.Log.Warn("flows ended", "why", why, "flows", n)
	}
}

// Stop lets the host's flows end while new ones go elsewhere.
func (a *Agent) Stop() {
	a.leaving.Store(true)
	a.load.SetOpen(false)
	a.cfg.Changed()
	a.releaseHeld("the agent stops")
}

// Report returns what the agent says of itself, with the time until its next regular report.
func (a *Agent) Report(interval time.Duration) mesh.Agent {
	r, _ := a.host.Current()
	return mesh.Agent{
		IP: a.cfg.IP, Incarnation: a.cfg.Incarnation, Version: a.reports.Add(1), Service: a.cfg.Service, Zone: a.cfg.Zone,
		Leaving: a.leaving.Load(), Host: r.State, HostID: r.ID, Born: r.Born,
		Warm: a.cfg.Now() >= time.Duration(a.warmUntil.Load()), IntervalMs: uint32(interval.Milliseconds()),
	}
}

// ReportMessage returns the message that carries the report.
func (a *Agent) ReportMessage(interval time.Duration) ([]byte, error) {
	body, err := mesh.EncodeReport(a.Report(interval))
	if err != nil {
		return nil, err
	}
	m := a.message(mesh.AgentReport, flow.Key{})
	m.Body = body
	return m.Append(nil), nil
}

// Tick does what is due: it sends on the offers that the host did not answer and
// refuses the flows that were held for too long. It returns the time until something else is due,
// or 0 when nothing waits.
func (a *Agent) Tick() time.Duration {
	now := a.cfg.Now()
	answer := a.checkAnswers(now)
	a.refuseExpired()
	expiry := a.load.NextExpiry(now)
	if answer == 0 || expiry == 0 {
		return max(answer, expiry)
	}
	return min(answer, expiry)
}

// checkAnswers looks at the openings whose time is over. It returns the time until the next, or 0.
func (a *Agent) checkAnswers(now time.Duration) time.Duration {
	for {
		a.waitMu.Lock()
		if len(a.waits) == 0 {
			a.waits = nil
			a.waitMu.Unlock()
			return 0
		}
		w := a.waits[0]
		if w.due > now {
			a.waitMu.Unlock()
			return w.due - now
		}
		a.waits = a.waits[1:]
		a.waitMu.Unlock()
		a.unanswered(w.key, now)
	}
}

func (a *Agent) unanswered(key flow.Key, now time.Duration) {
	shard := a.flows.Lock(key)
	r := shard.Get(key)
	if r != nil && r.phase == awaited {
		// A caller that is there sends its request within a round trip. One that has
		// left must not keep a slot; if it does send, the request is counted then.
		r.moveTo(idle, now, a.load)
		shard.Unlock()
		noRequest.Inc()
		a.serveHeld()
		return
	}
	if r == nil || r.phase != opening || r.offer == nil || now-r.opened < a.cfg.AnswerTimeout {
		shard.Unlock()
		return
	}
	kept := r.offer
	r.moveTo(ended, now, a.load)
	shard.Delete(key)
	shard.Unlock()
	a.silent.Add(1)
	a.decline(key, kept, "no answer")
	a.serveHeld()
}

// Sweep forgets what is over. It is called about once a second.
func (a *Agent) Sweep() {
	now, idle := a.cfg.Now(), a.cfg.IdleTimeout()
	a.flows.Sweep(func(_ flow.Key, r *record) bool {
		if r.phase == running && now-r.since > requestLimit {
			r.abandon(now, a.load)
			noAnswer.Inc()
		}
		keep := idle + endedLinger
		if r.phase == ended {
			keep = endedLinger
		}
		if now-r.touched <= keep {
			return true
		}
		r.moveTo(ended, now, a.load)
		return false
	})
	a.remind(now)
	a.reassess(now)
	a.serveHeld()
	a.searches.Sweep(func(_ flow.Key, s *search) bool { return now-s.at < searchMemory })
}

// reassess logs when the host begins or ceases to count as faulty.
func (a *Agent) reassess(now time.Duration) {
	faulty, share := a.load.Reassess(now)
	if a.faulty.Swap(faulty) == faulty {
		return
	}
	r, _ := a.host.Current()
	a.cfg.Log.Warn("host", "host", r.String(), "outcome", "judged", "faulty", faulty, "failedShare", math.Round(share*100)/100)
	a.cfg.Changed()
}
