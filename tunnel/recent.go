package tunnel

import (
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// recentShards is the number of shards of a recentMap. It is a power of two.
const recentShards = 64

// recentMap is a bounded, sharded map from a caller's address, optionally with the hash of a first flight,
// to a value. It evicts approximately the least recently used keys: each shard has two generations. When
// the young generation is full it becomes the old one, and the keys of the former old generation that have
// not been used since are evicted.
type recentMap[V any] struct {
	shards [recentShards]recentShard[V]
	// perGeneration is the number of keys in one generation of a shard.
	perGeneration int
}

type recentShard[V any] struct {
	mu sync.Mutex
	// mu guards young and old and the values in them.
	young, old map[recentKey]*V
}

type recentKey struct {
	caller netip.AddrPort
	flight uint64
}

func (k recentKey) hash() uint64 {
	var b [14]byte
	ip := k.caller.Addr().As4()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[4:], k.caller.Port())
	binary.BigEndian.PutUint64(b[6:], k.flight)
	return xxhash.Sum64(b[:])
}

// newRecentMap returns a map that holds at least the given number of keys in use, provided that they spread
// evenly over the shards.
func newRecentMap[V any](keys int) *recentMap[V] {
	r := &recentMap[V]{perGeneration: max(1, keys/recentShards)}
	for i := range r.shards {
		r.shards[i].young = make(map[recentKey]*V)
	}
	return r
}

// with calls f with the value of a key while its shard is locked, and reports whether it did. If the key is
// missing, its value is created as the zero value when create is set; otherwise f is not called.
func (r *recentMap[V]) with(k recentKey, create bool, f func(v *V)) bool {
	s := &r.shards[k.hash()%recentShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.young[k]
	if v == nil {
		if v = s.old[k]; v == nil && !create {
			return false
		}
		if v == nil {
			v = new(V)
		}
		if len(s.young) >= r.perGeneration {
			s.old, s.young = s.young, make(map[recentKey]*V)
		}
		s.young[k] = v
	}
	f(v)
	return true
}
