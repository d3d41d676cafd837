package control

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxBulkObjects bounds the objects kept for fetching; with the store's limit
// of 1 MB a value they take 64 MB at worst.
const maxBulkObjects = 64

// bulkStore keeps the announced objects that do not fit in a datagram.
type bulkStore struct {
	mu sync.Mutex
	// objects is guarded by mu; order lists its keys, oldest first.
	objects map[uint64][]byte
	order   []uint64
}

func newBulkStore() *bulkStore { return &bulkStore{objects: make(map[uint64][]byte)} }

func hashOf(object []byte) uint64 { return xxhash.Sum64(object) }

func (s *bulkStore) put(object []byte) uint64 {
	hash := hashOf(object)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[hash]; ok {
		return hash
	}
	if len(s.order) >= maxBulkObjects {
		delete(s.objects, s.order[0])
		s.order = s.order[1:]
	}
	s.objects[hash] = object
	s.order = append(s.order, hash)
	return hash
}

func (s *bulkStore) get(hash uint64) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[hash]
	return object, ok
}
