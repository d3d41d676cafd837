package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// retryAfter is the time without an answer after which a pushed record is
	// sent again. It is far above the round trip within a region (1 ms) and
	// allows several attempts in the 2 s in which a drain must be known.
	retryAfter = 250 * time.Millisecond
	// pushAttempts is the number of quick attempts before the normal interval applies.
	pushAttempts = 5
	// silentBeats is the number of unanswered heartbeats after which another entry is used.
	silentBeats = 3
	// avoidFor is how long an entry that did not answer is avoided.
	avoidFor = 30 * time.Second
	// rechooseEvery is how often the targets are chosen again without a known change.
	rechooseEvery = time.Second
)

// beater sends a member's heartbeats to the entries that observe it.
type beater struct {
	link  *link
	rand  *rand.Rand
	seeds func() []netip.AddrPort
	// entries returns the live entries that the member knows.
	entries func() []member.Record
	// digests returns what a heartbeat reports besides the brief.
	digests func() (config uint64, view uint32)
	targets map[netip.AddrPort]*target
	// avoid holds the entries that did not answer, and until when they are avoided.
	avoid     map[netip.AddrPort]time.Time
	chosenAt  time.Time
	rechoose  bool
	beatBytes int
}

// target is an entry that receives heartbeats.
type target struct {
	next     time.Time
	interval time.Duration
	// unanswered counts heartbeats since the last answer.
	unanswered int
	// push says that the entry has not confirmed the current record.
	push     bool
	attempts int
}

func newBeater(l *link, r *rand.Rand, seeds func() []netip.AddrPort, entries func() []member.Record,
	digests func() (uint64, uint32)) *beater {
	return &beater{
		link: l, rand: r, seeds: seeds, entries: entries, digests: digests, rechoose: true,
		targets: make(map[netip.AddrPort]*target), avoid: make(map[netip.AddrPort]time.Time),
	}
}

// tick sends the heartbeats that are due.
func (b *beater) tick(now time.Time) {
	if b.rechoose || now.Sub(b.chosenAt) >= rechooseEvery {
		b.choose(now)
	}
	for addr, t := range b.targets {
		if !now.Before(t.next) {
			b.beat(addr, t, now)
		}
	}
}

// choose takes the member's observers as targets, and seeds for those missing.
func (b *beater) choose(now time.Time) {
	b.chosenAt, b.rechoose = now, false
	wanted := make(map[netip.AddrPort]bool)
	self := b.link.self()
	for _, e := range member.Observers(self.ID, b.usable(now), member.ObserverCount) {
		wanted[e.Control] = true
	}
	if len(wanted) < member.ObserverCount {
		b.addSeeds(wanted, self.Control)
	}
	for addr := range b.targets {
		if !wanted[addr] {
			delete(b.targets, addr)
		}
	}
	for addr := range wanted {
		if b.targets[addr] == nil {
			b.targets[addr] = &target{next: now, interval: member.MinHeartbeatInterval}
		}
	}
}

func (b *beater) usable(now time.Time) []member.Record {
	for addr, until := range b.avoid {
		if !now.Before(until) {
			delete(b.avoid, addr)
		}
	}
	entries := b.entries()
	if len(b.avoid) == 0 {
		return entries
	}
	out := make([]member.Record, 0, len(entries))
	for _, e := range entries {
		if _, avoided := b.avoid[e.Control]; !avoided {
			out = append(out, e)
		}
	}
	return out
}

// addSeeds keeps the seeds that are targets already and adds random ones. An
// avoided seed is used again when there is no other.
func (b *beater) addSeeds(wanted map[netip.AddrPort]bool, self netip.AddrPort) {
	var answering, others, avoided []netip.AddrPort
	for _, seed := range b.seeds() {
		_, silent := b.avoid[seed]
		switch {
		case seed == self || wanted[seed]:
		case silent:
			avoided = append(avoided, seed)
		case b.targets[seed] != nil:
			answering = append(answering, seed)
		default:
			others = append(others, seed)
		}
	}
	b.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	b.rand.Shuffle(len(avoided), func(i, j int) { avoided[i], avoided[j] = avoided[j], avoided[i] })
	for _, seed := range append(append(answering, others...), avoided...) {
		if len(wanted) >= member.ObserverCount {
			return
		}
		wanted[seed] = true
	}
}

func (b *beater) beat(addr netip.AddrPort, t *target, now time.Time) {
	if t.unanswered >= silentBeats && !t.push {
		b.avoid[addr] = now.Add(avoidFor)
		b.rechoose = true
	}
	if t.push {
		b.sendRecord(addr)
	}
	b.send(addr)
	t.unanswered++
	wait := time.Duration(float64(t.interval) * (0.9 + 0.1*b.rand.Float64()))
	if t.push && t.attempts < pushAttempts {
		t.attempts++
		wait = retryAfter
	} else {
		t.push = false
	}
	t.next = now.Add(wait)
}

func (b *beater) send(to netip.AddrPort) {
	config, view := b.digests()
	b.beatBytes = b.link.send(KindBeat, Beat{Brief: b.link.self().Brief().Digest(), Config: config, View: view}, to)
}

func (b *beater) sendRecord(to netip.AddrPort) {
	b.link.send(KindRecords, Records{Records: []wireRecord{toWire(b.link.self())}}, to)
}

// push sends the changed own record to all targets at once.
func (b *beater) push(now time.Time) {
	for addr, t := range b.targets {
		t.push, t.attempts = true, 0
		b.beat(addr, t, now)
	}
}

// finish sends the own record once more, so that an announced departure is not
// lost with the process.
func (b *beater) finish(ctx context.Context, now time.Time) {
	if ctx.Err() != nil && !b.link.self().Alive() {
		b.push(now)
	}
}

// answered takes the answer of a target. An answer of another process, as to
// a probe, changes nothing but that the process is no longer avoided.
func (b *beater) answered(from netip.AddrPort, a Answer, now time.Time) {
	if _, avoided := b.avoid[from]; avoided {
		delete(b.avoid, from)
		b.rechoose = true
	}
	t := b.targets[from]
	if t == nil {
		if a.Flags&flagRecord != 0 {
			b.sendRecord(from)
		}
		return
	}
	t.unanswered = 0
	t.interval = max(time.Duration(a.Interval)*100*time.Millisecond, member.MinHeartbeatInterval)
	if a.Flags&flagRecord == 0 {
		t.push = false
		return
	}
	b.sendRecord(from)
	if !t.push {
		t.push, t.attempts = true, 0
	}
	t.next = now.Add(retryAfter)
}
