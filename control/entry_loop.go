package control

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/board"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
)

const (
	// tickEvery paces gossip, heartbeats and detection.
	tickEvery = 100 * time.Millisecond
	// pruneEvery is how often ended records are looked for.
	pruneEvery = time.Second
	// rewatchEvery spaces walks over all records for the members to watch. One
	// takes tens of milliseconds at the target size.
	rewatchEvery = 5 * time.Second
	// exchangeBytes is a heartbeat and its answer with IP and UDP headers, from
	// which the interval is computed; BenchmarkBeatBytes reports the measured size.
	exchangeBytes = 150
	// handOut is the number of entries that an agent holds: its observers and
	// as many to turn to.
	handOut = 2 * member.ObserverCount
)

// entryLoop is the state of a running Entry. Only its own goroutine uses it.
type entryLoop struct {
	*Entry
	beats    *beater
	detector *member.Detector
	fresh    *freshness
	gossip   *gossip
	deaths   deathIndex
	repair   repair
	objects  *objects
	config   configSync
	// live are the live entries of the view, this one included.
	live      []member.Record
	liveDirty bool
	// watchDirty asks for a walk over all records for the members to watch.
	watchDirty bool
	watchedAt  time.Time
	// borrowed are members that another entry asked about and this one does not observe.
	borrowed map[member.ID]bool
	prunedAt time.Time
	// refuted is the brief that the owner was last told of.
	refuted member.Brief
	// gossipCap and configCap limit the bytes sent, headers included.
	gossipCap, configCap *rate.Limiter
}

func newEntryLoop(e *Entry) *entryLoop {
	l := &entryLoop{
		Entry: e, fresh: newFreshness(), liveDirty: true, watchDirty: true,
		borrowed:  make(map[member.ID]bool),
		gossipCap: byteCap(e.cfg.GossipBytes, gossipBurst), configCap: byteCap(e.cfg.ConfigBytes, configBurst),
	}
	l.gossip = newGossip(e.cfg.Rand)
	l.config = newConfigSync()
	l.objects = newObjects(e.cfg.ConfigDigest, e.cfg.ConfigObjects)
	l.beats = newBeater(e.link, e.cfg.Rand, e.cfg.Seeds, l.liveEntries, func() (uint64, uint32) {
		return e.cfg.ConfigDigest(), 0
	})
	l.detector = member.NewDetector(member.DetectorConfig{
		Self: e.cfg.Self().ID, MaxSuspect: e.cfg.MaxSuspect, Members: l.countMembers, Interval: l.interval,
	})
	return l
}

func (l *entryLoop) run(ctx context.Context) error {
	inbox := make(chan datagram, inboxSize)
	readDone := make(chan error, 1)
	go func() { readDone <- l.link.read(ctx, inbox) }()
	fetchCtx, cancelFetches := context.WithCancel(ctx)
	defer l.objects.wait()
	defer cancelFetches()
	l.objects.fetchCtx = fetchCtx
	changes := l.cfg.Members.Subscribe(ctx)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	l.selfChanged()
	l.tick()
	for {
		select {
		case d, ok := <-inbox:
			if !ok {
				l.beats.finish(ctx, l.cfg.Now())
				return <-readDone
			}
			l.receive(d)
		case <-l.cfg.Changed:
			l.selfChanged()
		case object, ok := <-l.cfg.ConfigChanged:
			if !ok {
				l.cfg.ConfigChanged = nil
				continue
			}
			l.configApplied(object)
		case f := <-l.objects.fetched:
			l.objectFetched(f)
		case c, ok := <-changes:
			if !ok {
				changes = nil
				continue
			}
			l.viewChanged(c)
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *entryLoop) tick() {
	now := l.cfg.Now()
	if now.Sub(l.prunedAt) >= pruneEvery {
		l.prunedAt = now
		l.cfg.Members.Prune(now, l.cfg.Retention)
		l.deaths.release(now)
	}
	l.rewatch(now)
	l.beats.tick(now)
	l.decide(l.detector.Tick(now))
	l.flushGossip(now)
	l.tickRepair(now)
	l.wantAgain(now)
}

// selfChanged spreads the own record.
func (l *entryLoop) selfChanged() {
	now := l.cfg.Now()
	self := l.cfg.Self()
	l.spread(l.cfg.Members.Merge([]member.Record{self}))
	l.beats.push(now)
	l.flushGossip(now)
	if self.State == member.StateDraining {
		l.handOverAgents(self)
	}
}

// handOverAgents tells the watched agents that this entry leaves, and which
// entries they should use instead. An agent that found out only by missing
// answers got no change of the configuration for up to 4 s. It happens once in
// the life of an entry, so the gossip cap does not apply.
func (l *entryLoop) handOverAgents(self member.Record) {
	l.liveDirty = true
	for _, id := range l.detector.Watched() {
		agent, ok := l.cfg.Members.Get(id)
		if !ok || agent.Role != member.RoleAgent {
			continue
		}
		next := append(member.Observers(id, l.liveEntries(), handOut), self)
		for _, m := range pack(next, nil) {
			l.link.send(KindRecords, m, agent.Control)
		}
	}
}

// viewChanged follows changes of the view, whoever made them.
func (l *entryLoop) viewChanged(c board.Changed[member.ID]) {
	if c.Overflow {
		l.liveDirty, l.watchDirty = true, true
		return
	}
	r, ok := l.cfg.Members.Get(c.Key)
	if !ok {
		l.detector.Unwatch(c.Key)
	} else {
		l.watch(r)
	}
	if i := slices.IndexFunc(l.live, func(e member.Record) bool { return e.ID == c.Key }); i >= 0 || r.Role == member.RoleEntry {
		l.entryChanged(i, r)
	}
}

// entryChanged keeps the live entries up to date. Who observes whom changes
// only when an entry joins or leaves.
func (l *entryLoop) entryChanged(at int, r member.Record) {
	if at >= 0 && r.Alive() && r.ID != 0 {
		l.live[at] = r
		return
	}
	if at < 0 && !r.Alive() {
		return
	}
	l.liveDirty, l.watchDirty, l.beats.rechoose = true, true, true
}

// liveEntries returns the live entries, this one included.
func (l *entryLoop) liveEntries() []member.Record {
	if l.liveDirty {
		l.live, l.liveDirty = l.cfg.Members.LiveEntries(), false
	}
	return l.live
}

func (l *entryLoop) countMembers(service config.ServiceTag) int {
	if service == 0 {
		return len(l.liveEntries())
	}
	n := 0
	for _, r := range l.cfg.Members.OfService(service) {
		if r.Alive() {
			n++
		}
	}
	return n
}

// rewatch walks all records after entries joined or left.
func (l *entryLoop) rewatch(now time.Time) {
	if !l.watchDirty || now.Sub(l.watchedAt) < rewatchEvery {
		return
	}
	l.watchDirty, l.watchedAt = false, now
	for _, r := range l.cfg.Members.Records() {
		l.watch(r)
	}
	for _, id := range l.detector.Watched() {
		if _, ok := l.cfg.Members.Get(id); !ok {
			l.detector.Unwatch(id)
		}
	}
}

// watch starts or stops to watch a member by whether this entry is among its
// observers or was asked about it, and brings the view's suspicion in line.
func (l *entryLoop) watch(r member.Record) {
	observed := r.ID != l.cfg.Self().ID && r.Alive() && l.observes(r.ID)
	if observed || !r.Alive() {
		delete(l.borrowed, r.ID)
	}
	switch {
	case observed || l.borrowed[r.ID]:
		l.detector.Watch(r, l.cfg.Now())
	case l.detector.Watching(r.ID):
		l.detector.Unwatch(r.ID)
	default:
		return
	}
	l.cfg.Members.SetSuspect(r.ID, l.detector.Suspect(r.ID))
}

func (l *entryLoop) observes(id member.ID) bool {
	self := l.cfg.Self().ID
	for _, e := range member.Observers(id, l.liveEntries(), member.ObserverCount) {
		if e.ID == self {
			return true
		}
	}
	return false
}

// interval is what this entry hands out: its own heartbeats count as well.
func (l *entryLoop) interval() time.Duration {
	return member.HeartbeatInterval(l.detector.Count()+member.ObserverCount, exchangeBytes)
}

// decide carries out the detector's decisions.
func (l *entryLoop) decide(decisions []member.Decision) {
	for _, d := range decisions {
		r, _ := l.cfg.Members.Get(d.ID)
		switch d.Kind {
		case member.DecideProbe:
			l.capped(KindProbe, Probe{}, r.Control)
			continue
		case member.DecideAskObservers:
			l.ask(d)
			continue
		case member.DecideSuspect, member.DecideAlive:
			l.cfg.Members.SetSuspect(d.ID, d.Kind == member.DecideSuspect)
		case member.DecideDead:
			ended := l.cfg.Members.MergeEnded([]member.Brief{d.Brief})
			l.spreadEnded(ended)
			if len(ended) == 0 {
				l.watch(r) // The view holds a newer record, which the detector did not know.
			}
		}
		decisionCounter(d.Kind).Inc()
		l.cfg.Trail.Record(audit.Event{Action: d.Kind.String(), Target: targetOf(r), Reason: d.Reason})
	}
}

func targetOf(r member.Record) string {
	if r.ID == 0 {
		return "this entry"
	}
	return fmt.Sprintf("%s %s", r.Role, r.Control)
}

// ask asks the member's other observer and, when that one has not settled it,
// every second time the entry that follows in rank: the other observer may
// have failed together with the member. The last entry asks an agent.
func (l *entryLoop) ask(d member.Decision) {
	var others []member.Record
	for _, e := range member.Observers(d.ID, l.liveEntries(), member.ObserverCount+1) {
		if e.ID != l.cfg.Self().ID {
			others = append(others, e)
		}
	}
	if len(others) == 0 {
		others = l.agentsToAsk(d.ID)
	}
	if len(others) > 0 {
		to := others[(d.Attempt-1)%min(2, len(others))].Control
		l.capped(KindAsk, Ask{Brief: toWireBrief(d.Brief)}, to)
	}
}

// agentsToAsk returns an agent that holds a member's record and is not suspect
// itself. The order of IDs makes it the same one while nothing changes, as the
// agent needs several questions to come to an opinion.
func (l *entryLoop) agentsToAsk(id member.ID) []member.Record {
	about, _ := l.cfg.Members.Get(id)
	for _, watched := range l.detector.Watched() {
		r, ok := l.cfg.Members.Get(watched)
		holds := about.Role == member.RoleEntry || r.Service == about.Service
		if ok && r.Role == member.RoleAgent && holds && r.ID != id && r.Alive() && !l.cfg.Members.Suspect(r.ID) {
			return []member.Record{r}
		}
	}
	return nil
}

// capped sends a small message if the gossip cap leaves room for it. A mass
// loss asks for many at once; the detector repeats those left out.
func (l *entryLoop) capped(kind Kind, body any, to netip.AddrPort) {
	now := l.cfg.Now()
	if l.gossipCap.TokensAt(now) >= urgentReserve {
		l.gossipCap.AllowN(now, l.link.send(kind, body, to))
	}
}

// memberAt returns the member that sends from a control address.
func (l *entryLoop) memberAt(from netip.AddrPort) (member.Brief, bool) {
	if b, ok := l.cfg.Members.Brief(member.IDOf(member.RoleAgent, from)); ok {
		return b, true
	}
	return l.cfg.Members.Brief(member.IDOf(member.RoleEntry, from))
}
