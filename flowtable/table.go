// Package flowtable holds a process's records of flows, in shards with a lock each.
//
//	shard := table.Lock(key)
//	record := shard.Get(key)
//	...
//	shard.Unlock()
package flowtable

import (
	"sync"

	"endiveflow.example/endiveflow/flow"
)

// shardCount is a power of two.
const shardCount = 32

// Table holds a value for each flow. It is safe for concurrent use.
type Table[V any] struct {
	shards [shardCount]Shard[V]
}

// Shard is a part of a Table. It must be locked by Table.Lock before its methods are called.
type Shard[V any] struct {
	// mu guards values.
	mu     sync.Mutex
	values map[flow.Key]*V
}

// New returns an empty table.
func New[V any]() *Table[V] {
	t := new(Table[V])
	for i := range t.shards {
		t.shards[i].values = make(map[flow.Key]*V)
	}
	return t
}

// Lock locks and returns the shard of a flow.
func (t *Table[V]) Lock(key flow.Key) *Shard[V] {
	s := &t.shards[key.Hash()%shardCount]
	s.mu.Lock()
	return s
}

// Unlock unlocks the shard.
func (s *Shard[V]) Unlock() { s.mu.Unlock() }

// Get returns the value of a flow, or nil if there is none. The value may be modified until Unlock.
func (s *Shard[V]) Get(key flow.Key) *V { return s.values[key] }

// Put sets the value of a flow.
func (s *Shard[V]) Put(key flow.Key, v *V) { s.values[key] = v }

// Delete removes a flow.
func (s *Shard[V]) Delete(key flow.Key) { delete(s.values, key) }

// Sweep removes the flows for which keep returns false. It locks one shard at a time.
func (t *Table[V]) Sweep(keep func(flow.Key, *V) bool) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, v := range s.values {
			if !keep(key, v) {
				delete(s.values, key)
			}
		}
		s.mu.Unlock()
	}
}

// Len returns the number of flows.
func (t *Table[V]) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.values)
		s.mu.Unlock()
	}
	return n
}
