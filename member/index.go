package member

import (
	"slices"
	"sync"

	"endiveflow.example/endiveflow/config"
)

// index finds the IDs of a service, of entries and of a digest bucket without
// a walk over all records.
type index struct {
	mu sync.RWMutex
	// services, entries and buckets hold sorted IDs and are guarded by mu.
	services map[config.ServiceTag][]ID
	entries  []ID
	buckets  [DigestBuckets][]ID
}

func (x *index) add(r Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.Role == RoleEntry {
		x.entries = with(x.entries, r.ID)
	} else {
		x.services[r.Service] = with(x.services[r.Service], r.ID)
	}
	b := BucketOf(r.ID)
	x.buckets[b] = with(x.buckets[b], r.ID)
}

func (x *index) remove(r Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.Role == RoleEntry {
		x.entries = without(x.entries, r.ID)
	} else {
		x.services[r.Service] = without(x.services[r.Service], r.ID)
		if len(x.services[r.Service]) == 0 {
			delete(x.services, r.Service)
		}
	}
	b := BucketOf(r.ID)
	x.buckets[b] = without(x.buckets[b], r.ID)
}

func with(ids []ID, id ID) []ID {
	i, found := slices.BinarySearch(ids, id)
	if found {
		return ids
	}
	return slices.Insert(ids, i, id)
}

func without(ids []ID, id ID) []ID {
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
