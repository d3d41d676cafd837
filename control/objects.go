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
	// objectHead is the head of an encoded object within a message.
	objectHead = 3
	// maxInline is the largest object that is sent in a datagram.
	maxInline = maxBody - envelopeSize - objectHead
	// maxHashes is the number of hashes that fit in a datagram.
	maxHashes = (maxBody - envelopeSize) / hashSize
	// maxSeen bounds the hashes of objects that were received lately or are wanted.
	maxSeen = 4096
	// wantAttempts is the number of times that an object is asked for after one offer.
	wantAttempts = 5
	// maxFetches bounds the concurrent fetches of large objects.
	maxFetches = 4
	// fetchTimeout is far above the time for 1 MB within a region.
	fetchTimeout = 10 * time.Second
)

// objects finds the applied configuration objects by their hashes.
type objects struct {
	digest  func() uint64
	all     func() [][]byte
	current uint64
	filled  bool
	// byHash holds the objects applied when they were last read. Reading all of
	// them is costly, so changes since then are in recent.
	byHash map[uint64][]byte
	recent *bulkStore
	// received holds the hashes of objects that came lately. They are not
	// wanted again, also when a newer version had replaced one before it came.
	received map[uint64]struct{}
	// wanted are objects that were asked for and have not come.
	wanted map[uint64]*wantedObject
	// fetched delivers the ends of fetches, of which running are under way.
	fetched chan fetchedObject
	running int
	// fetchCtx ends with the loop that owns the struct.
	fetchCtx context.Context
}

type wantedObject struct {
	from     netip.AddrPort
	at       time.Time
	attempts int
}

type fetchedObject struct {
	hash   uint64
	object []byte
	err    error
}

func newObjects(digest func() uint64, all func() [][]byte) *objects {
	return &objects{
		digest: digest, all: all, byHash: make(map[uint64][]byte), recent: newBulkStore(), received: make(map[uint64]struct{}),
		wanted:  make(map[uint64]*wantedObject),
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

// missing returns which of the offered hashes to ask for. One that has been
// asked for is left to the retries. Asking for one that is held does no harm.
func (o *objects) missing(hashes []uint64) []uint64 {
	if !o.filled {
		o.refresh()
	}
	var out []uint64
	for _, hash := range hashes {
		_, held := o.byHash[hash]
		_, received := o.received[hash]
		if !held && !received && o.wanted[hash] == nil {
			out = append(out, hash)
		}
	}
	return out
}

// want notes that an object is asked for.
func (o *objects) want(hash uint64, from netip.AddrPort, now time.Time) {
	if len(o.wanted) < maxSeen {
		o.wanted[hash] = &wantedObject{from: from, at: now, attempts: 1}
	}
}

// overdue returns the objects to ask for again, by the process that offered them.
func (o *objects) overdue(now time.Time) map[netip.AddrPort][]uint64 {
	out := make(map[netip.AddrPort][]uint64)
	for hash, w := range o.wanted {
		switch {
		case now.Sub(w.at) < retryAfter || len(out[w.from]) >= maxHashes:
		case w.attempts >= wantAttempts:
			delete(o.wanted, hash)
		default:
			w.at, w.attempts = now, w.attempts+1
			out[w.from] = append(out[w.from], hash)
		}
	}
	return out
}

// came notes an object that was received.
func (o *objects) came(hash uint64) {
	delete(o.wanted, hash)
	if len(o.received) >= maxSeen {
		clear(o.received)
	}
	o.received[hash] = struct{}{}
}

// fetch reads a large object in the background.
func (o *objects) fetch(client *http.Client, peer netip.AddrPort, hash uint64) {
	if client == nil || o.running >= maxFetches {
		return
	}
	o.running++
	ctx, cancel := context.WithTimeout(o.fetchCtx, fetchTimeout)
	go func() {
		defer cancel()
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
