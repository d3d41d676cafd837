package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// gossipFanout is the number of entries to which a round of gossip is sent.
	gossipFanout = 3
	// ringSuccessors is the number of entries following in the order of IDs that receive every rumor. Each rumor
	// is sent in at least as many rounds.
	ringSuccessors = 2
	// gossipSends is the number of times that an entry sends a rumor that is not urgent, which takes two rounds.
	gossipSends = 5
	// urgentExtraSends is added to the natural logarithm of the number of entries to get the number of sends of
	// urgent rumors and offers, so that lost datagrams do not delay them.
	urgentExtraSends = 3
	// longQueue is the number of queued rumors from which a rumor that another entry sends back counts as sent
	// once more, see countReturned.
	longQueue = 20
	// shortDigestMinDeaths is the number of queued deaths from which deaths are sent as short digests. For fewer
	// it is not worthwhile, as the receiver of a short digest has to scan all records.
	shortDigestMinDeaths = 20
	// maxRumors bounds the queue. Rumors beyond it are dropped and left to the comparison of digests.
	maxRumors = 8192
	// Upper bounds in bytes of the encoded parts of a message.
	recordSize   = 52
	summarySize  = 26
	hashSize     = 9
	envelopeSize = 8
	// minRoundBytes is the number of bytes that the cap must leave for a round, so that a long queue is sent in
	// full datagrams.
	minRoundBytes = maxDatagram + headerBytes
	// urgentReserve is the part of the cap reserved for members that leave: all entries must learn of them
	// within 2 s, even while a mass loss fills the queue.
	urgentReserve = minRoundBytes
	// notUrgentRank is above the number of sends of any rumor.
	notUrgentRank = 1000
	// messageOverhead is the size of a datagram beyond its records, including IP and UDP headers.
	messageOverhead = maxDatagram - maxBody + envelopeSize + headerBytes
)

// gossip is the queue of rumors that this entry still has to send.
type gossip struct {
	rand   *rand.Rand
	rumors map[rumorKey]*rumor
	// urgent and deaths count the urgent rumors and those about deaths.
	urgent, deaths int
	// flushedAt is when a round was last sent; round counts the rounds.
	flushedAt time.Time
	round     int
}

type rumorKey struct {
	offer bool
	// id is a member ID or the hash of an offered object.
	id uint64
}

// rumor is a change of one member or one object that is propagated by gossip.
type rumor struct {
	// record is set for live members. For ended members only the summary is sent. Offers have neither.
	record  *wireRecord
	summary member.Summary
	offer   bool
	large   bool
	sends   int
}

func newGossip(r *rand.Rand) *gossip {
	return &gossip{rand: r, rumors: make(map[rumorKey]*rumor)}
}

func (g *gossip) add(key rumorKey, r *rumor) {
	if _, ok := g.rumors[key]; !ok && len(g.rumors) >= maxRumors {
		countDropped("rumor")
		return
	}
	g.remove(key)
	g.rumors[key] = r
	g.count(r, 1)
}

func (g *gossip) remove(key rumorKey) {
	if r := g.rumors[key]; r != nil {
		g.count(r, -1)
		delete(g.rumors, key)
	}
}

func (g *gossip) count(r *rumor, delta int) {
	if r.urgent() {
		g.urgent += delta
	}
	if r.dead() {
		g.deaths += delta
	}
}

func (g *gossip) clear() {
	clear(g.rumors)
	g.urgent, g.deaths = 0, 0
}

// countReturned counts rumors that another entry has sent to this one as sent once more, because they also
// spread without this entry. While the queue is short, such rumors are sent as often as others: the bytes are
// available.
func (g *gossip) countReturned(records []member.Record, ended []member.Summary) {
	if len(g.rumors) < longQueue {
		return
	}
	for i := range records {
		g.countReturnedSummary(records[i].Summary())
	}
	for _, s := range ended {
		g.countReturnedSummary(s)
	}
}

func (g *gossip) countReturnedSummary(s member.Summary) {
	if r := g.rumors[rumorKey{id: uint64(s.ID)}]; r != nil && r.summary == s {
		r.sends++
	}
}

// targets returns the entries of the next round: alternately one of the two that follow in the order of IDs, and
// random ones. With random targets alone, one of every few drains among 150 entries failed to reach some entry;
// such an entry is still reached by its two predecessors. The order of others is changed.
func (g *gossip) targets(self member.ID, others []member.Record) []member.Record {
	after := slices.IndexFunc(others, func(r member.Record) bool { return r.ID > self })
	next := (max(after, 0) + g.round%ringSuccessors) % len(others)
	g.round++
	others[0], others[next] = others[next], others[0]
	rest := others[1:]
	g.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return others[:min(gossipFanout, len(others))]
}

// sendLimit returns the number of times that an entry sends a rumor when there are others other entries.
func (r *rumor) sendLimit(others int) int {
	urgent := urgentExtraSends + int(math.Ceil(math.Log(float64(others+1))))
	if r.urgent() || r.offer {
		return urgent
	}
	return min(gossipSends, urgent)
}

func isLeaving(s member.State) bool { return s == member.StateDraining || s == member.StateLeft }

// urgent reports whether the rumor is about a member that leaves.
func (r *rumor) urgent() bool { return isLeaving(r.summary.State) }

// nextMessages returns a message of records and one of offers, each of which fits in a datagram, with the
// least-sent rumors, urgent ones first. With urgentOnly, rumors that are not urgent are skipped.
func (g *gossip) nextMessages(others, room int, urgentOnly bool) (Records, ObjectOffer) {
	var records Records
	var offer ObjectOffer
	recordsRoom, offerRoom := room, room
	shortDigests := g.deaths >= shortDigestMinDeaths
	for _, key := range g.pendingKeys(others) {
		r := g.rumors[key]
		if urgentOnly && !r.urgent() {
			break
		}
		switch {
		case key.offer:
			offerRoom -= hashSize
			if offerRoom >= 0 {
				r.sends++
				offer.add(key.id, r.large)
			}
		case r.record != nil:
			if size := sizeOf(*r.record); recordsRoom >= size {
				recordsRoom -= size
				r.sends++
				records.Records = append(records.Records, *r.record)
			}
		case shortDigests && r.dead():
			if recordsRoom -= member.ShortDigestBytes; recordsRoom >= 0 {
				r.sends++
				records.Deaths = appendShort(records.Deaths, r.summary.ShortDigest())
			}
		case recordsRoom >= summarySize:
			recordsRoom -= summarySize
			r.sends++
			records.Ended = append(records.Ended, toWireSummary(r.summary))
		}
	}
	return records, offer
}

// pendingKeys removes the rumors that were sent often enough and returns the keys of the others by priority.
func (g *gossip) pendingKeys(others int) []rumorKey {
	keys := make([]rumorKey, 0, len(g.rumors))
	for key, r := range g.rumors {
		if r.sends >= r.sendLimit(others) {
			g.remove(key)
			continue
		}
		keys = append(keys, key)
	}
	rank := func(key rumorKey) int {
		r := g.rumors[key]
		if r.urgent() {
			return r.sends
		}
		return r.sends + notUrgentRank
	}
	slices.SortFunc(keys, func(a, b rumorKey) int { return rank(a) - rank(b) })
	return keys
}

// dead reports whether the rumor is about a member that observers declared dead.
func (r *rumor) dead() bool { return r.record == nil && r.summary.State == member.StateDead }

func (o *ObjectOffer) add(hash uint64, large bool) {
	if large {
		o.LargeHashes = append(o.LargeHashes, hash)
		return
	}
	o.Hashes = append(o.Hashes, hash)
}

func sizeOf(w wireRecord) int { return recordSize + len(w.Zone) }

// gossipRecords queues changed records for gossip.
func (l *entryLoop) gossipRecords(changed []member.Record) {
	for i := range changed {
		r := &rumor{summary: changed[i].Summary()}
		if changed[i].Alive() {
			wire := toWire(changed[i])
			r.record = &wire
		}
		l.gossip.add(rumorKey{id: uint64(changed[i].ID)}, r)
	}
}

// gossipEnded queues the summaries of ended members for gossip and pushes them to the agents of their services.
func (l *entryLoop) gossipEnded(changed []member.Summary) {
	for _, s := range changed {
		l.gossip.add(rumorKey{id: uint64(s.ID)}, &rumor{summary: s})
		if r, ok := l.cfg.Members.Get(s.ID); ok {
			l.pushToAgents([]member.Record{r})
		}
	}
}

// flushGossip sends a round of gossip as far as the cap allows.
func (l *entryLoop) flushGossip(now time.Time) {
	if len(l.gossip.rumors) == 0 || l.gossip.urgent == 0 && now.Sub(l.gossip.flushedAt) < tickInterval {
		return
	}
	l.gossip.flushedAt = now
	others := l.otherEntries()
	if len(others) == 0 {
		l.gossip.clear()
		return
	}
	for _, e := range l.gossip.targets(l.cfg.Self().ID, others) {
		tokens := int(l.gossipLimiter.TokensAt(now)) - messageOverhead
		urgentOnly := !l.hasRoom(now)
		if urgentOnly && (l.gossip.urgent == 0 || tokens < recordSize+maxZone) {
			return
		}
		records, offer := l.gossip.nextMessages(len(others), min(tokens, maxBody-envelopeSize), urgentOnly)
		if len(records.Records)+len(records.Ended)+len(records.Deaths) > 0 {
			l.gossipLimiter.AllowN(now, l.link.send(KindRecords, records, e.Control))
		}
		if len(offer.Hashes)+len(offer.LargeHashes) > 0 {
			l.gossipLimiter.AllowN(now, l.link.send(KindObjectOffer, offer, e.Control))
		}
	}
}

func (l *entryLoop) otherEntries() []member.Record {
	self := l.cfg.Self().ID
	live := l.liveEntries()
	out := make([]member.Record, 0, len(live))
	for _, e := range live {
		if e.ID != self {
			out = append(out, e)
		}
	}
	return out
}

// pushToAgents sends changed records to the watched agents of the same service. Changes that are not sent
// because of the cap, or are lost, are found at the next heartbeat of the agent.
func (l *entryLoop) pushToAgents(changed []member.Record) {
	now := l.cfg.Now()
	for _, r := range changed {
		if r.Role != member.RoleAgent {
			continue
		}
		message := Records{Records: []wireRecord{toWire(r)}}
		needed := minRoundBytes + urgentReserve
		if isLeaving(r.State) {
			needed = messageOverhead + recordSize + maxZone
		}
		for _, peer := range l.cfg.Members.AgentsOfService(r.Service) {
			if peer.ID != r.ID && peer.Alive() && l.detector.Watching(peer.ID) && l.gossipLimiter.TokensAt(now) >= float64(needed) {
				l.gossipLimiter.AllowN(now, l.link.send(KindRecords, message, peer.Control))
			}
		}
	}
}
