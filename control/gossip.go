package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// gossipFanout is the number of entries that a round of gossip is sent to.
	gossipFanout = 3
	// ringSuccessors is the number of entries following in the order of IDs that
	// get every rumor; a rumor is sent in at least as many rounds.
	ringSuccessors = 2
	// gossipSends is the number of times that an entry sends an ordinary rumor,
	// in two rounds.
	gossipSends = 5
	// urgentSends is added to the natural logarithm of the number of entries
	// for urgent rumors and offers, which lost datagrams should not delay.
	urgentSends = 3
	// manyRumors is the number of rumors in the queue from which it is long.
	manyRumors = 20
	// manyDeaths is the number of deaths in the queue from which they are sent
	// as short digests, for which the receiver walks over all records.
	manyDeaths = 20
	// maxRumors bounds the queue; what does not fit is left to the digests.
	maxRumors = 8192
	// Upper bounds in bytes of the encoded parts of a message.
	recordSize   = 52
	briefSize    = 26
	hashSize     = 9
	envelopeSize = 8
	// minRound is the smallest number of free bytes for which a round starts
	// under the cap, so that a long queue is sent in full datagrams.
	minRound = maxDatagram + headerBytes
	// urgentReserve is the part of the cap kept for members that leave: all
	// entries must know them within 2 s, also while a mass loss fills the queue.
	urgentReserve = minRound
	// notUrgent is above every number of times that a rumor is sent.
	notUrgent = 1000
	// messageOverhead is what a message adds to its records.
	messageOverhead = maxDatagram - maxBody + envelopeSize + headerBytes
)

// gossip holds the news that this entry still passes on.
type gossip struct {
	rand   *rand.Rand
	rumors map[rumorKey]*rumor
	// urgent and deaths count the rumors of these kinds.
	urgent, deaths int
	// flushed is when a round was last sent, round counts them.
	flushed time.Time
	round   int
}

type rumorKey struct {
	offer bool
	// id is a member ID or the hash of an offered object.
	id uint64
}

// rumor is news of one member or one object.
type rumor struct {
	// record is sent for live members, brief for ended ones; both are unset for offers.
	record *wireRecord
	brief  member.Brief
	offer  bool
	large  bool
	sent   int
}

func newGossip(r *rand.Rand) *gossip {
	return &gossip{rand: r, rumors: make(map[rumorKey]*rumor)}
}

func (g *gossip) add(key rumorKey, r *rumor) {
	if _, ok := g.rumors[key]; !ok && len(g.rumors) >= maxRumors {
		dropped("rumor")
		return
	}
	g.drop(key)
	g.rumors[key] = r
	g.count(r, 1)
}

func (g *gossip) drop(key rumorKey) {
	if r := g.rumors[key]; r != nil {
		g.count(r, -1)
		delete(g.rumors, key)
	}
}

func (g *gossip) count(r *rumor, by int) {
	if r.urgent() {
		g.urgent += by
	}
	if r.dead() {
		g.deaths += by
	}
}

func (g *gossip) clear() {
	clear(g.rumors)
	g.urgent, g.deaths = 0, 0
}

// returned counts news that another entry sent back as sent once more, because
// it has spread without this entry. While the queue is short every send is
// worth its bytes.
func (g *gossip) returned(records []member.Record, ended []member.Brief) {
	if len(g.rumors) < manyRumors {
		return
	}
	for i := range records {
		g.returnedBrief(records[i].Brief())
	}
	for _, b := range ended {
		g.returnedBrief(b)
	}
}

func (g *gossip) returnedBrief(b member.Brief) {
	if r := g.rumors[rumorKey{id: uint64(b.ID)}]; r != nil && r.brief == b {
		r.sent++
	}
}

// targets returns the entries of the next round: one of the two that follow in
// the order of IDs, alternately, and random ones. Random ones alone miss some
// entry in one of a few drains among 150 entries; one that is missed so is
// still reached by the two before it. The order of others is changed.
func (g *gossip) targets(self member.ID, others []member.Record) []member.Record {
	after := slices.IndexFunc(others, func(r member.Record) bool { return r.ID > self })
	next := (max(after, 0) + g.round%ringSuccessors) % len(others)
	g.round++
	others[0], others[next] = others[next], others[0]
	rest := others[1:]
	g.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return others[:min(gossipFanout, len(others))]
}

// limit is the number of times that an entry sends a rumor among others entries.
func (r *rumor) limit(others int) int {
	urgent := urgentSends + int(math.Ceil(math.Log(float64(others+1))))
	if r.urgent() || r.offer {
		return urgent
	}
	return min(gossipSends, urgent)
}

func isLeaving(s member.State) bool { return s == member.StateDraining || s == member.StateLeft }

// urgent says whether the member leaves.
func (r *rumor) urgent() bool { return isLeaving(r.brief.State) }

// next takes the least sent rumors that fit in one datagram each of records
// and offers, urgent ones first, and drops those that were sent often enough.
// With urgentOnly it leaves the others for later.
func (g *gossip) next(others, room int, urgentOnly bool) (Records, Offer) {
	var records Records
	var offer Offer
	recordsRoom, offerRoom := room, room
	short := g.deaths >= manyDeaths
	for _, key := range g.order(others) {
		r := g.rumors[key]
		if urgentOnly && !r.urgent() {
			break
		}
		switch {
		case key.offer:
			offerRoom -= hashSize
			if offerRoom >= 0 {
				r.sent++
				offer.add(key.id, r.large)
			}
		case r.record != nil:
			if size := sizeOf(*r.record); recordsRoom >= size {
				recordsRoom -= size
				r.sent++
				records.Records = append(records.Records, *r.record)
			}
		case short && r.dead():
			if recordsRoom -= member.ShortDigestBytes; recordsRoom >= 0 {
				r.sent++
				records.Deaths = appendShort(records.Deaths, r.brief.ShortDigest())
			}
		case recordsRoom >= briefSize:
			recordsRoom -= briefSize
			r.sent++
			records.Ended = append(records.Ended, toWireBrief(r.brief))
		}
	}
	return records, offer
}

// order drops the rumors that were sent often enough and sorts the others.
func (g *gossip) order(others int) []rumorKey {
	keys := make([]rumorKey, 0, len(g.rumors))
	for key, r := range g.rumors {
		if r.sent >= r.limit(others) {
			g.drop(key)
			continue
		}
		keys = append(keys, key)
	}
	rank := func(key rumorKey) int {
		r := g.rumors[key]
		if r.urgent() {
			return r.sent
		}
		return r.sent + notUrgent
	}
	slices.SortFunc(keys, func(a, b rumorKey) int { return rank(a) - rank(b) })
	return keys
}

// dead says whether the observers ended the member.
func (r *rumor) dead() bool { return r.record == nil && r.brief.State == member.StateDead }

func (o *Offer) add(hash uint64, large bool) {
	if large {
		o.Large = append(o.Large, hash)
		return
	}
	o.Hashes = append(o.Hashes, hash)
}

func sizeOf(w wireRecord) int { return recordSize + len(w.Zone) }

// spread passes on changed records.
func (l *entryLoop) spread(changed []member.Record) {
	for i := range changed {
		r := &rumor{brief: changed[i].Brief()}
		if changed[i].Alive() {
			wire := toWire(changed[i])
			r.record = &wire
		}
		l.gossip.add(rumorKey{id: uint64(changed[i].ID)}, r)
	}
}

// spreadEnded passes on the ends of members and tells the agents of their services.
func (l *entryLoop) spreadEnded(changed []member.Brief) {
	for _, b := range changed {
		l.gossip.add(rumorKey{id: uint64(b.ID)}, &rumor{brief: b})
		if r, ok := l.cfg.Members.Get(b.ID); ok {
			l.pushToAgents([]member.Record{r})
		}
	}
}

// flushGossip sends a round of gossip to random entries as far as the cap allows.
func (l *entryLoop) flushGossip(now time.Time) {
	if len(l.gossip.rumors) == 0 || l.gossip.urgent == 0 && now.Sub(l.gossip.flushed) < tickEvery {
		return
	}
	l.gossip.flushed = now
	others := l.otherEntries()
	if len(others) == 0 {
		l.gossip.clear()
		return
	}
	for _, e := range l.gossip.targets(l.cfg.Self().ID, others) {
		tokens := int(l.gossipCap.TokensAt(now)) - messageOverhead
		urgentOnly := !l.room(now)
		if urgentOnly && (l.gossip.urgent == 0 || tokens < recordSize+maxZone) {
			return
		}
		records, offer := l.gossip.next(len(others), min(tokens, maxBody-envelopeSize), urgentOnly)
		if len(records.Records)+len(records.Ended)+len(records.Deaths) > 0 {
			l.gossipCap.AllowN(now, l.link.send(KindRecords, records, e.Control))
		}
		if len(offer.Hashes)+len(offer.Large) > 0 {
			l.gossipCap.AllowN(now, l.link.send(KindOffer, offer, e.Control))
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

// pushToAgents sends changed records to the watched agents of the same
// service. What the cap or the network drops is found by their next heartbeat.
func (l *entryLoop) pushToAgents(changed []member.Record) {
	now := l.cfg.Now()
	for _, r := range changed {
		if r.Role != member.RoleAgent {
			continue
		}
		message := Records{Records: []wireRecord{toWire(r)}}
		needed := minRound + urgentReserve
		if isLeaving(r.State) {
			needed = messageOverhead + recordSize + maxZone
		}
		for _, peer := range l.cfg.Members.OfService(r.Service) {
			if peer.ID != r.ID && peer.Alive() && l.detector.Watching(peer.ID) && l.gossipCap.TokensAt(now) >= float64(needed) {
				l.gossipCap.AllowN(now, l.link.send(KindRecords, message, peer.Control))
			}
		}
	}
}
