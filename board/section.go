package board

import (
	"context"
	"sync"
)

// DefaultShards is the default number of shards of a section.
const DefaultShards = 16

// subscriptionBuffer is the number of keys buffered for a slow subscriber. When the buffer is full, further keys
// are dropped and the subscriber receives Changed.Overflow.
const subscriptionBuffer = 1024

// Config configures a Section.
type Config[K comparable] struct {
	// Shards is the number of shards; 0 means DefaultShards.
	Shards int
	// Hash distributes keys over shards. It must be a pure function of the key.
	Hash func(K) uint64
}

// Changed reports one change of a section.
type Changed[K comparable] struct {
	// Key is the changed key. It is the zero value when Overflow is set.
	Key K
	// Overflow reports that changes were dropped, so that the subscriber must read a new snapshot.
	Overflow bool
}

// Section is a sharded map of immutable values. It is safe for concurrent use.
type Section[K comparable, V any] struct {
	hash   func(K) uint64
	shards []*shard[K, V]
	subs   subscribers[K]
}

type shard[K comparable, V any] struct {
	mu sync.RWMutex
	// mu guards values. Values are never modified in place.
	values map[K]V
}

type subscribers[K comparable] struct {
	mu sync.Mutex
	// mu guards channels. A channel is closed when it is removed from the map. The flag of a channel reports that
	// the last value sent to it was an overflow.
	channels map[chan Changed[K]]*bool
}

// NewSection returns an empty section.
func NewSection[K comparable, V any](cfg Config[K]) *Section[K, V] {
	n := cfg.Shards
	if n <= 0 {
		n = DefaultShards
	}
	s := &Section[K, V]{hash: cfg.Hash, shards: make([]*shard[K, V], n)}
	for i := range s.shards {
		s.shards[i] = &shard[K, V]{values: make(map[K]V)}
	}
	s.subs.channels = make(map[chan Changed[K]]*bool)
	return s
}

func (s *Section[K, V]) shardOf(key K) *shard[K, V] {
	return s.shards[s.hash(key)%uint64(len(s.shards))]
}

// Get returns the value of a key.
func (s *Section[K, V]) Get(key K) (V, bool) {
	sh := s.shardOf(key)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	v, ok := sh.values[key]
	return v, ok
}

// Put sets the value of a key and notifies subscribers.
func (s *Section[K, V]) Put(key K, value V) {
	sh := s.shardOf(key)
	sh.mu.Lock()
	sh.values[key] = value
	sh.mu.Unlock()
	s.subs.notify(key)
}

// Delete removes a key and notifies subscribers if it was present.
func (s *Section[K, V]) Delete(key K) {
	sh := s.shardOf(key)
	sh.mu.Lock()
	_, ok := sh.values[key]
	delete(sh.values, key)
	sh.mu.Unlock()
	if ok {
		s.subs.notify(key)
	}
}

// Update replaces the value of a key with the result of change, which is called under the lock of the key's
// shard. If change returns false, nothing is stored and no subscriber is notified. Update reports whether a
// value was stored.
func (s *Section[K, V]) Update(key K, change func(old V, ok bool) (V, bool)) bool {
	sh := s.shardOf(key)
	sh.mu.Lock()
	old, ok := sh.values[key]
	value, store := change(old, ok)
	if store {
		sh.values[key] = value
	}
	sh.mu.Unlock()
	if store {
		s.subs.notify(key)
	}
	return store
}

// Snapshot returns a copy of the section. Shards are copied one after the other, so the copy is consistent
// per key but not across keys.
func (s *Section[K, V]) Snapshot() map[K]V {
	out := make(map[K]V, s.Len())
	for _, sh := range s.shards {
		sh.mu.RLock()
		for k, v := range sh.values {
			out[k] = v
		}
		sh.mu.RUnlock()
	}
	return out
}

// Len returns the number of keys.
func (s *Section[K, V]) Len() int {
	n := 0
	for _, sh := range s.shards {
		sh.mu.RLock()
		n += len(sh.values)
		sh.mu.RUnlock()
	}
	return n
}

// Subscribe returns a channel that reports changes. It is closed when ctx ends. Writers never block on a
// subscriber: a slow one misses keys and receives Overflow instead.
func (s *Section[K, V]) Subscribe(ctx context.Context) <-chan Changed[K] {
	ch := make(chan Changed[K], subscriptionBuffer)
	s.subs.mu.Lock()
	s.subs.channels[ch] = new(bool)
	s.subs.mu.Unlock()
	context.AfterFunc(ctx, func() { s.subs.remove(ch) })
	return ch
}

func (s *subscribers[K]) remove(ch chan Changed[K]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.channels, ch)
	close(ch)
}

func (s *subscribers[K]) notify(key K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ch, overflowed := range s.channels {
		s.send(ch, overflowed, key)
	}
}

// send delivers a change without blocking. The last free element of the buffer is reserved for the overflow
// value, so that it is always delivered.
func (s *subscribers[K]) send(ch chan Changed[K], overflowed *bool, key K) {
	free := cap(ch) - len(ch)
	switch {
	case free > 1:
		*overflowed = false
		ch <- Changed[K]{Key: key}
	case !*overflowed:
		*overflowed = true
		ch <- Changed[K]{Overflow: true}
	}
}
