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

func (c *objectCache) put(object []byte) uint64 {
	hash := hashOf(object)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.objects[hash]; ok {
		return hash
	}
	if len(c.order) >= maxCachedObjects {
		delete(c.objects, c.order[0])
		c.order = c.order[1:]
	}
	c.objects[hash] = object
	c.order = append(c.order, hash)
	return hash
}

func (c *objectCache) get(hash uint64) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	object, ok := c.objects[hash]
	return object, ok
}
