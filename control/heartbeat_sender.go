package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// retryAfter is how long to wait for an answer before a pushed record is sent again. It is far above the
	// round trip within a region (1 ms) and allows several attempts within the 2 s in which a drain must reach
	// all entries.
	retryAfter = 250 * time.Millisecond
	// pushAttempts is the number of attempts at intervals of retryAfter before the regular interval applies
	// again.
	pushAttempts = 5
	// maxUnanswered is the number of unanswered heartbeats after which another entry is used.
	maxUnanswered = 3
	// avoidDuration is how long an entry that did not answer is avoided.
	avoidDuration = 30 * time.Second
	// rechooseInterval is how often the targets are chosen again when no change is known.
	rechooseInterval = time.Second
)

// heartbeatSender sends a member's heartbeats to the entries that observe it.
type heartbeatSender struct {
	link  *link
	rand  *rand.Rand
	seeds func() []netip.AddrPort
	// entries returns the live entries in the member's view.
	entries func() []member.Record
	// digests returns the digests that a heartbeat carries besides that of the summary.
	digests func() (config uint64, view uint32)
	// targets are the entries that receive heartbeats, by control address.
	targets map[netip.AddrPort]*target
	// avoidUntil maps the entries that did not answer to the time until which they are avoided.
	avoidUntil     map[netip.AddrPort]time.Time
	chosenAt       time.Time
	targetsDirty   bool
	heartbeatBytes int
}

// target is the state of an entry that receives heartbeats.
type target struct {
	nextAt   time.Time
	interval time.Duration
	// unanswered counts the heartbeats sent since the last answer.
	unanswered int
	// pushing reports that the current record is being sent until the entry confirms it; pushes counts the
	// attempts.
	pushing bool
	pushes  int
}

func newHeartbeatSender(l *link, r *rand.Rand, seeds func() []netip.AddrPort, entries func() []member.Record,
	digests func() (uint64, uint32)) *heartbeatSender {
	return &heartbeatSender{
		link: l, rand: r, seeds: seeds, entries: entries, digests: digests, targetsDirty: true,
		targets: make(map[netip.AddrPort]*target), avoidUntil: make(map[netip.AddrPort]time.Time),
	}
}

// tick sends the heartbeats that are due.
func (s *heartbeatSender) tick(now time.Time) {
	if s.targetsDirty || now.Sub(s.chosenAt) >= rechooseInterval {
		s.chooseTargets(now)
	}
	for addr, t := range s.targets {
		if !now.Before(t.nextAt) {
			s.sendToTarget(addr, t, now)
		}
	}
}

// chooseTargets makes the member's observers the targets, and adds seeds if there are too few observers.
func (s *heartbeatSender) chooseTargets(now time.Time) {
	s.chosenAt, s.targetsDirty = now, false
	wanted := make(map[netip.AddrPort]bool)
	self := s.link.self()
	for _, e := range member.Observers(self.ID, s.usableEntries(now), member.ObserverCount) {
		wanted[e.Control] = true
	}
	if len(wanted) < member.ObserverCount {
		s.addSeeds(wanted, self.Control)
	}
	for addr := range s.targets {
		if !wanted[addr] {
			delete(s.targets, addr)
		}
	}
	for addr := range wanted {
		if s.targets[addr] == nil {
			s.targets[addr] = &target{nextAt: now, interval: member.MinHeartbeatInterval}
		}
	}
}

func (s *heartbeatSender) usableEntries(now time.Time) []member.Record {
	for addr, until := range s.avoidUntil {
		if !now.Before(until) {
			delete(s.avoidUntil, addr)
		}
	}
	entries := s.entries()
	if len(s.avoidUntil) == 0 {
		return entries
	}
	out := make([]member.Record, 0, len(entries))
	for _, e := range entries {
		if _, avoided := s.avoidUntil[e.Control]; !avoided {
			out = append(out, e)
		}
	}
	return out
}

// addSeeds keeps seeds that are already targets and adds random ones. Avoided seeds are used only if there are
// no others.
func (s *heartbeatSender) addSeeds(wanted map[netip.AddrPort]bool, self netip.AddrPort) {
	var current, others, avoided []netip.AddrPort
	for _, seed := range s.seeds() {
		_, isAvoided := s.avoidUntil[seed]
		switch {
		case seed == self || wanted[seed]:
		case isAvoided:
			avoided = append(avoided, seed)
		case s.targets[seed] != nil:
			current = append(current, seed)
		default:
			others = append(others, seed)
		}
	}
	s.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	s.rand.Shuffle(len(avoided), func(i, j int) { avoided[i], avoided[j] = avoided[j], avoided[i] })
	for _, seed := range append(append(current, others...), avoided...) {
		if len(wanted) >= member.ObserverCount {
			return
		}
		wanted[seed] = true
	}
}

func (s *heartbeatSender) sendToTarget(addr netip.AddrPort, t *target, now time.Time) {
	if t.unanswered >= maxUnanswered && !t.pushing {
		s.avoidUntil[addr] = now.Add(avoidDuration)
		s.targetsDirty = true
	}
	if t.pushing {
		s.sendRecord(addr)
	}
	s.sendHeartbeat(addr)
	t.unanswered++
	wait := time.Duration(float64(t.interval) * (0.9 + 0.1*s.rand.Float64()))
	if t.pushing && t.pushes < pushAttempts {
		t.pushes++
		wait = retryAfter
	} else {
		t.pushing = false
	}
	t.nextAt = now.Add(wait)
}

func (s *heartbeatSender) sendHeartbeat(to netip.AddrPort) {
	config, view := s.digests()
	s.heartbeatBytes = s.link.send(KindHeartbeat, Heartbeat{SummaryDigest: s.link.self().Summary().Digest(), ConfigDigest: config, ViewDigest: view}, to)
}

func (s *heartbeatSender) sendRecord(to netip.AddrPort) {
	s.link.send(KindRecords, Records{Records: []wireRecord{toWire(s.link.self())}}, to)
}

// pushRecord sends the changed record of this member to all targets at once.
func (s *heartbeatSender) pushRecord(now time.Time) {
	for addr, t := range s.targets {
		t.pushing, t.pushes = true, 0
		s.sendToTarget(addr, t, now)
	}
}

// pushDeparture sends the final record of this member once more at shutdown, so that the entries learn that it
// has left.
func (s *heartbeatSender) pushDeparture(ctx context.Context, now time.Time) {
	if ctx.Err() != nil && !s.link.self().Alive() {
		s.pushRecord(now)
	}
}

// handleAnswer handles the answer to a heartbeat. If the sender is not a target, for example because it sent a
// probe, the only effects are that it is no longer avoided and gets the record if it asked for it.
func (s *heartbeatSender) handleAnswer(from netip.AddrPort, a HeartbeatAnswer, now time.Time) {
	if _, avoided := s.avoidUntil[from]; avoided {
		delete(s.avoidUntil, from)
		s.targetsDirty = true
	}
	t := s.targets[from]
	if t == nil {
		if a.Flags&flagRecord != 0 {
			s.sendRecord(from)
		}
		return
	}
	t.unanswered = 0
	t.interval = max(time.Duration(a.Interval)*100*time.Millisecond, member.MinHeartbeatInterval)
	if a.Flags&flagRecord == 0 {
		t.pushing = false
		return
	}
	s.sendRecord(from)
	if !t.pushing {
		t.pushing, t.pushes = true, 0
	}
	t.nextAt = now.Add(retryAfter)
}
