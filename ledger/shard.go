package ledger

import (
	"slices"
	"sync"
	"time"
)

// Entry is the run of a key.
type Entry struct {
	shard *shard
	key   Key
	// done is closed when the run has ended.
	done chan struct{}
	// answer, abandoned, reason and retryAfter are guarded by shard.mu until done is closed.
	answer     *Answer
	abandoned  bool
	reason     string
	retryAfter time.Duration
	// ended is guarded by shard.mu.
	ended bool
}

// Done returns a channel that is closed when the run has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Answer returns the saved answer; it is nil when the run ended without one. Call it only after Done.
func (e *Entry) Answer() *Answer { return e.answer }

// Abandoned reports whether the run was ended by Abandon. Call it only after Done.
func (e *Entry) Abandoned() bool { return e.abandoned }

// Reason returns the reason why the run was abandoned. Call it only after Done.
func (e *Entry) Reason() string { return e.reason }

// RetryAfter returns the delay after which an abandoned request may be tried again. Call it only after Done.
func (e *Entry) RetryAfter() time.Duration { return e.retryAfter }

// Finish ends the run with the complete answer, which is saved for repeated requests if it fits into the shard.
func (e *Entry) Finish(a Answer, now time.Time) { e.shard.end(e, func() { e.answer = &a }, now) }

// Abandon ends the run of a request that is proven not to have been run. The key will never be run. The
// reason and retryAfter are for the requests that wait for the entry.
func (e *Entry) Abandon(reason string, retryAfter time.Duration, now time.Time) {
	e.shard.end(e, func() { e.abandoned, e.reason, e.retryAfter = true, reason, retryAfter }, now)
}

// FinishUnknown ends a run whose outcome is unknown. The key will not be run again.
func (e *Entry) FinishUnknown(now time.Time) { e.shard.end(e, func() {}, now) }

// record is the record of a sequence whose run was begun. Without an entry it holds only whether the
// sequence may have run.
type record struct {
	key   Key
	entry *Entry
	// notRun reports whether the run was abandoned; entry is nil then.
	notRun bool
}

// shard holds the records of a part of the sequences.
type shard struct {
	// mu guards the fields below.
	mu sync.Mutex
	// limit is the largest allowed value of used.
	limit   int
	window  time.Duration
	records map[uint64]*record
	// order holds the sequences with saved answers, oldest first. It may also hold
	// sequences whose answer has already been dropped.
	order []uint64
	// mark is the eviction mark: a sequence below it is not run even if it has no record. It never decreases.
	mark uint64
	// now is the latest time passed to the shard; it never decreases, so an expired key stays expired.
	now time.Time
	// used is the accounted size of the records and answers in bytes.
	used    int
	running int
	sealed  bool
}

func newShard(limit int, window time.Duration) *shard {
	return &shard{limit: limit, window: window, records: make(map[uint64]*record)}
}

func (s *shard) setBounds(limit int, window time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 {
		s.limit = limit
	}
	if window > 0 {
		s.window = window
	}
	s.trim()
}

// advance sets now, unless the clock has gone back.
func (s *shard) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

// expired reports whether a key is older than the key window.
func (s *shard) expired(k Key) bool { return s.now.Sub(k.Issued) > s.window }

func (s *shard) begin(key Key, now time.Time) (State, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if r, ok := s.records[key.Sequence]; ok {
		if r.key.ContentHash != key.ContentHash {
			return Mismatch, nil
		}
		return r.state()
	}
	switch {
	case key.Sequence < s.mark, s.expired(key):
		return Unknown, nil
	case s.sealed:
		return NeverRun, nil
	}
	e := &Entry{shard: s, key: key, done: make(chan struct{})}
	s.records[key.Sequence] = &record{key: key, entry: e}
	s.used += recordBytes
	s.running++
	s.trim()
	return Run, e
}

// state returns the state of the record's key, and the entry if the state has one.
func (r *record) state() (State, *Entry) {
	switch {
	case r.notRun:
		return NeverRun, nil
	case r.entry == nil:
		return Unknown, nil
	case !r.entry.ended:
		return Running, r.entry
	}
	return Done, r.entry
}

// end ends a run and calls set, which sets the fields of the entry. It has no effect if the entry has
// already been ended.
func (s *shard) end(e *Entry, set func(), now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.ended {
		return
	}
	s.advance(now)
	e.ended = true
	set()
	s.running--
	close(e.done)
	r := s.records[e.key.Sequence]
	r.notRun = e.abandoned
	switch {
	case e.answer != nil && e.answer.size()+recordBytes <= s.limit:
		s.used += e.answer.size()
		s.order = append(s.order, e.key.Sequence)
	default:
		r.entry = nil
	}
	s.trim()
}

// trim brings the shard back within its limits. It drops expired answers and, while the size exceeds the
// limit, the oldest ones; if that is not enough, it raises the mark.
func (s *shard) trim() {
	for len(s.order) > 0 && (s.used > s.limit || s.obsolete(s.order[0])) {
		s.dropAnswer(s.order[0])
		s.order = s.order[1:]
	}
	if s.used > s.limit {
		s.compact()
	}
}

// obsolete reports whether the answer of a sequence has expired or has already been dropped.
func (s *shard) obsolete(sequence uint64) bool {
	r, ok := s.records[sequence]
	return !ok || r.entry == nil || s.expired(r.key)
}

// dropAnswer drops the saved answer of a sequence, if there is one.
func (s *shard) dropAnswer(sequence uint64) {
	r, ok := s.records[sequence]
	if !ok || r.entry == nil || !r.entry.ended {
		return
	}
	s.used -= r.entry.answer.size()
	r.entry = nil
}

// compact raises the mark above the expired records and, if that is not enough, above the
// lowest quarter of the sequences, so that its cost is spread over many calls of trim.
func (s *shard) compact() {
	sequences := make([]uint64, 0, len(s.records))
	for q, r := range s.records {
		sequences = append(sequences, q)
		if s.expired(r.key) {
			s.mark = max(s.mark, q+1)
		}
	}
	s.sweep()
	if s.used <= s.limit {
		return
	}
	slices.Sort(sequences)
	s.mark = max(s.mark, sequences[len(sequences)/4]+1)
	s.sweep()
}

// sweep removes the records below the mark whose runs have ended. Those of runs in progress are kept,
// because their callers wait for them.
func (s *shard) sweep() {
	for q, r := range s.records {
		if q >= s.mark || r.entry != nil && !r.entry.ended {
			continue
		}
		s.dropAnswer(q)
		s.used -= recordBytes
		delete(s.records, q)
	}
}
