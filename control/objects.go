package control

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// configBuckets is the number of digest buckets of the configuration. At the target size a bucket holds
	// about 80 of 20,000 hashes.
	configBuckets = 256
	// objectHeadBytes is the size of the CBOR head of an encoded object within a message.
	objectHeadBytes = 3
	// maxInline is the largest object that is sent in a datagram.
	maxInline = maxBody - envelopeSize - objectHeadBytes
	// maxHashes is the number of hashes that fit in a datagram.
	maxHashes = (maxBody - envelopeSize) / hashSize
	// maxTrackedHashes bounds the hashes of recently received objects and those of requested objects.
	maxTrackedHashes = 4096
	// maxRequestAttempts is the number of times that an object is requested after one offer.
	maxRequestAttempts = 5
	// maxFetches bounds the concurrent fetches of large objects.
	maxFetches = 4
	// fetchTimeout is far above the time that 1 MB takes within a region.
	fetchTimeout = 10 * time.Second
)

// objects tracks the applied configuration objects by their hashes, and those being requested.
type objects struct {
	configDigest func() uint64
	allObjects   func() [][]byte
	loadedDigest uint64
	loaded       bool
	// byHash holds the applied objects as last read. Reading all of them is costly, so objects applied since
	// then are kept in recent.
	byHash map[uint64][]byte
	recent *objectCache
	// received holds the hashes of recently received objects. They are not requested again, even if a newer
	// version made an object obsolete before it arrived.
	received map[uint64]struct{}
	// requested holds the objects that were requested and have not arrived.
	requested map[uint64]*requestedObject
	// fetched delivers the results of fetches; runningFetches counts those in progress.
	fetched        chan fetchedObject
	runningFetches int
	// fetchCtx ends with the loop that owns the struct.
	fetchCtx context.Context
}

type requestedObject struct {
	from        netip.AddrPort
	requestedAt time.Time
	attempts    int
}

type fetchedObject struct {
	hash   uint64
	object []byte
	err    error
}

func newObjects(digest func() uint64, all func() [][]byte) *objects {
	return &objects{
		configDigest: digest, allObjects: all, byHash: make(map[uint64][]byte), recent: newObjectCache(), received: make(map[uint64]struct{}),
		requested: make(map[uint64]*requestedObject),
		fetched:   make(chan fetchedObject, maxFetches),
	}
}

// refresh reads the applied objects again if the configuration has changed.
func (o *objects) refresh() {
	digest := o.configDigest()
	if o.loaded && digest == o.loadedDigest {
		return
	}
	o.loadedDigest, o.loaded = digest, true
	clear(o.byHash)
	for _, object := range o.allObjects() {
		o.byHash[hashOf(object)] = object
	}
}

// buckets returns the digests of all buckets.
func (o *objects) buckets() []byte {
	o.refresh()
	digests := make([]uint64, configBuckets)
	for hash := range o.byHash {
		digests[hash%configBuckets] ^= hash >> 8
	}
	return member.AppendDigests(nil, digests)
}

func (o *objects) inBucket(bucket uint64) map[uint64]bool {
	o.refresh()
	out := make(map[uint64]bool)
	for hash := range o.byHash {
		if hash%configBuckets == bucket {
			out[hash] = true
		}
	}
	return out
}

// get returns an applied object.
func (o *objects) get(hash uint64) ([]byte, bool) {
	if object, ok := o.recent.get(hash); ok {
		return object, true
	}
	if object, ok := o.byHash[hash]; ok {
		return object, true
	}
	o.refresh()
	object, ok := o.byHash[hash]
	return object, ok
}

// missing returns the offered hashes to request. Hashes that were already requested are left to the retries.
// Requesting an object that is already held is harmless.
func (o *objects) missing(hashes []uint64) []uint64 {
	if !o.loaded {
		o.refresh()
	}
	var out []uint64
	for _, hash := range hashes {
		_, applied := o.byHash[hash]
		_, received := o.received[hash]
		if !applied && !received && o.requested[hash] == nil {
			out = append(out, hash)
		}
	}
	return out
}

// markRequested records the request for an object.
func (o *objects) markRequested(hash uint64, from netip.AddrPort, now time.Time) {
	if len(o.requested) < maxTrackedHashes {
		o.requested[hash] = &requestedObject{from: from, requestedAt: now, attempts: 1}
	}
}

// overdue returns the objects to request again, by the process that offered them.
func (o *objects) overdue(now time.Time) map[netip.AddrPort][]uint64 {
	out := make(map[netip.AddrPort][]uint64)
	for hash, request := range o.requested {
		switch {
		case now.Sub(request.requestedAt) < retryAfter || len(out[request.from]) >= maxHashes:
		case request.attempts >= maxRequestAttempts:
			delete(o.requested, hash)
		default:
			request.requestedAt, request.attempts = now, request.attempts+1
			out[request.from] = append(out[request.from], hash)
		}
	}
	return out
}

// markReceived records that an object was received.
func (o *objects) markReceived(hash uint64) {
	delete(o.requested, hash)
	if len(o.received) >= maxTrackedHashes {
		clear(o.received)
	}
	o.received[hash] = struct{}{}
}

// fetch fetches a large object in the background.
func (o *objects) fetch(client *http.Client, peer netip.AddrPort, hash uint64) {
	if client == nil || o.runningFetches >= maxFetches {
		return
	}
	o.runningFetches++
	ctx, cancel := context.WithTimeout(o.fetchCtx, fetchTimeout)
	go func() {
		defer cancel()
		object, err := fetchObject(ctx, client, peer, hash)
		o.fetched <- fetchedObject{hash: hash, object: object, err: err}
	}()
}

// waitForFetches waits for the fetches in progress and discards their results.
func (o *objects) waitForFetches() {
	for ; o.runningFetches > 0; o.runningFetches-- {
		<-o.fetched
	}
}
