package control

import (
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// compareConfigDelay is how long a difference must last before it is compared: right after a change the
	// offers are still on their way.
	compareConfigDelay = time.Second
	// compareConfigInterval limits the rate of comparisons of a new difference. Each comparison takes four
	// messages, any of which may be lost, and a change must be in force within 20 s. compareConfigSlowInterval
	// applies to differences older than compareConfigSlowAfter, since the digests fill a whole datagram.
	compareConfigInterval     = time.Second
	compareConfigSlowInterval = 3 * time.Second
	compareConfigSlowAfter    = 20 * time.Second
	// maxConfigBuckets bounds the differing buckets that one comparison covers.
	maxConfigBuckets = 8
	// resendMinInterval and resendMaxInterval bound the interval after which objects are sent again to an agent
	// whose digest has not changed. The interval doubles only after resendSteadyPasses passes, as the agent may
	// be ahead of this entry. With doubling from the start, four losses in a row delayed a change by 15 s of the
	// 20 s allowed.
	resendMinInterval  = time.Second
	resendMaxInterval  = time.Minute
	resendSteadyPasses = 8
)

// configSync is the state of this entry's configuration exchange with other members.
type configSync struct {
	// differsSince maps the entries that report another digest to the time since when they do.
	differsSince map[netip.AddrPort]time.Time
	// comparedAt is when a comparison was last started.
	comparedAt time.Time
	// passes holds the last pass to each agent.
	passes map[member.ID]configPass
}

// configPass is a pass over the objects of an agent's service, in which each of them is sent to the agent once.
type configPass struct {
	// digest is this entry's digest of the objects. If it changes, a new pass starts.
	digest uint64
	// agentDigest is the digest reported by the agent when objects were last sent, at sentAt.
	agentDigest uint64
	sentAt      time.Time
	// interval is the time from the end of a pass to the next one.
	interval time.Duration
	// unchangedPasses counts the passes that did not change the agent's digest.
	unchangedPasses int
	// nextObject is the index of the first object not sent because of the cap; 0 at the end of a pass.
	nextObject int
}

func newConfigSync() configSync {
	return configSync{differsSince: make(map[netip.AddrPort]time.Time), passes: make(map[member.ID]configPass)}
}

func (l *entryLoop) handleConfig(d datagram, now time.Time) error {
	switch d.kind {
	case KindObjectOffer:
		return decodeAndHandle(d, func(m ObjectOffer) { l.handleOffer(d.from, m, now) })
	case KindObjectRequest:
		return decodeAndHandle(d, func(m ObjectRequest) { l.handleObjectRequest(d.from, m, now) })
	case KindObjects:
		return decodeAndHandle(d, func(m Objects) {
			for _, object := range m.Objects {
				l.applyObject(object)
			}
			l.flushGossip(now)
		})
	case KindConfigBucketDigests:
		return decodeAndHandle(d, func(m ConfigBucketDigests) { l.compareConfigBuckets(d.from, m, now) })
	default:
		return decodeAndHandle(d, func(m ConfigHashes) { l.compareConfigHashes(d.from, m, now) })
	}
}

// compareConfig starts a comparison with an entry that reports another digest.
func (l *entryLoop) compareConfig(from netip.AddrPort, digest uint64, now time.Time) {
	if digest == l.cfg.ConfigDigest() {
		delete(l.config.differsSince, from)
		return
	}
	since, ok := l.config.differsSince[from]
	if !ok {
		if len(l.config.differsSince) >= maxSources {
			clear(l.config.differsSince)
		}
		l.config.differsSince[from] = now
		return
	}
	interval := compareConfigInterval
	if now.Sub(since) > compareConfigSlowAfter {
		interval = compareConfigSlowInterval
	}
	if now.Sub(since) < compareConfigDelay || now.Sub(l.config.comparedAt) < interval {
		return
	}
	l.config.comparedAt = now
	l.link.send(KindConfigBucketDigests, ConfigBucketDigests{Digests: l.objects.buckets()}, from)
}

func (l *entryLoop) compareConfigBuckets(from netip.AddrPort, m ConfigBucketDigests, now time.Time) {
	for _, bucket := range differingDigests(l.cfg.Rand, l.objects.buckets(), m.Digests, maxConfigBuckets) {
		message := ConfigHashes{Bucket: uint8(bucket)}
		for hash := range l.objects.inBucket(uint64(bucket)) {
			if len(message.Hashes) < maxHashes {
				message.Hashes = append(message.Hashes, hash)
			}
		}
		l.configLimiter.AllowN(now, l.link.send(KindConfigHashes, message, from))
	}
}

func (l *entryLoop) compareConfigHashes(from netip.AddrPort, m ConfigHashes, now time.Time) {
	l.requestObjects(from, m.Hashes, now)
	own := l.objects.inBucket(uint64(m.Bucket))
	for _, hash := range m.Hashes {
		delete(own, hash)
	}
	var offer ObjectOffer
	for hash := range own {
		l.addOffer(&offer, hash)
	}
	if len(offer.Hashes)+len(offer.LargeHashes) > 0 {
		l.link.send(KindObjectOffer, offer, from)
	}
}

func (l *entryLoop) addOffer(offer *ObjectOffer, hash uint64) {
	object := l.objects.byHash[hash]
	if len(offer.Hashes)+len(offer.LargeHashes) >= maxHashes {
		return
	}
	large := len(object) > maxInline
	if large {
		l.largeObjects.put(object)
	}
	offer.add(hash, large)
}

func (l *entryLoop) handleOffer(from netip.AddrPort, m ObjectOffer, now time.Time) {
	l.requestObjects(from, m.Hashes, now)
	peer, ok := l.cfg.Members.Get(member.IDOf(member.RoleEntry, from))
	if !ok {
		return
	}
	for _, hash := range l.objects.missing(m.LargeHashes) {
		l.objects.fetch(l.cfg.Client, peer.Peer, hash)
	}
}

func (l *entryLoop) requestObjects(from netip.AddrPort, hashes []uint64, now time.Time) {
	missing := l.objects.missing(hashes)
	for _, hash := range missing {
		l.objects.markRequested(hash, from, now)
	}
	if len(missing) > 0 {
		l.link.send(KindObjectRequest, ObjectRequest{Hashes: missing}, from)
	}
}

// retryObjectRequests repeats the requests for objects that have not arrived in time.
func (l *entryLoop) retryObjectRequests(now time.Time) {
	for from, hashes := range l.objects.overdue(now) {
		l.link.send(KindObjectRequest, ObjectRequest{Hashes: hashes}, from)
	}
}

func (l *entryLoop) handleObjectRequest(from netip.AddrPort, m ObjectRequest, now time.Time) {
	var found [][]byte
	for _, hash := range m.Hashes {
		if object, ok := l.objects.get(hash); ok {
			found = append(found, object)
		}
	}
	l.sendObjectsTo(from, found, now)
}

// sendObjectsTo sends small objects in datagrams and offers large ones. It returns the number of objects sent or
// offered before the cap was reached.
func (l *entryLoop) sendObjectsTo(to netip.AddrPort, all [][]byte, now time.Time) int {
	var offer ObjectOffer
	var message Objects
	room, sent := maxInline, 0
	flush := func() {
		if len(message.Objects) > 0 {
			l.configLimiter.AllowN(now, l.link.send(KindObjects, message, to))
		}
		message, room = Objects{}, maxInline
	}
	for _, object := range all {
		if len(object) <= maxInline && len(object)+objectHeadBytes > room {
			flush()
		}
		if l.configLimiter.TokensAt(now) < minRoundBytes {
			break
		}
		sent++
		if len(object) > maxInline {
			offer.LargeHashes = append(offer.LargeHashes, l.largeObjects.put(object))
			continue
		}
		message.Objects = append(message.Objects, object)
		room -= len(object) + objectHeadBytes
	}
	flush()
	if len(offer.LargeHashes) > 0 {
		l.link.send(KindObjectOffer, offer, to)
	}
	return sent
}

// applyObject applies an object received from another entry, and propagates it if it changed the configuration.
func (l *entryLoop) applyObject(object []byte) {
	l.objects.markReceived(hashOf(object))
	before := l.cfg.ConfigDigest()
	if err := l.cfg.ApplyConfig(object); err != nil {
		countDropped("object")
		return
	}
	if l.cfg.ConfigDigest() != before {
		l.propagateObject(object)
	}
}

func (l *entryLoop) handleFetchedObject(f fetchedObject) {
	l.objects.runningFetches--
	if f.err != nil {
		countDropped("fetch")
		return
	}
	l.applyObject(f.object)
}

// propagateObject offers a new object to other entries and sends it to the watched agents that need it.
func (l *entryLoop) propagateObject(object []byte) {
	now := l.cfg.Now()
	l.objects.markReceived(l.objects.recent.put(object))
	large := len(object) > maxInline
	if large {
		l.largeObjects.put(object)
	}
	l.gossip.add(rumorKey{offer: true, id: hashOf(object)}, &rumor{offer: true, large: large})
	l.flushGossip(now)
	for _, id := range l.detector.Watched() {
		if r, ok := l.cfg.Members.Get(id); ok && r.Role == member.RoleAgent {
			l.sendAgentConfig(r, r.ConfigDigest, now)
		}
	}
}

// sendAgentConfig sends an agent its configuration if its digest shows that objects are missing. Objects held
// back by the cap are sent after a later heartbeat.
func (l *entryLoop) sendAgentConfig(agent member.Record, agentDigest uint64, now time.Time) {
	digest, encoded := l.cfg.ObjectsFor(agent.Service)
	if digest == agentDigest || len(encoded) == 0 {
		delete(l.config.passes, agent.ID)
		return
	}
	pass, ok := l.config.passes[agent.ID]
	switch {
	case !ok || pass.digest != digest || pass.nextObject >= len(encoded):
		pass = configPass{digest: digest, interval: resendMinInterval}
	case pass.nextObject > 0:
	case now.Sub(pass.sentAt) < pass.interval:
		return
	case pass.agentDigest == agentDigest:
		pass.unchangedPasses++
		if pass.unchangedPasses > resendSteadyPasses {
			pass.interval = min(2*pass.interval, resendMaxInterval)
		}
	default:
		pass.interval, pass.unchangedPasses = resendMinInterval, 0
	}
	pass.nextObject += l.sendObjectsTo(agent.Control, encoded[pass.nextObject:], now)
	pass.nextObject %= len(encoded)
	pass.agentDigest, pass.sentAt = agentDigest, now
	if len(l.config.passes) >= maxSources {
		clear(l.config.passes)
	}
	l.config.passes[agent.ID] = pass
}
