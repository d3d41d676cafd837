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
	// tickInterval paces gossip, heartbeats and failure detection.
	tickInterval = 100 * time.Millisecond
	// pruneInterval is how often ended records are pruned.
	pruneInterval = time.Second
	// updateWatchesInterval limits how often all records are scanned for members to watch. A scan takes tens of
	// milliseconds at the target size.
	updateWatchesInterval = 5 * time.Second
	// heartbeatExchangeBytes is the size of a heartbeat and its answer, including IP and UDP headers, from which
	// the interval is computed. BenchmarkHeartbeatBytes reports the measured size.
	heartbeatExchangeBytes = 150
	// entriesPerAgent is the number of entries in an agent's view: its observers and as many alternatives.
	entriesPerAgent = 2 * member.ObserverCount
)

// entryLoop is the state of a running Entry. It is confined to the goroutine of run.
type entryLoop struct {
	*Entry
	heartbeats *heartbeatSender
	detector   *member.Detector
	fresh      *freshness
	gossip     *gossip
	deaths     deathIndex
	repair     repair
	objects    *objects
	config     configSync
	// live caches the live entries of the view, including this one.
	live      []member.Record
	liveDirty bool
	// watchesDirty requests a scan of all records for members to watch.
	watchesDirty     bool
	watchesUpdatedAt time.Time
	// watchedOnRequest holds the members that are watched only because another entry asked for an opinion.
	watchedOnRequest map[member.ID]bool
	prunedAt         time.Time
	// lastRefuted is the summary last passed to EntryConfig.Refute.
	lastRefuted member.Summary
	// gossipLimiter and configLimiter limit the bytes sent, including headers.
	gossipLimiter, configLimiter *rate.Limiter
}

func newEntryLoop(e *Entry) *entryLoop {
	l := &entryLoop{
		Entry: e, fresh: newFreshness(), liveDirty: true, watchesDirty: true,
		watchedOnRequest: make(map[member.ID]bool),
		gossipLimiter:    newByteLimiter(e.cfg.GossipBytes, gossipBurst), configLimiter: newByteLimiter(e.cfg.ConfigBytes, configBurst),
	}
	l.gossip = newGossip(e.cfg.Rand)
	l.config = newConfigSync()
	l.objects = newObjects(e.cfg.ConfigDigest, e.cfg.ConfigObjects)
	l.heartbeats = newHeartbeatSender(e.link, e.cfg.Rand, e.cfg.Seeds, l.liveEntries, func() (uint64, uint32) {
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
	defer l.objects.waitForFetches()
	defer cancelFetches()
	l.objects.fetchCtx = fetchCtx
	changes := l.cfg.Members.Subscribe(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.handleSelfChange()
	l.tick()
	for {
		select {
		case d, ok := <-inbox:
			if !ok {
				l.heartbeats.pushDeparture(ctx, l.cfg.Now())
				return <-readDone
			}
			l.receive(d)
		case <-l.cfg.Changed:
			l.handleSelfChange()
		case object, ok := <-l.cfg.ConfigChanged:
			if !ok {
				l.cfg.ConfigChanged = nil
				continue
			}
			l.propagateObject(object)
		case f := <-l.objects.fetched:
			l.handleFetchedObject(f)
		case c, ok := <-changes:
			if !ok {
				changes = nil
				continue
			}
			l.handleViewChange(c)
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *entryLoop) tick() {
	now := l.cfg.Now()
	if now.Sub(l.prunedAt) >= pruneInterval {
		l.prunedAt = now
		l.cfg.Members.Prune(now, l.cfg.Retention)
		l.deaths.release(now)
	}
	l.updateWatches(now)
	l.heartbeats.tick(now)
	l.applyDecisions(l.detector.Tick(now))
	l.flushGossip(now)
	l.tickRepair(now)
	l.retryObjectRequests(now)
}

// handleSelfChange propagates this entry's changed record.
func (l *entryLoop) handleSelfChange() {
	now := l.cfg.Now()
	self := l.cfg.Self()
	l.gossipRecords(l.cfg.Members.Merge([]member.Record{self}))
	l.heartbeats.pushRecord(now)
	l.flushGossip(now)
	if self.State == member.StateDraining {
		l.handOverAgents(self)
	}
}

// handOverAgents sends the watched agents the record of this draining entry and of the entries to use instead.
// Agents that noticed only by missing answers received no configuration changes for up to 4 s. As it happens
// once in the life of an entry, the gossip cap does not apply.
func (l *entryLoop) handOverAgents(self member.Record) {
	l.liveDirty = true
	for _, id := range l.detector.Watched() {
		agent, ok := l.cfg.Members.Get(id)
		if !ok || agent.Role != member.RoleAgent {
			continue
		}
		next := append(member.Observers(id, l.liveEntries(), entriesPerAgent), self)
		for _, m := range packRecords(next, nil) {
			l.link.send(KindRecords, m, agent.Control)
		}
	}
}

// handleViewChange updates watches and live entries after a change of the view by any writer.
func (l *entryLoop) handleViewChange(c board.Changed[member.ID]) {
	if c.Overflow {
		l.liveDirty, l.watchesDirty = true, true
		return
	}
	r, ok := l.cfg.Members.Get(c.Key)
	if !ok {
		l.detector.Unwatch(c.Key)
	} else {
		l.watch(r)
	}
	if i := slices.IndexFunc(l.live, func(e member.Record) bool { return e.ID == c.Key }); i >= 0 || r.Role == member.RoleEntry {
		l.updateLiveEntries(i, r)
	}
}

// updateLiveEntries updates the cached live entries. The assignment of observers changes only when an entry
// joins or leaves.
func (l *entryLoop) updateLiveEntries(index int, r member.Record) {
	if index >= 0 && r.Alive() && r.ID != 0 {
		l.live[index] = r
		return
	}
	if index < 0 && !r.Alive() {
		return
	}
	l.liveDirty, l.watchesDirty, l.heartbeats.targetsDirty = true, true, true
}

// liveEntries returns the live entries, including this one.
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
	for _, r := range l.cfg.Members.AgentsOfService(service) {
		if r.Alive() {
			n++
		}
	}
	return n
}

// updateWatches scans all records after entries have joined or left.
func (l *entryLoop) updateWatches(now time.Time) {
	if !l.watchesDirty || now.Sub(l.watchesUpdatedAt) < updateWatchesInterval {
		return
	}
	l.watchesDirty, l.watchesUpdatedAt = false, now
	for _, r := range l.cfg.Members.Records() {
		l.watch(r)
	}
	for _, id := range l.detector.Watched() {
		if _, ok := l.cfg.Members.Get(id); !ok {
			l.detector.Unwatch(id)
		}
	}
}

// watch starts or stops watching a member, depending on whether this entry is among its observers or was asked
// about it, and copies the detector's suspicion to the view.
func (l *entryLoop) watch(r member.Record) {
	observed := r.ID != l.cfg.Self().ID && r.Alive() && l.observes(r.ID)
	if observed || !r.Alive() {
		delete(l.watchedOnRequest, r.ID)
	}
	switch {
	case observed || l.watchedOnRequest[r.ID]:
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

// interval returns the heartbeat interval that this entry assigns. Its own heartbeats count as well.
func (l *entryLoop) interval() time.Duration {
	return member.HeartbeatInterval(l.detector.Count()+member.ObserverCount, heartbeatExchangeBytes)
}

// applyDecisions carries out the decisions of the detector.
func (l *entryLoop) applyDecisions(decisions []member.Decision) {
	for _, d := range decisions {
		r, _ := l.cfg.Members.Get(d.ID)
		switch d.Kind {
		case member.DecideProbe:
			l.sendWithinCap(KindProbe, Probe{}, r.Control)
			continue
		case member.DecideAskObservers:
			l.requestOpinion(d)
			continue
		case member.DecideSuspect, member.DecideAlive:
			l.cfg.Members.SetSuspect(d.ID, d.Kind == member.DecideSuspect)
		case member.DecideDead:
			ended := l.cfg.Members.MergeEnded([]member.Summary{d.Summary})
			l.gossipEnded(ended)
			if len(ended) == 0 {
				l.watch(r) // The view holds a newer record than the detector.
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

// requestOpinion asks the member's other observer for its opinion. Every second attempt goes to the entry next
// in rank, as the other observer may have failed together with the member. If there is no other entry, an agent
// is asked.
func (l *entryLoop) requestOpinion(d member.Decision) {
	var others []member.Record
	for _, e := range member.Observers(d.ID, l.liveEntries(), member.ObserverCount+1) {
		if e.ID != l.cfg.Self().ID {
			others = append(others, e)
		}
	}
	if len(others) == 0 {
		others = l.agentToAsk(d.ID)
	}
	if len(others) > 0 {
		to := others[(d.Attempt-1)%min(2, len(others))].Control
		l.sendWithinCap(KindOpinionRequest, OpinionRequest{Summary: toWireSummary(d.Summary)}, to)
	}
}

// agentToAsk returns an agent that holds a member's record and is not suspect itself, if there is one. The order
// of IDs makes the choice stable while nothing changes, as an agent needs several requests to form an opinion.
func (l *entryLoop) agentToAsk(id member.ID) []member.Record {
	subject, _ := l.cfg.Members.Get(id)
	for _, watched := range l.detector.Watched() {
		r, ok := l.cfg.Members.Get(watched)
		hasRecord := subject.Role == member.RoleEntry || r.Service == subject.Service
		if ok && r.Role == member.RoleAgent && hasRecord && r.ID != id && r.Alive() && !l.cfg.Members.Suspect(r.ID) {
			return []member.Record{r}
		}
	}
	return nil
}

// sendWithinCap sends a small message if the gossip cap leaves room for it. A mass loss causes many such
// messages at once; the detector repeats those that were not sent.
func (l *entryLoop) sendWithinCap(kind Kind, body any, to netip.AddrPort) {
	now := l.cfg.Now()
	if l.gossipLimiter.TokensAt(now) >= urgentReserve {
		l.gossipLimiter.AllowN(now, l.link.send(kind, body, to))
	}
}

// memberAt returns the summary of the member with a control address.
func (l *entryLoop) memberAt(from netip.AddrPort) (member.Summary, bool) {
	if s, ok := l.cfg.Members.Summary(member.IDOf(member.RoleAgent, from)); ok {
		return s, true
	}
	return l.cfg.Members.Summary(member.IDOf(member.RoleEntry, from))
}
