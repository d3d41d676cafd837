package control

import (
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// compareConfigAfter is how long a difference must last before it is
	// followed: right after a change the offers are still on their way.
	compareConfigAfter = time.Second
	// compareConfigSoon spaces the comparisons of a new difference: each takes
	// four messages that may be lost, and a change must be in force within 20 s.
	// compareConfigEvery spaces those of a difference older than
	// compareConfigOld, since the digests take a whole datagram.
	compareConfigSoon  = time.Second
	compareConfigEvery = 3 * time.Second
	compareConfigOld   = 20 * time.Second
	// maxConfigBuckets bounds how much of a difference one comparison follows.
	maxConfigBuckets = 8
	// resendFirst and resendMax are the times after which objects are sent
	// again to an agent whose digest stays as it was. After resendSteady
	// passes the time doubles, because the agent may be ahead of this entry.
	// With doubling from the start, four losses in a row delayed a change by
	// 15 s of the 20 s allowed.
	resendFirst  = time.Second
	resendMax    = time.Minute
	resendSteady = 8
)

// configSync is what this entry knows of the configuration of others.
type configSync struct {
	// differs is since when an entry has reported another digest than this one.
	differs map[netip.AddrPort]time.Time
	// compared is when a comparison was last started.
	compared time.Time
	// sent is what was last sent to an agent.
	sent map[member.ID]sentConfig
}

// sentConfig is a pass over the objects of an agent's service.
type sentConfig struct {
	// has is this entry's digest; another one starts a new pass.
	has uint64
	// had is the agent's digest when objects were last sent, at which time.
	had uint64
	at  time.Time
	// wait is the time from the end of a pass to the next one.
	wait time.Duration
	// unchanged counts the passes after which the agent's digest was as before.
	unchanged int
	// next is the place of the first object that the cap did not let out; 0 at the end of a pass.
	next int
}

func newConfigSync() configSync {
	return configSync{differs: make(map[netip.AddrPort]time.Time), sent: make(map[member.ID]sentConfig)}
}

func (l *entryLoop) handleConfig(d datagram, now time.Time) error {
	switch d.kind {
	case KindOffer:
		return with(d, func(m Offer) { l.offered(d.from, m, now) })
	case KindObjectWant:
		return with(d, func(m ObjectWant) { l.objectsWanted(d.from, m, now) })
	case KindObjects:
		return with(d, func(m Objects) {
			for _, object := range m.Objects {
				l.objectReceived(object)
			}
			l.flushGossip(now)
		})
	case KindConfigBuckets:
		return with(d, func(m ConfigBuckets) { l.compareConfigBuckets(d.from, m, now) })
	default:
		return with(d, func(m ConfigHashes) { l.compareConfigHashes(d.from, m, now) })
	}
}

// compareConfig starts a comparison with an entry that reports another digest.
func (l *entryLoop) compareConfig(from netip.AddrPort, digest uint64, now time.Time) {
	if digest == l.cfg.ConfigDigest() {
		delete(l.config.differs, from)
		return
	}
	since, ok := l.config.differs[from]
	if !ok {
		if len(l.config.differs) >= maxSources {
			clear(l.config.differs)
		}
		l.config.differs[from] = now
		return
	}
	every := compareConfigSoon
	if now.Sub(since) > compareConfigOld {
		every = compareConfigEvery
	}
	if now.Sub(since) < compareConfigAfter || now.Sub(l.config.compared) < every {
		return
	}
	l.config.compared = now
	l.link.send(KindConfigBuckets, ConfigBuckets{Digests: l.objects.buckets()}, from)
}

func (l *entryLoop) compareConfigBuckets(from netip.AddrPort, m ConfigBuckets, now time.Time) {
	for _, bucket := range differing(l.cfg.Rand, l.objects.buckets(), m.Digests, maxConfigBuckets) {
		message := ConfigHashes{Bucket: uint8(bucket)}
		for hash := range l.objects.inBucket(uint64(bucket)) {
			if len(message.Hashes) < maxHashes {
				message.Hashes = append(message.Hashes, hash)
			}
		}
		l.configCap.AllowN(now, l.link.send(KindConfigHashes, message, from))
	}
}

func (l *entryLoop) compareConfigHashes(from netip.AddrPort, m ConfigHashes, now time.Time) {
	l.want(from, m.Hashes, now)
	own := l.objects.inBucket(uint64(m.Bucket))
	for _, hash := range m.Hashes {
		delete(own, hash)
	}
	var offer Offer
	for hash := range own {
		l.addOffer(&offer, hash)
	}
	if len(offer.Hashes)+len(offer.Large) > 0 {
		l.link.send(KindOffer, offer, from)
	}
}

func (l *entryLoop) addOffer(offer *Offer, hash uint64) {
	object := l.objects.byHash[hash]
	if len(offer.Hashes)+len(offer.Large) >= maxHashes {
		return
	}
	large := len(object) > maxInline
	if large {
		l.bulk.put(object)
	}
	offer.add(hash, large)
}

func (l *entryLoop) offered(from netip.AddrPort, m Offer, now time.Time) {
	l.want(from, m.Hashes, now)
	peer, ok := l.cfg.Members.Get(member.IDOf(member.RoleEntry, from))
	if !ok {
		return
	}
	for _, hash := range l.objects.missing(m.Large) {
		l.objects.fetch(l.cfg.Client, peer.Peer, hash)
	}
}

func (l *entryLoop) want(from netip.AddrPort, hashes []uint64, now time.Time) {
	missing := l.objects.missing(hashes)
	for _, hash := range missing {
		l.objects.want(hash, from, now)
	}
	if len(missing) > 0 {
		l.link.send(KindObjectWant, ObjectWant{Hashes: missing}, from)
	}
}

// wantAgain asks for the objects that have not come in time.
func (l *entryLoop) wantAgain(now time.Time) {
	for from, hashes := range l.objects.overdue(now) {
		l.link.send(KindObjectWant, ObjectWant{Hashes: hashes}, from)
	}
}

func (l *entryLoop) objectsWanted(from netip.AddrPort, m ObjectWant, now time.Time) {
	var found [][]byte
	for _, hash := range m.Hashes {
		if object, ok := l.objects.get(hash); ok {
			found = append(found, object)
		}
	}
	l.sendObjectsTo(from, found, now)
}

// sendObjectsTo sends small objects in datagrams and offers the large ones. It
// returns the number of objects for which the cap had room.
func (l *entryLoop) sendObjectsTo(to netip.AddrPort, all [][]byte, now time.Time) int {
	var offer Offer
	var message Objects
	room, sent := maxInline, 0
	flush := func() {
		if len(message.Objects) > 0 {
			l.configCap.AllowN(now, l.link.send(KindObjects, message, to))
		}
		message, room = Objects{}, maxInline
	}
	for _, object := range all {
		if len(object) <= maxInline && len(object)+objectHead > room {
			flush()
		}
		if l.configCap.TokensAt(now) < minRound {
			break
		}
		sent++
		if len(object) > maxInline {
			offer.Large = append(offer.Large, l.bulk.put(object))
			continue
		}
		message.Objects = append(message.Objects, object)
		room -= len(object) + objectHead
	}
	flush()
	if len(offer.Large) > 0 {
		l.link.send(KindOffer, offer, to)
	}
	return sent
}

// objectReceived applies an object from another entry and passes it on if it was news.
func (l *entryLoop) objectReceived(object []byte) {
	l.objects.came(hashOf(object))
	before := l.cfg.ConfigDigest()
	if err := l.cfg.ApplyConfig(object); err != nil {
		dropped("object")
		return
	}
	if l.cfg.ConfigDigest() != before {
		l.configApplied(object)
	}
}

func (l *entryLoop) objectFetched(f fetchedObject) {
	l.objects.running--
	if f.err != nil {
		dropped("fetch")
		return
	}
	l.objectReceived(f.object)
}

// configApplied offers a new object to other entries and sends it to the
// watched agents that need it.
func (l *entryLoop) configApplied(object []byte) {
	now := l.cfg.Now()
	l.objects.came(l.objects.recent.put(object))
	large := len(object) > maxInline
	if large {
		l.bulk.put(object)
	}
	l.gossip.add(rumorKey{offer: true, id: hashOf(object)}, &rumor{offer: true, large: large})
	l.flushGossip(now)
	for _, id := range l.detector.Watched() {
		if r, ok := l.cfg.Members.Get(id); ok && r.Role == member.RoleAgent {
			l.sendObjects(r, r.ConfigDigest, now)
		}
	}
}

// sendObjects sends an agent its configuration if its digest shows that it
// lacks some. What the cap holds back follows with a later heartbeat.
func (l *entryLoop) sendObjects(agent member.Record, had uint64, now time.Time) {
	has, encoded := l.cfg.ObjectsFor(agent.Service)
	if has == had || len(encoded) == 0 {
		delete(l.config.sent, agent.ID)
		return
	}
	pass, ok := l.config.sent[agent.ID]
	switch {
	case !ok || pass.has != has || pass.next >= len(encoded):
		pass = sentConfig{has: has, wait: resendFirst}
	case pass.next > 0:
	case now.Sub(pass.at) < pass.wait:
		return
	case pass.had == had:
		pass.unchanged++
		if pass.unchanged > resendSteady {
			pass.wait = min(2*pass.wait, resendMax)
		}
	default:
		pass.wait, pass.unchanged = resendFirst, 0
	}
	pass.next += l.sendObjectsTo(agent.Control, encoded[pass.next:], now)
	pass.next %= len(encoded)
	pass.had, pass.at = had, now
	if len(l.config.sent) >= maxSources {
		clear(l.config.sent)
	}
	l.config.sent[agent.ID] = pass
}
