package control

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/member"
)

const (
	// refreshInterval is how often an agent requests a comparison of all its records even when its digest
	// matches: the digest covers only a few of the entries in its view.
	refreshInterval = time.Minute
	// compareInterval limits the rate of comparisons while digests differ. The answers of the two observers
	// arrive together, and one comparison is enough for both.
	compareInterval = 200 * time.Millisecond
)

// agentLoop is the state of a running Agent. It is confined to the goroutine of run.
type agentLoop struct {
	*Agent
	heartbeats *heartbeatSender
	fresh      *freshness
	objects    *objects
	// probedMembers are the members about which this agent was asked for an opinion.
	probedMembers probedMembers
	// live caches the live entries of the view.
	live       []member.Record
	liveDirty  bool
	prunedAt   time.Time
	comparedAt time.Time
	refreshAt  time.Time
	// lastRefuted is the summary last passed to AgentConfig.Refute.
	lastRefuted member.Summary
}

func newAgentLoop(a *Agent) *agentLoop {
	l := &agentLoop{Agent: a, fresh: newFreshness(), probedMembers: make(probedMembers), liveDirty: true}
	l.objects = newObjects(a.cfg.ConfigDigest, func() [][]byte { return nil })
	l.heartbeats = newHeartbeatSender(a.link, a.cfg.Rand, a.cfg.Seeds, l.liveEntries, func() (uint64, uint32) {
		return a.cfg.ConfigDigest(), l.viewDigest()
	})
	return l
}

func (l *agentLoop) run(ctx context.Context) error {
	inbox := make(chan datagram, inboxSize)
	readDone := make(chan error, 1)
	go func() { readDone <- l.link.read(ctx, inbox) }()
	fetchCtx, cancelFetches := context.WithCancel(ctx)
	defer l.objects.waitForFetches()
	defer cancelFetches()
	l.objects.fetchCtx = fetchCtx
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
		case f := <-l.objects.fetched:
			l.handleFetchedObject(f)
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *agentLoop) tick() {
	now := l.cfg.Now()
	if now.Sub(l.prunedAt) >= pruneInterval {
		l.prunedAt, l.liveDirty = now, true
		l.cfg.Members.Prune(now, l.cfg.Retention)
	}
	l.heartbeats.tick(now)
}

func (l *agentLoop) handleSelfChange() {
	l.cfg.Members.Merge([]member.Record{l.cfg.Self()})
	l.heartbeats.pushRecord(l.cfg.Now())
}

func (l *agentLoop) liveEntries() []member.Record {
	if l.liveDirty {
		l.live, l.liveDirty = l.cfg.Members.LiveEntries(), false
	}
	return l.live
}

// viewDigest matches the result of entryLoop.agentViewDigest when agent and entry hold the same records.
func (l *agentLoop) viewDigest() uint32 {
	self := l.cfg.Self()
	entries := member.Observers(self.ID, l.liveEntries(), entriesPerAgent)
	return uint32(member.DigestOf(l.cfg.Members.AgentsOfService(self.Service)) ^ member.DigestOf(entries))
}

func (l *agentLoop) receive(d datagram) {
	if err := l.handle(d, l.cfg.Now()); err != nil {
		countDropped("malformed")
	}
}

func (l *agentLoop) handle(d datagram, now time.Time) error {
	switch d.kind {
	case KindHeartbeatAnswer:
		return decodeAndHandle(d, func(a HeartbeatAnswer) {
			if l.fresh.isFresh(d) {
				l.handleAnswer(d.from, a, now)
			}
		})
	case KindRecords:
		return decodeAndHandle(d, func(r Records) { l.handleRecords(r) })
	case KindRecordRequest:
		return decodeAndHandle(d, func(m RecordRequest) {
			for _, m := range packRecords(recordsOf(l.cfg.Members, m.IDs), nil) {
				l.link.send(KindRecords, m, d.from)
			}
		})
	case KindProbe:
		l.heartbeats.sendHeartbeat(d.from)
		return nil
	case KindOpinionRequest:
		return decodeAndHandle(d, func(r OpinionRequest) { l.handleOpinionRequest(d.from, r.Summary.summary(), now) })
	case KindHeartbeat:
		return decodeAndHandle(d, func(Heartbeat) {
			if l.fresh.isFresh(d) {
				l.handleProbeAnswer(d.from)
			}
		})
	case KindObjects:
		return decodeAndHandle(d, func(m Objects) {
			for _, object := range m.Objects {
				l.applyObject(object)
			}
		})
	case KindObjectOffer:
		return decodeAndHandle(d, func(m ObjectOffer) { l.handleOffer(d.from, m) })
	default:
		countDropped("unexpectedKind")
		return nil
	}
}

// handleAnswer handles the answer to a heartbeat. If the entry reports that the agent holds other records than
// it should, the agent sends the summaries of its records for comparison.
func (l *agentLoop) handleAnswer(from netip.AddrPort, a HeartbeatAnswer, now time.Time) {
	l.heartbeats.handleAnswer(from, a, now)
	differs := a.Flags&flagView != 0 && now.Sub(l.comparedAt) >= compareInterval
	if a.Flags&flagRecord != 0 || !differs && now.Before(l.refreshAt) {
		return
	}
	l.comparedAt, l.refreshAt = now, now.Add(refreshInterval)
	records := append(l.cfg.Members.Entries(), l.cfg.Members.AgentsOfService(l.cfg.Self().Service)...)
	l.link.send(KindSummaries, Summaries{Scope: agentScope, Summaries: summariesOf(records)}, from)
}

func (l *agentLoop) handleRecords(m Records) {
	records, invalid := fromWire(m.Records)
	if invalid > 0 {
		countDropped("record")
	}
	ended := fromWireSummaries(m.Ended)
	self := l.cfg.Self()
	if s, found := newerOwnSummary(self.Summary(), records, ended); found && s != l.lastRefuted {
		l.lastRefuted = s
		l.cfg.Trail.Record(audit.Event{Action: "refute", Target: "this agent", Reason: refuteReason(s)})
		l.cfg.Refute(s)
	}
	records, ended = withoutSelf(self.ID, records, ended)
	l.cfg.Members.Merge(slices.DeleteFunc(records, func(r member.Record) bool {
		return r.Role == member.RoleAgent && r.Service != self.Service
	}))
	l.cfg.Members.MergeEnded(ended)
	l.liveDirty, l.heartbeats.targetsDirty = true, true
}

func (l *agentLoop) handleOffer(from netip.AddrPort, m ObjectOffer) {
	peer, ok := l.cfg.Members.Get(member.IDOf(member.RoleEntry, from))
	if !ok {
		return
	}
	for _, hash := range l.objects.missing(m.LargeHashes) {
		l.objects.fetch(l.cfg.Client, peer.Peer, hash)
	}
}

func (l *agentLoop) handleFetchedObject(f fetchedObject) {
	l.objects.runningFetches--
	if f.err != nil {
		countDropped("fetch")
		return
	}
	l.applyObject(f.object)
}

func (l *agentLoop) applyObject(object []byte) {
	if err := l.cfg.ApplyConfig(object); err != nil {
		countDropped("object")
	}
}
