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
	// refreshEvery is how often an agent has all that it holds compared, also
	// when its digest agrees: entries that it holds beyond the first few are
	// not in the digest.
	refreshEvery = time.Minute
	// compareAgainAfter spaces comparisons while digests differ. The answers of
	// the two observers arrive together and one comparison serves both.
	compareAgainAfter = 200 * time.Millisecond
)

// agentLoop is the state of a running Agent. Only its own goroutine uses it.
type agentLoop struct {
	*Agent
	beats   *beater
	fresh   *freshness
	objects *objects
	// questions are the members that this agent was asked about.
	questions questions
	// live are the live entries of the view.
	live       []member.Record
	liveDirty  bool
	prunedAt   time.Time
	comparedAt time.Time
	refreshAt  time.Time
	// refuted is the brief that the owner was last told of.
	refuted member.Brief
}

func newAgentLoop(a *Agent) *agentLoop {
	l := &agentLoop{Agent: a, fresh: newFreshness(), questions: make(questions), liveDirty: true}
	l.objects = newObjects(a.cfg.ConfigDigest, func() [][]byte { return nil })
	l.beats = newBeater(a.link, a.cfg.Rand, a.cfg.Seeds, l.liveEntries, func() (uint64, uint32) {
		return a.cfg.ConfigDigest(), l.viewDigest()
	})
	return l
}

func (l *agentLoop) run(ctx context.Context) error {
	inbox := make(chan datagram, inboxSize)
	readDone := make(chan error, 1)
	go func() { readDone <- l.link.read(ctx, inbox) }()
	fetchCtx, cancelFetches := context.WithCancel(ctx)
	defer l.objects.wait()
	defer cancelFetches()
	l.objects.fetchCtx = fetchCtx
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
		case f := <-l.objects.fetched:
			l.objectFetched(f)
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *agentLoop) tick() {
	now := l.cfg.Now()
	if now.Sub(l.prunedAt) >= pruneEvery {
		l.prunedAt, l.liveDirty = now, true
		l.cfg.Members.Prune(now, l.cfg.Retention)
	}
	l.beats.tick(now)
}

func (l *agentLoop) selfChanged() {
	l.cfg.Members.Merge([]member.Record{l.cfg.Self()})
	l.beats.push(l.cfg.Now())
}

func (l *agentLoop) liveEntries() []member.Record {
	if l.liveDirty {
		l.live, l.liveDirty = l.cfg.Members.LiveEntries(), false
	}
	return l.live
}

// viewDigest is what entryLoop.agentView computes when both hold the same.
func (l *agentLoop) viewDigest() uint32 {
	self := l.cfg.Self()
	entries := member.Observers(self.ID, l.liveEntries(), handOut)
	return uint32(member.DigestOf(l.cfg.Members.OfService(self.Service)) ^ member.DigestOf(entries))
}

func (l *agentLoop) receive(d datagram) {
	if err := l.handle(d, l.cfg.Now()); err != nil {
		dropped("malformed")
	}
}

func (l *agentLoop) handle(d datagram, now time.Time) error {
	switch d.kind {
	case KindAnswer:
		return with(d, func(a Answer) {
			if l.fresh.fresh(d) {
				l.answered(d.from, a, now)
			}
		})
	case KindRecords:
		return with(d, func(r Records) { l.records(r) })
	case KindWant:
		return with(d, func(w Want) {
			for _, m := range pack(recordsOf(l.cfg.Members, w.IDs), nil) {
				l.link.send(KindRecords, m, d.from)
			}
		})
	case KindProbe:
		l.beats.send(d.from)
		return nil
	case KindAsk:
		return with(d, func(a Ask) { l.asked(d.from, a.Brief.brief(), now) })
	case KindBeat:
		return with(d, func(Beat) {
			if l.fresh.fresh(d) {
				l.heard(d.from)
			}
		})
	case KindObjects:
		return with(d, func(m Objects) {
			for _, object := range m.Objects {
				l.apply(object)
			}
		})
	case KindOffer:
		return with(d, func(m Offer) { l.offered(d.from, m) })
	default:
		dropped("unexpectedKind")
		return nil
	}
}

// answered takes an answer; when the entry would hand out other records than
// the agent holds, the agent lists what it holds.
func (l *agentLoop) answered(from netip.AddrPort, a Answer, now time.Time) {
	l.beats.answered(from, a, now)
	differs := a.Flags&flagView != 0 && now.Sub(l.comparedAt) >= compareAgainAfter
	if a.Flags&flagRecord != 0 || !differs && now.Before(l.refreshAt) {
		return
	}
	l.comparedAt, l.refreshAt = now, now.Add(refreshEvery)
	held := append(l.cfg.Members.Entries(), l.cfg.Members.OfService(l.cfg.Self().Service)...)
	l.link.send(KindBriefs, Briefs{Scope: holdings, Briefs: briefsOf(held)}, from)
}

func (l *agentLoop) records(m Records) {
	records, invalid := fromWire(m.Records)
	if invalid > 0 {
		dropped("record")
	}
	ended := fromWireBriefs(m.Ended)
	self := l.cfg.Self()
	if b, found := newerSelf(self.Brief(), records, ended); found && b != l.refuted {
		l.refuted = b
		l.cfg.Trail.Record(audit.Event{Action: "refute", Target: "this agent", Reason: refuteReason(b)})
		l.cfg.Refute(b)
	}
	records, ended = withoutSelf(self.ID, records, ended)
	l.cfg.Members.Merge(slices.DeleteFunc(records, func(r member.Record) bool {
		return r.Role == member.RoleAgent && r.Service != self.Service
	}))
	l.cfg.Members.MergeEnded(ended)
	l.liveDirty, l.beats.rechoose = true, true
}

func (l *agentLoop) offered(from netip.AddrPort, m Offer) {
	peer, ok := l.cfg.Members.Get(member.IDOf(member.RoleEntry, from))
	if !ok {
		return
	}
	for _, hash := range l.objects.missing(m.Large) {
		l.objects.fetch(l.cfg.Client, peer.Peer, hash)
	}
}

func (l *agentLoop) objectFetched(f fetchedObject) {
	l.objects.running--
	if f.err != nil {
		dropped("fetch")
		return
	}
	l.apply(f.object)
}

func (l *agentLoop) apply(object []byte) {
	if err := l.cfg.ApplyConfig(object); err != nil {
		dropped("object")
	}
}
