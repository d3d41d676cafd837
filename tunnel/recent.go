package tunnel

import (
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// recentShards is the number of shards of a recent map. It is a power of two.
const recentShards = 64

// recent is a bounded sharded map from a caller's address, and a number that
// the user chooses, to a value. It forgets the keys that were not used for
// longest, roughly: each shard holds two generations, and when the young one is
// full it becomes the old one, whose keys are lost unless they were used.
type recent[V any] struct {
	shards [recentShards]recentShard[V]
	// perGeneration is the number of keys in one generation of a shard.
	perGeneration int
}

type recentShard[V any] struct {
	mu sync.Mutex
	// young and old are guarded by mu, as are the values in them.
	young, old map[recentKey]*V
}

type recentKey struct {
	caller netip.AddrPort
	number uint64
}

func (k recentKey) hash() uint64 {
	var b [14]byte
	ip := k.caller.Addr().As4()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[4:], k.caller.Port())
	binary.BigEndian.PutUint64(b[6:], k.number)
	return xxhash.Sum64(b[:])
}

// newRecent returns a map that holds at least the given number of keys that
// are in use, when they spread evenly over the shards.
func newRecent[V any](keys int) *recent[V] {
	r := &recent[V]{perGeneration: max(1, keys/recentShards)}
	for i := range r.shards {
		r.shards[i].young = make(map[recentKey]*V)
	}
	return r
}

// with calls f with the value of a key, while its shard is locked. A key that
// is not known gets the zero value when create is set; otherwise f is not called.
func (r *recent[V]) with(k recentKey, create bool, f func(v *V)) bool {
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
