package packetentry

import (
	"math"
	"slices"
	"sync"
	"time"

	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/rotation"
)

const (
	// maxUnansweredEchoes is the number of echoes that an entry leaves unanswered before a spare entry considers it down. Echoes
	// are a second apart, while reports in a large fleet are further apart, and a lost datagram must not change the rotation.
	maxUnansweredEchoes = 3
	// echoingTime is the time for which an entry sends echoes after a decision that it shouldn't be in rotation. An entry with an
	// overloaded link loses reports of the entries of higher capacity, and would stay because it takes these for silent.
	echoingTime = 30 * time.Second
	// fullShare is the share of its capacity from which an entry counts as full: the headers of the network are not counted.
	fullShare = 0.8
)

// rotationStatus is the entry's part in the rotation.
type rotationStatus struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	decider rotation.Decider
	state   rotation.State
	// lastFull is when the entry was last full while in rotation. A spare entry is full if the routers use all entries, because
	// others are down.
	lastFull time.Duration
	// echoUntil is the time until which the entry sends echoes, echoTurn the number of times that it has.
	echoUntil time.Duration
	echoTurn  int
}

func (s *rotationStatus) current() rotation.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// linkBytesPerSecond and cpuMilli return the settings as reports carry them, so that an entry and the others calculate with the
// same numbers.
func (c Config) linkBytesPerSecond() uint64 { return uint64(max(c.LinkBytesPerSecond, 0)) }

func (c Config) cpuMilli() uint32 { return uint32(math.Round(max(c.CPUShare, 0) * 1000)) }

// updateRotation decides whether the entry should be in rotation. It returns the entry's state, and the reason if it can't place
// flows. A change is reported to the other entries of the zone.
func (e *Entry) updateRotation() (rotation.State, string) {
	e.rotation.mu.Lock()
	defer e.rotation.mu.Unlock()
	// A call that began before Stop must not undo the state that Stop set.
	placing, why := e.canPlace()
	capacity := rotation.Capacity(e.cfg.linkBytesPerSecond(), e.cfg.cpuMilli())
	state, decision := rotation.Unavailable, rotation.Decision{}
	if placing {
		now := e.cfg.Now()
		self := rotation.Member{IP: e.cfg.IP, Capacity: capacity, Load: float64(e.traffic.perSecond(now))}
		if capacity > 0 && self.Load >= fullShare*capacity && e.rotation.state != rotation.Spare {
			e.rotation.lastFull = now
		}
		decision = e.rotation.decider.Decide(self, e.roster.zoneMembers(now, e.rotation.lastFull), now)
		state = rotation.Spare
		if decision.InRotation {
			state = rotation.Active
		}
		if decision.PrefersSpare {
			e.rotation.echoUntil = now + echoingTime
		}
	}
	if previous := e.rotation.state; state != previous {
		e.rotation.state = state
		e.recordRotation(previous, decision)
		if capacity > 0 {
			for _, ip := range e.roster.zonePeers() {
				e.cfg.StateChanged(ip)
			}
		}
	}
	return state, why
}

// recordRotation logs and counts a change of the state; e.rotation.mu must be held.
func (e *Entry) recordRotation(previous rotation.State, d rotation.Decision) {
	switch {
	case e.rotation.state == rotation.Spare:
		rotationLeaves.Inc()
	case previous == rotation.Spare && e.rotation.state == rotation.Active:
		rotationReturns.Inc()
	default:
		return
	}
	e.cfg.Log.Info("rotation", "inRotation", d.InRotation, "why", d.Reason, "chosen", len(d.Chosen), "zoneBytesPerSecond", int64(d.Load),
		"sustained", int64(d.Sustained), "sustainedAfterLoss", int64(d.SustainedAfterLoss))
}

// sweepRotation decides again, and sends echoes to some of the entries of higher capacity if the entry is or may become spare.
func (e *Entry) sweepRotation() {
	state, _ := e.updateRotation()
	e.rotation.mu.Lock()
	echoing, turn := e.cfg.Now() < e.rotation.echoUntil, e.rotation.echoTurn
	e.rotation.echoTurn++
	e.rotation.mu.Unlock()
	if !echoing {
		return
	}
	m := mesh.Message{Kind: mesh.KindEcho, ConfigVersion: e.cfg.Routes.Version(), Origin: e.cfg.IP}
	for _, ip := range selectPeers(e.roster.entriesAbove(rotation.Capacity(e.cfg.linkBytesPerSecond(), e.cfg.cpuMilli())), turn) {
		e.roster.echoSent(ip, state == rotation.Spare)
		e.send(ip, &m)
	}
}

// zoneMembers returns the other entries of the availability zone that the roster has records of. Their silence counts from
// lastFull on: an entry that is full loses their messages.
func (r *roster) zoneMembers(now, lastFull time.Duration) []rotation.Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []rotation.Member
	for ip, e := range r.entries {
		if ip == r.cfg.IP || e.report.Zone != r.cfg.Zone {
			continue
		}
		m := rotation.Member{
			IP: ip, Capacity: rotation.Capacity(e.report.LinkBytesPerSecond, e.report.CPUMilli), Load: float64(e.report.LoadBytesPerSecond),
			State: e.report.Rotation.State,
		}
		heardOrFull := max(e.lastHeard, lastFull)
		if now-heardOrFull > mesh.SilenceTimeout(e.report.IntervalMs) || e.unansweredEchoes >= maxUnansweredEchoes && heardOrFull == e.lastHeard {
			m.State, m.Load = rotation.Unavailable, 0
		}
		out = append(out, m)
	}
	return out
}

// entriesAbove returns the addresses of the other entries of the zone whose capacity is above that of this one, in order.
func (r *roster) entriesAbove(capacity float64) []uint32 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []uint32
	for ip, e := range r.entries {
		if e.report.Zone == r.cfg.Zone && rotation.Capacity(e.report.LinkBytesPerSecond, e.report.CPUMilli) > capacity {
			out = append(out, ip)
		}
	}
	slices.Sort(out)
	return out
}

// echoSent records an echo to another entry. counts reports whether its answer is expected: an entry in rotation may have an
// overloaded link, which loses answers.
func (r *roster) echoSent(ip uint32, counts bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, known := r.entries[ip]; known {
		e.unansweredEchoes++
		if !counts {
			e.unansweredEchoes = 0
		}
		r.entries[ip] = e
	}
}

// echoAnswered records an answer to an echo.
func (r *roster) echoAnswered(ip uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, known := r.entries[ip]; known {
		e.unansweredEchoes, e.lastHeard = 0, r.cfg.Now()
		r.entries[ip] = e
	}
}
