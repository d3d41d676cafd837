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
	// tombstones holds the last summaries of removed members. An ID is never in both tombstones and
	// View.records.
	tombstones map[ID]Summary
	// tombstoneFloor holds the highest incarnation and version of the evicted tombstones. An unknown
	// member at or below both is treated as one whose tombstone was evicted.
	tombstoneFloor Summary
	// digests holds the XOR of the digests of the live records of each bucket.
	digests [DigestBuckets / stripeCount]uint64
	// ended maps the IDs of the ended records to the time when Prune first found them, which is zero until then.
	ended map[ID]time.Time
}

// NewView returns an empty view.
func NewView() *View {
	v := &View{records: board.NewSection[ID, localRecord](board.Config[ID]{Hash: ID.Hash})}
	for i := range v.stripes {
		v.stripes[i] = &stripe{tombstones: make(map[ID]Summary), ended: make(map[ID]time.Time)}
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

// MergeEnded adopts the summaries of ended members that are newer than those in the view and returns them.
// Summaries of live members are ignored.
func (v *View) MergeEnded(summaries []Summary) []Summary {
	var changed []Summary
	for _, s := range summaries {
		if !s.Alive() && v.mergeEnded(s) {
			changed = append(changed, s)
		}
	}
	return changed
}

func (v *View) merge(r Record) bool {
	st := v.stripeOf(r.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	old, exists := v.records.Get(r.ID)
	if !r.Summary().Newer(st.latestSummary(r.Summary(), old.Record, exists)) {
		return false
	}
	v.store(st, old.Record, exists, r)
	return true
}

func (v *View) mergeEnded(s Summary) bool {
	st := v.stripeOf(s.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	old, exists := v.records.Get(s.ID)
	if !s.Newer(st.latestSummary(s, old.Record, exists)) {
		return false
	}
	if !exists {
		st.addTombstone(s)
		return true
	}
	r := old.Record
	r.Incarnation, r.Version, r.State = s.Incarnation, s.Version, s.State
	v.store(st, old.Record, true, r)
	return true
}

// store replaces old with r. The caller must hold st.mu.
func (v *View) store(st *stripe, old Record, exists bool, r Record) {
	digestIndex := BucketOf(r.ID) / stripeCount
	if exists && r.ConfigDigest == 0 && r.Incarnation == old.Incarnation {
		r.ConfigDigest = old.ConfigDigest
	}
	if exists && old.Alive() {
		st.digests[digestIndex] ^= old.Summary().Digest()
	}
	if r.Alive() {
		st.digests[digestIndex] ^= r.Summary().Digest()
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
	local, ok := v.records.Get(id)
	return local.Record, ok
}

// Summary returns the summary of a member, including a removed one.
func (v *View) Summary(id ID) (Summary, bool) {
	st := v.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	if local, ok := v.records.Get(id); ok {
		return local.Summary(), true
	}
	s, ok := st.tombstones[id]
	return s, ok
}

// Superseding returns the last summary of the member in the view, and reports whether it is newer than s, which
// is then not merged. A live member that receives the returned summary raises its version above it.
func (v *View) Superseding(s Summary) (Summary, bool) {
	st := v.stripeOf(s.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	local, exists := v.records.Get(s.ID)
	last := st.latestSummary(s, local.Record, exists)
	return last, last.Newer(s)
}

// Records returns all records, including ended ones that have not been removed.
func (v *View) Records() []Record {
	snapshot := v.records.Snapshot()
	out := make([]Record, 0, len(snapshot))
	for _, local := range snapshot {
		out = append(out, local.Record)
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
		if local, ok := v.records.Get(id); ok {
			out = append(out, local.Record)
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
	v.update(id, func(local *localRecord) bool {
		changed := local.suspect != suspect
		local.suspect = suspect
		return changed
	})
}

// Suspect reports whether the local detector suspects a member. New flows should avoid such a member.
func (v *View) Suspect(id ID) bool {
	local, _ := v.records.Get(id)
	return local.suspect
}

// SetConfigDigest stores the configuration digest from a member's heartbeat. It is not part of the
// versioned state: only the observers of a member track its digest, and a configuration change does not
// raise the versions of records.
func (v *View) SetConfigDigest(id ID, digest uint64) {
	v.update(id, func(local *localRecord) bool {
		changed := local.ConfigDigest != digest
		local.ConfigDigest = digest
		return changed
	})
}

func (v *View) update(id ID, change func(*localRecord) bool) {
	st := v.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	v.records.Update(id, func(local localRecord, ok bool) (localRecord, bool) {
		return local, ok && change(&local)
	})
}
