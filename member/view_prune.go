package member

import (
	"slices"
	"time"
)

// latestSummary returns the summary that s must be newer than to be adopted. The caller must hold st.mu.
func (st *stripe) latestSummary(s Summary, record Record, exists bool) Summary {
	if exists {
		return record.Summary()
	}
	if m, ok := st.tombstones[s.ID]; ok {
		return m
	}
	if s.Incarnation <= st.tombstoneFloor.Incarnation {
		return Summary{ID: s.ID, Incarnation: s.Incarnation, Version: st.tombstoneFloor.Version, State: StateDead}
	}
	return Summary{ID: s.ID}
}

// addTombstone keeps the last summary of a removed member. The caller must hold st.mu.
func (st *stripe) addTombstone(s Summary) {
	st.tombstones[s.ID] = s
	if len(st.tombstones) > maxTombstones/stripeCount {
		st.evictTombstones()
	}
}

// evictTombstones removes the eighth of the tombstones with the lowest incarnations and raises the floor
// to cover them. The caller must hold st.mu.
func (st *stripe) evictTombstones() {
	all := make([]Summary, 0, len(st.tombstones))
	for _, s := range st.tombstones {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Summary) int {
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
	for _, s := range all[:len(all)/8] {
		delete(st.tombstones, s.ID)
		st.tombstoneFloor.Incarnation = max(st.tombstoneFloor.Incarnation, s.Incarnation)
		st.tombstoneFloor.Version = max(st.tombstoneFloor.Version, s.Version)
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
	st.addTombstone(h.Summary())
}

// EndedSince returns when Prune first found that a member had ended.
func (v *View) EndedSince(id ID) (time.Time, bool) {
	st := v.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	since, ok := st.ended[id]
	return since, ok && !since.IsZero()
}

// Tombstones returns the summaries of removed members.
func (v *View) Tombstones() []Summary {
	var out []Summary
	for _, st := range v.stripes {
		st.mu.Lock()
		for _, s := range st.tombstones {
			out = append(out, s)
		}
		st.mu.Unlock()
	}
	return out
}

// ShortDigests returns the IDs of the live members, keyed by the short digests of their ended summaries.
func (v *View) ShortDigests() map[uint64]ID {
	records := v.Records()
	out := make(map[uint64]ID, len(records))
	for i := range records {
		if records[i].Alive() {
			out[records[i].Summary().Ended().ShortDigest()] = records[i].ID
		}
	}
	return out
}

// BucketDigests returns the digests of the buckets of a group.
func (v *View) BucketDigests(group int) []uint64 {
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

// GroupDigests returns the digests of all groups.
func (v *View) GroupDigests() []uint64 {
	out := make([]uint64, DigestGroups)
	for g := range out {
		for _, d := range v.BucketDigests(g) {
			out[g] ^= d
		}
	}
	return out
}

// InBucket returns the records of a digest bucket.
func (v *View) InBucket(bucket int) []Record {
	return v.lookup(v.index.inBucket(bucket))
}
