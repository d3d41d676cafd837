package control

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// configBuckets is the number of digests over the configuration. At the
	// target size a bucket holds about 80 of 20,000 hashes.
	configBuckets = 256
	// maxInline is the largest object that is sent in a datagram.
	maxInline = maxBody - envelopeSize - 3
	// maxHashes is the number of hashes that fit in a datagram.
	maxHashes = (maxBody - envelopeSize) / hashSize
	// maxSeen bounds the hashes of objects that were received lately.
	maxSeen = 4096
	// wantAgainAfter is the time after which a wanted object is wanted from another offer.
	wantAgainAfter = time.Second
	// maxFetches bounds the concurrent fetches of large objects.
	maxFetches = 4
)

// objects finds the applied configuration objects by their hashes.
type objects struct {
	digest  func() uint64
	all     func() [][]byte
	current uint64
	filled  bool
	byHash  map[uint64][]byte
	// seen holds when an object was received or wanted; a received one is not
	// wanted again, also when a newer version had replaced it before it came.
	seen map[uint64]seenObject
	// fetched delivers the ends of fetches, of which running are under way.
	fetched chan fetchedObject
	running int
	// fetchCtx ends with the loop that owns the struct.
	fetchCtx context.Context
}

type seenObject struct {
	at       time.Time
	received bool
}

type fetchedObject struct {
	hash   uint64
	object []byte
	err    error
}

func newObjects(digest func() uint64, all func() [][]byte) *objects {
	return &objects{
		digest: digest, all: all, byHash: make(map[uint64][]byte), seen: make(map[uint64]seenObject),
		fetched: make(chan fetchedObject, maxFetches),
	}
}

// refresh reads the applied objects again after the configuration changed.
func (o *objects) refresh() {
	digest := o.digest()
	if o.filled && digest == o.current {
		return
	}
	o.current, o.filled = digest, true
	clear(o.byHash)
	for _, object := range o.all() {
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

// missing returns which of the hashes should be asked for, and notes it.
func (o *objects) missing(hashes []uint64, now time.Time) []uint64 {
	o.refresh()
	var out []uint64
	for _, hash := range hashes {
		seen, ok := o.seen[hash]
		if _, held := o.byHash[hash]; held || ok && (seen.received || now.Sub(seen.at) < wantAgainAfter) {
			continue
		}
		o.note(hash, seenObject{at: now})
		out = append(out, hash)
	}
	return out
}

func (o *objects) note(hash uint64, s seenObject) {
	if len(o.seen) >= maxSeen {
		clear(o.seen)
	}
	o.seen[hash] = s
}

// fetch reads a large object in the background.
func (o *objects) fetch(client *http.Client, peer netip.AddrPort, hash uint64) {
	if client == nil || o.running >= maxFetches {
		return
	}
	o.running++
	ctx := o.fetchCtx
	go func() {
		object, err := fetchObject(ctx, client, peer, hash)
		o.fetched <- fetchedObject{hash: hash, object: object, err: err}
	}()
}

// wait takes the ends of the fetches that are still under way.
func (o *objects) wait() {
	for ; o.running > 0; o.running-- {
		<-o.fetched
	}
}
