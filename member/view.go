package member

import (
	"context"
	"sync"
	"time"

	"endiveflow.example/endiveflow/board"
	"endiveflow.example/endiveflow/config"
)

const (
	// DefaultRetention is how long an ended record is kept with its addresses, so that entries can reset
	// its flows.
	DefaultRetention = 10 * time.Minute
	stripeCount      = 16
	// maxTombstones bounds the tombstones of a view. At the target size at most 1,900 members of a region
	// end per day, so tombstones are kept for more than two months.
	maxTombstones = 1 << 17
)

// View is a process's copy of the records of its region. It is safe for concurrent use. A record is
// replaced only by a newer one, even after the older one has been removed.
type View struct {
	records *board.Section[ID, localRecord]
	stripes [stripeCount]*stripe
	index   index
}

// localRecord is a record together with the local observations of the member.
type localRecord struct {
	Record
	// suspect is set by the local detector and cleared by a newer record.
	suspect bool
}

// stripe serializes the writers of a subset of the IDs. Readers use only View.records.
type stripe struct {
	mu sync.Mutex
	// tombstones holds the last briefs of removed members. An ID is never both a tombstone and in
	// View.records.
	tombstones map[ID]Brief
	// tombstoneFloor holds the highest incarnation and version of the evicted tombstones. An unknown
	// member at or below both is treated as one whose tombstone was evicted.
	tombstoneFloor Brief
	// digests holds the XOR of the digests of the live records of each bucket.
	digests [DigestBuckets / stripeCount]uint64
	// ended holds the ended records and when Prune first found each; the zero time means not yet.
	ended map[ID]time.Time
}

// NewView returns an empty view.
func NewView() *View {
	v := &View{records: board.NewSection[ID, localRecord](board.Config[ID]{Hash: ID.Hash})}
	for i := range v.stripes {
		v.stripes[i] = &stripe{tombstones: make(map[ID]Brief), ended: make(map[ID]time.Time)}
	}
	v.index.services = make(map[config.ServiceTag][]ID)
	return v
}

func (v *View) stripeOf(id ID) *stripe { return v.stripes[BucketOf(id)%stripeCount] }

// Merge adopts the records that are newer than those in the view and returns them. Records of a member may
// arrive in any order and repeatedly.
func (v *View) Merge(records []Record) []Record {
	var changed []Record
	for i := range records {
		if v.merge(records[i]) {
			changed = append(changed, records[i])
		}
	}
	return changed
}

// MergeEnded adopts the briefs of ended members that are newer than those in the view and returns them.
// Briefs of live members are ignored.
func (v *View) MergeEnded(briefs []Brief) []Brief {
	var changed []Brief
	for _, b := range briefs {
		if !b.Alive() && v.mergeEnded(b) {
			changed = append(changed, b)
		}
	}
	return changed
}

func (v *View) merge(r Record) bool {
	st := v.stripeOf(r.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	old, exists := v.records.Get(r.ID)
	if !r.Brief().Newer(st.latestBrief(r.Brief(), old.Record, exists)) {
		return false
	}
	v.store(st, old.Record, exists, r)
	return true
}

func (v *View) mergeEnded(b Brief) bool {
	st := v.stripeOf(b.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	old, exists := v.records.Get(b.ID)
	if !b.Newer(st.latestBrief(b, old.Record, exists)) {
		return false
	}
	if !exists {
		st.addTombstone(b)
		return true
	}
	r := old.Record
	r.Incarnation, r.Version, r.State = b.Incarnation, b.Version, b.State
	v.store(st, old.Record, true, r)
	return true
}

// store replaces old with r. The caller must hold st.mu.
func (v *View) store(st *stripe, old Record, exists bool, r Record) {
	slot := BucketOf(r.ID) / stripeCount
	if exists && r.ConfigDigest == 0 && r.Incarnation == old.Incarnation {
		r.ConfigDigest = old.ConfigDigest
	}
	if exists && old.Alive() {
		st.digests[slot] ^= old.Brief().Digest()
	}
	if r.Alive() {
		st.digests[slot] ^= r.Brief().Digest()
		delete(st.ended, r.ID)
	} else if _, ok := st.ended[r.ID]; !ok {
		st.ended[r.ID] = time.Time{}
	}
	delete(st.tombstones, r.ID)
	if exists && (old.Role != r.Role || old.Service != r.Service) {
		v.index.remove(old)
		exists = false
	}
	if !exists {
		v.index.add(r)
	}
	v.records.Put(r.ID, localRecord{Record: r})
}

// Get returns the record of a member. Ended records are returned until they are removed.
func (v *View) Get(id ID) (Record, bool) {
	h, ok := v.records.Get(id)
	return h.Record, ok
}

// Brief returns the brief of a member, including a removed one.
func (v *View) Brief(id ID) (Brief, bool) {
	st := v.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	if h, ok := v.records.Get(id); ok {
		return h.Brief(), true
	}
	b, ok := st.tombstones[id]
	return b, ok
}

// Superseding returns the last brief of the member in the view, and reports whether it is newer than b and
// thus keeps b out of the view. A live member that is told of the brief returns with a higher version.
func (v *View) Superseding(b Brief) (Brief, bool) {
	st := v.stripeOf(b.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	h, exists := v.records.Get(b.ID)
	last := st.latestBrief(b, h.Record, exists)
	return last, last.Newer(b)
}

// Records returns all records, including ended ones that have not been removed.
func (v *View) Records() []Record {
	snapshot := v.records.Snapshot()
	out := make([]Record, 0, len(snapshot))
	for _, h := range snapshot {
		out = append(out, h.Record)
	}
	return out
}

// Len returns the number of records.
func (v *View) Len() int { return v.records.Len() }

// AgentsOfService returns the records of a service's agents ordered by ID, including ended ones that have not
// been removed.
func (v *View) AgentsOfService(tag config.ServiceTag) []Record {
	return v.lookup(v.index.ofService(tag))
}

// Entries returns the records of entries ordered by ID, including ended ones that have not been removed.
func (v *View) Entries() []Record { return v.lookup(v.index.ofEntries()) }

// LiveEntries returns the records of entries that have not ended.
func (v *View) LiveEntries() []Record { return filterAlive(v.Entries()) }

func filterAlive(records []Record) []Record {
	out := records[:0]
	for _, r := range records {
		if r.Alive() {
			out = append(out, r)
		}
	}
	return out
}

func (v *View) lookup(ids []ID) []Record {
	out := make([]Record, 0, len(ids))
	for _, id := range ids {
		if h, ok := v.records.Get(id); ok {
			out = append(out, h.Record)
		}
	}
	return out
}

// Subscribe returns a channel that reports changed members. It is closed when ctx ends.
func (v *View) Subscribe(ctx context.Context) <-chan board.Changed[ID] {
	return v.records.Subscribe(ctx)
}

// SetSuspect sets or clears the suspicion of the local detector.
func (v *View) SetSuspect(id ID, suspect bool) {
	v.update(id, func(h *localRecord) bool {
		changed := h.suspect != suspect
		h.suspect = suspect
		return changed
	})
}

// Suspect reports whether the local detector suspects a member. New flows should avoid such a member.
func (v *View) Suspect(id ID) bool {
	h, _ := v.records.Get(id)
	return h.suspect
}

// SetConfigDigest stores the configuration digest from a member's heartbeat. It is not part of the
// versioned state: only the observers of a member track its digest, and a configuration change does not
// raise the versions of records.
func (v *View) SetConfigDigest(id ID, digest uint64) {
	v.update(id, func(h *localRecord) bool {
		changed := h.ConfigDigest != digest
		h.ConfigDigest = digest
		return changed
	})
}

func (v *View) update(id ID, change func(*localRecord) bool) {
	st := v.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	v.records.Update(id, func(h localRecord, ok bool) (localRecord, bool) {
		return h, ok && change(&h)
	})
}
