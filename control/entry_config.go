package control

import (
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// compareConfigAfter is how long a difference must last before it is
	// followed: right after a change the offers are still on their way.
	compareConfigAfter = 2 * time.Second
	// compareConfigEvery spaces comparisons, whose digests take a whole datagram.
	compareConfigEvery = 3 * time.Second
	// maxConfigBuckets bounds how much of a difference one comparison follows.
	maxConfigBuckets = 8
	// resendFirst and resendMax are the times after which objects are sent
	// again to an agent whose digest stays as it was. It doubles, because the
	// agent may be ahead of this entry.
	resendFirst = time.Second
	resendMax   = time.Minute
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

type sentConfig struct {
	// had and has are the agent's digest and this entry's when objects were sent.
	had, has uint64
	at       time.Time
	wait     time.Duration
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
				l.objectReceived(object, now)
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
	if now.Sub(since) < compareConfigAfter || now.Sub(l.config.compared) < compareConfigEvery {
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
	for _, hash := range l.objects.missing(m.Large, now) {
		l.objects.fetch(l.cfg.Client, peer.Peer, hash)
	}
}

func (l *entryLoop) want(from netip.AddrPort, hashes []uint64, now time.Time) {
	if missing := l.objects.missing(hashes, now); len(missing) > 0 {
		l.link.send(KindObjectWant, ObjectWant{Hashes: missing}, from)
	}
}

func (l *entryLoop) objectsWanted(from netip.AddrPort, m ObjectWant, now time.Time) {
	l.objects.refresh()
	var found [][]byte
	for _, hash := range m.Hashes {
		if object, ok := l.objects.byHash[hash]; ok {
			found = append(found, object)
		}
	}
	l.sendObjectsTo(from, found, now)
}

// sendObjectsTo sends small objects in datagrams and offers the large ones. It
// says whether the cap let all of them out.
func (l *entryLoop) sendObjectsTo(to netip.AddrPort, all [][]byte, now time.Time) bool {
	var offer Offer
	var message Objects
	room := maxInline
	flush := func() {
		if len(message.Objects) > 0 {
			l.configCap.AllowN(now, l.link.send(KindObjects, message, to))
		}
		message, room = Objects{}, maxInline
	}
	for _, object := range all {
		if len(object) > maxInline {
			offer.Large = append(offer.Large, l.bulk.put(object))
			continue
		}
		if len(object)+3 > room {
			flush()
		}
		if l.configCap.TokensAt(now) < minRound {
			return false
		}
		message.Objects = append(message.Objects, object)
		room -= len(object) + 3
	}
	flush()
	if len(offer.Large) > 0 {
		l.link.send(KindOffer, offer, to)
	}
	return true
}

// objectReceived applies an object from another entry and passes it on if it was news.
func (l *entryLoop) objectReceived(object []byte, now time.Time) {
	l.objects.note(hashOf(object), seenObject{at: now, received: true})
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
	l.objectReceived(f.object, l.cfg.Now())
}

// configApplied offers a new object to other entries and sends it to the
// watched agents that need it.
func (l *entryLoop) configApplied(object []byte) {
	now := l.cfg.Now()
	large := len(object) > maxInline
	if large {
		l.bulk.put(object)
	}
	l.gossip.add(rumorKey{offer: true, id: hashOf(object)}, &rumor{large: large})
	l.flushGossip(now)
	for _, id := range l.detector.Watched() {
		if r, ok := l.cfg.Members.Get(id); ok && r.Role == member.RoleAgent {
			l.sendObjects(r, r.ConfigDigest, now)
		}
	}
}

// sendObjects sends an agent its configuration if its digest shows that it lacks some.
func (l *entryLoop) sendObjects(agent member.Record, had uint64, now time.Time) {
	has, encoded := l.cfg.ObjectsFor(agent.Service)
	if has == had {
		delete(l.config.sent, agent.ID)
		return
	}
	last := l.config.sent[agent.ID]
	next := sentConfig{had: had, has: has, at: now, wait: resendFirst}
	if last.had == had && last.has == has {
		if now.Sub(last.at) < last.wait {
			return
		}
		next.wait = min(2*last.wait, resendMax)
	}
	if l.sendObjectsTo(agent.Control, encoded, now) {
		if len(l.config.sent) >= maxSources {
			clear(l.config.sent)
		}
		l.config.sent[agent.ID] = next
	}
}
