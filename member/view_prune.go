package member

import (
	"slices"
	"time"
)

// latestBrief returns the brief that b must be newer than to be adopted. The caller must hold st.mu.
func (st *stripe) latestBrief(b Brief, record Record, exists bool) Brief {
	if exists {
		return record.Brief()
	}
	if m, ok := st.tombstones[b.ID]; ok {
		return m
	}
	if b.Incarnation <= st.tombstoneFloor.Incarnation {
		return Brief{ID: b.ID, Incarnation: b.Incarnation, Version: st.tombstoneFloor.Version, State: StateDead}
	}
	return Brief{ID: b.ID}
}

// addTombstone keeps the last brief of a removed member. The caller must hold st.mu.
func (st *stripe) addTombstone(b Brief) {
	st.tombstones[b.ID] = b
	if len(st.tombstones) > maxTombstones/stripeCount {
		st.evictTombstones()
	}
}

// evictTombstones removes the eighth of the tombstones with the lowest incarnations and raises the floor
// to cover them. The caller must hold st.mu.
func (st *stripe) evictTombstones() {
	all := make([]Brief, 0, len(st.tombstones))
	for _, b := range st.tombstones {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b Brief) int {
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
	for _, b := range all[:len(all)/8] {
		delete(st.tombstones, b.ID)
		st.tombstoneFloor.Incarnation = max(st.tombstoneFloor.Incarnation, b.Incarnation)
		st.tombstoneFloor.Version = max(st.tombstoneFloor.Version, b.Version)
	}
}

// Prune removes the records that an earlier call found ended at least retention ago, and returns their
// number. It is meant to be called about once a second and scans only the ended records.
func (v *View) Prune(now time.Time, retention time.Duration) int {
	removed := 0
	for _, st := range v.stripes {
		st.mu.Lock()
		for id, since := range st.ended {
			switch {
			case since.IsZero():
				st.ended[id] = now
			case now.Sub(since) >= retention:
				v.remove(st, id)
				removed++
			}
		}
		st.mu.Unlock()
	}
	return removed
}

// remove replaces an ended record with its tombstone. The caller must hold st.mu.
func (v *View) remove(st *stripe, id ID) {
	h, _ := v.records.Get(id)
	delete(st.ended, id)
	v.index.remove(h.Record)
	v.records.Delete(id)
	st.addTombstone(h.Brief())
}

// EndedSince returns when Prune first found that a member had ended.
func (v *View) EndedSince(id ID) (time.Time, bool) {
	st := v.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	since, ok := st.ended[id]
	return since, ok && !since.IsZero()
}

// Tombstones returns the briefs of removed members.
func (v *View) Tombstones() []Brief {
	var out []Brief
	for _, st := range v.stripes {
		st.mu.Lock()
		for _, b := range st.tombstones {
			out = append(out, b)
		}
		st.mu.Unlock()
	}
	return out
}

// ShortDigests returns the IDs of the live members, keyed by the short digests of their ended briefs.
func (v *View) ShortDigests() map[uint64]ID {
	records := v.Records()
	out := make(map[uint64]ID, len(records))
	for i := range records {
		if records[i].Alive() {
			out[records[i].Brief().Ended().ShortDigest()] = records[i].ID
		}
	}
	return out
}

// Buckets returns the digests of the buckets of a group.
func (v *View) Buckets(group int) []uint64 {
	out := make([]uint64, bucketsPerGroup)
	for i := range out {
		bucket := group*bucketsPerGroup + i
		st := v.stripes[bucket%stripeCount]
		st.mu.Lock()
		out[i] = st.digests[bucket/stripeCount]
		st.mu.Unlock()
	}
	return out
}

// Groups returns the digests of all groups.
func (v *View) Groups() []uint64 {
	out := make([]uint64, DigestGroups)
	for g := range out {
		for _, d := range v.Buckets(g) {
			out[g] ^= d
		}
	}
	return out
}

// InBucket returns the records of a digest bucket.
func (v *View) InBucket(bucket int) []Record {
	return v.lookup(v.index.inBucket(bucket))
}
