package member

import (
	"context"
	"sync"
	"time"

	"endiveflow.example/endiveflow/board"
	"endiveflow.example/endiveflow/config"
)

const (
	// DefaultRetention is how long an ended record is kept with its addresses,
	// so that entries can answer its flows with resets.
	DefaultRetention = 10 * time.Minute
	stripeCount      = 16
	// maxMarks bounds the marks of removed members. At the target a region
	// ends at most 1,900 members a day, so they last for more than two months.
	maxMarks = 1 << 17
)

// View is a process's copy of the records of its region. It is safe for
// concurrent use. A record is replaced only by a newer one, even after the
// older one has been removed.
type View struct {
	records *board.Section[ID, held]
	stripes [stripeCount]*stripe
	index   index
}

// held is a record with what the process itself observed of the member.
type held struct {
	Record
	// suspect is set by the local detector and cleared by a newer record.
	suspect bool
}

// stripe orders the writers of one part of the IDs. Readers use View.records alone.
type stripe struct {
	mu sync.Mutex
	// marks are the last briefs of removed members; an ID is never in both marks and the records.
	marks map[ID]Brief
	// floor has the highest incarnation and version of the marks dropped for
	// lack of room. An unknown member at or below both is taken for a dropped one.
	floor Brief
	// digests are the XOR of the digests of live records, per bucket.
	digests [DigestBuckets / stripeCount]uint64
	// ended holds the records that have ended, and when Prune first saw each;
	// the zero time stands for not yet.
	ended map[ID]time.Time
}

// NewView returns an empty view.
func NewView() *View {
	v := &View{records: board.NewSection[ID, held](board.Config[ID]{Hash: ID.Hash})}
	for i := range v.stripes {
		v.stripes[i] = &stripe{marks: make(map[ID]Brief), ended: make(map[ID]time.Time)}
	}
	v.index.services = make(map[config.ServiceTag][]ID)
	return v
}

func (v *View) stripeOf(id ID) *stripe { return v.stripes[BucketOf(id)%stripeCount] }

// Merge takes over the records that are newer than the held ones and returns
// them. Records from one member may arrive in any order and any number of times.
func (v *View) Merge(records []Record) []Record {
	var changed []Record
	for i := range records {
		if v.merge(records[i]) {
			changed = append(changed, records[i])
		}
	}
	return changed
}

// MergeEnded takes over briefs of members that have ended and returns those
// that were news. Briefs of live members are ignored.
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
	old, known := v.records.Get(r.ID)
	if !r.Brief().Newer(st.last(r.Brief(), old.Record, known)) {
		return false
	}
	v.store(st, old.Record, known, r)
	return true
}

func (v *View) mergeEnded(b Brief) bool {
	st := v.stripeOf(b.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	old, known := v.records.Get(b.ID)
	if !b.Newer(st.last(b, old.Record, known)) {
		return false
	}
	if !known {
		st.mark(b)
		return true
	}
	r := old.Record
	r.Incarnation, r.Version, r.State = b.Incarnation, b.Version, b.State
	v.store(st, old.Record, true, r)
	return true
}

// store replaces old by r. The caller holds the lock of st.
func (v *View) store(st *stripe, old Record, known bool, r Record) {
	slot := BucketOf(r.ID) / stripeCount
	if known && r.ConfigDigest == 0 && r.Incarnation == old.Incarnation {
		r.ConfigDigest = old.ConfigDigest
	}
	if known && old.Alive() {
		st.digests[slot] ^= old.Brief().Digest()
	}
	if r.Alive() {
		st.digests[slot] ^= r.Brief().Digest()
		delete(st.ended, r.ID)
	} else if _, ok := st.ended[r.ID]; !ok {
		st.ended[r.ID] = time.Time{}
	}
	delete(st.marks, r.ID)
	if known && (old.Role != r.Role || old.Service != r.Service) {
		v.index.remove(old)
		known = false
	}
	if !known {
		v.index.add(r)
	}
	v.records.Put(r.ID, held{Record: r})
}

// Get returns the record of a member, ended ones included until they are removed.
func (v *View) Get(id ID) (Record, bool) {
	h, ok := v.records.Get(id)
	return h.Record, ok
}

// Brief returns the brief of a member, of a removed one too.
func (v *View) Brief(id ID) (Brief, bool) {
	st := v.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	if h, ok := v.records.Get(id); ok {
		return h.Brief(), true
	}
	b, ok := st.marks[id]
	return b, ok
}

// Refusal returns the brief that keeps b out of the view, if any. A live
// member that learns of it returns by a version above it.
func (v *View) Refusal(b Brief) (Brief, bool) {
	st := v.stripeOf(b.ID)
	st.mu.Lock()
	defer st.mu.Unlock()
	h, known := v.records.Get(b.ID)
	last := st.last(b, h.Record, known)
	return last, last.Newer(b)
}

// Records returns all records, ended ones included until they are removed.
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

// OfService returns the records of a service's agents in the order of their
// IDs, ended ones included until they are removed.
func (v *View) OfService(tag config.ServiceTag) []Record {
	return v.get(v.index.ofService(tag))
}

// Entries returns the records of entries in the order of their IDs, ended ones
// included until they are removed.
func (v *View) Entries() []Record { return v.get(v.index.ofEntries()) }

// LiveEntries returns the records of entries that have not ended.
func (v *View) LiveEntries() []Record { return alive(v.Entries()) }

func alive(records []Record) []Record {
	out := records[:0]
	for _, r := range records {
		if r.Alive() {
			out = append(out, r)
		}
	}
	return out
}

func (v *View) get(ids []ID) []Record {
	out := make([]Record, 0, len(ids))
	for _, id := range ids {
		if h, ok := v.records.Get(id); ok {
			out = append(out, h.Record)
		}
	}
	return out
}

// Subscribe returns a channel of changed members, closed when ctx ends.
func (v *View) Subscribe(ctx context.Context) <-chan board.Changed[ID] {
	return v.records.Subscribe(ctx)
}

// SetSuspect notes or withdraws the suspicion of the local detector.
func (v *View) SetSuspect(id ID, suspect bool) {
	v.update(id, func(h *held) bool {
		changed := h.suspect != suspect
		h.suspect = suspect
		return changed
	})
}

// Suspect says whether the local detector suspects a member. New flows should avoid it.
func (v *View) Suspect(id ID) bool {
	h, _ := v.records.Get(id)
	return h.suspect
}

// SetConfigDigest notes the configuration digest from a member's heartbeat. It
// is not part of the versioned state: the members that observe a member know
// its digest, and a configuration change raises no record's version.
func (v *View) SetConfigDigest(id ID, digest uint64) {
	v.update(id, func(h *held) bool {
		changed := h.ConfigDigest != digest
		h.ConfigDigest = digest
		return changed
	})
}

func (v *View) update(id ID, change func(*held) bool) {
	st := v.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	v.records.Update(id, func(h held, ok bool) (held, bool) {
		return h, ok && change(&h)
	})
}
