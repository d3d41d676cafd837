package member

import (
	"slices"
	"time"
)

// last returns what b must be newer than. The caller holds the lock.
func (st *stripe) last(b Brief, record Record, known bool) Brief {
	if known {
		return record.Brief()
	}
	if m, ok := st.marks[b.ID]; ok {
		return m
	}
	if b.Incarnation <= st.floor.Incarnation {
		return Brief{ID: b.ID, Incarnation: b.Incarnation, Version: st.floor.Version, State: StateDead}
	}
	return Brief{ID: b.ID}
}

// mark keeps the last brief of a removed member. The caller holds the lock.
func (st *stripe) mark(b Brief) {
	st.marks[b.ID] = b
	if len(st.marks) > maxMarks/stripeCount {
		st.dropMarks()
	}
}

// dropMarks drops the eighth of the marks with the lowest incarnations and
// raises the floor over them.
func (st *stripe) dropMarks() {
	all := make([]Brief, 0, len(st.marks))
	for _, b := range st.marks {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b Brief) int {
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
	for _, b := range all[:len(all)/8] {
		delete(st.marks, b.ID)
		st.floor.Incarnation = max(st.floor.Incarnation, b.Incarnation)
		st.floor.Version = max(st.floor.Version, b.Version)
	}
}

// Prune removes the records that were found ended by a Prune at least
// retention ago, and returns how many. It is called about once a second and
// walks over the ended records only.
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

// remove replaces an ended record by its mark. The caller holds the lock of st.
func (v *View) remove(st *stripe, id ID) {
	h, _ := v.records.Get(id)
	delete(st.ended, id)
	v.index.remove(h.Record)
	v.records.Delete(id)
	st.mark(h.Brief())
}

// EndedSince returns when Prune first saw that a member had ended.
func (v *View) EndedSince(id ID) (time.Time, bool) {
	st := v.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	since, ok := st.ended[id]
	return since, ok && !since.IsZero()
}

// Marks returns the briefs of removed members.
func (v *View) Marks() []Brief {
	var out []Brief
	for _, st := range v.stripes {
		st.mu.Lock()
		for _, b := range st.marks {
			out = append(out, b)
		}
		st.mu.Unlock()
	}
	return out
}

// ShortDigests returns the live members by the short digests of their ended briefs.
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

// Buckets returns the digests of the buckets of one group.
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

// InBucket returns the records of one digest bucket.
func (v *View) InBucket(bucket int) []Record {
	return v.get(v.index.inBucket(bucket))
}
