package control

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxCachedObjects bounds the objects kept for fetching. With the store's limit of 1 MB per value they take at
// most 64 MB.
const maxCachedObjects = 64

// objectCache keeps the most recently added objects by their hashes.
type objectCache struct {
	mu sync.Mutex
	// mu guards the fields below. order lists the keys of objects, oldest first.
	objects map[uint64][]byte
	order   []uint64
}

func newObjectCache() *objectCache { return &objectCache{objects: make(map[uint64][]byte)} }

func hashOf(object []byte) uint64 { return xxhash.Sum64(object) }

func (s *objectCache) put(object []byte) uint64 {
	hash := hashOf(object)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[hash]; ok {
		return hash
	}
	if len(s.order) >= maxCachedObjects {
		delete(s.objects, s.order[0])
		s.order = s.order[1:]
	}
	s.objects[hash] = object
	s.order = append(s.order, hash)
	return hash
}

func (s *objectCache) get(hash uint64) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[hash]
	return object, ok
}
