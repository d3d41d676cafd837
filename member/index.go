package member

import (
	"slices"
	"sync"

	"endiveflow.example/endiveflow/config"
)

// index looks up the member IDs of a service, of the entries and of a digest bucket without scanning all
// records.
type index struct {
	mu sync.RWMutex
	// mu guards the fields below. All lists of IDs are sorted.
	services map[config.ServiceTag][]ID
	entries  []ID
	buckets  [DigestBuckets][]ID
}

func (x *index) add(r Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.Role == RoleEntry {
		x.entries = insertID(x.entries, r.ID)
	} else {
		x.services[r.Service] = insertID(x.services[r.Service], r.ID)
	}
	b := BucketOf(r.ID)
	x.buckets[b] = insertID(x.buckets[b], r.ID)
}

func (x *index) remove(r Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.Role == RoleEntry {
		x.entries = removeID(x.entries, r.ID)
	} else {
		x.services[r.Service] = removeID(x.services[r.Service], r.ID)
		if len(x.services[r.Service]) == 0 {
			delete(x.services, r.Service)
		}
	}
	b := BucketOf(r.ID)
	x.buckets[b] = removeID(x.buckets[b], r.ID)
}

func insertID(ids []ID, id ID) []ID {
	i, found := slices.BinarySearch(ids, id)
	if found {
		return ids
	}
	return slices.Insert(ids, i, id)
}

func removeID(ids []ID, id ID) []ID {
	i, found := slices.BinarySearch(ids, id)
	if !found {
		return ids
	}
	return slices.Delete(ids, i, i+1)
}

func (x *index) ofService(tag config.ServiceTag) []ID {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return slices.Clone(x.services[tag])
}

func (x *index) ofEntries() []ID {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return slices.Clone(x.entries)
}

func (x *index) inBucket(bucket int) []ID {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return slices.Clone(x.buckets[bucket])
}
