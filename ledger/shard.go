package ledger

import (
	"slices"
	"sync"
	"time"
)

// Entry is one run of a key.
type Entry struct {
	shard *shard
	key   Key
	// done is closed when the run ended.
	done chan struct{}
	// answer, abandoned, reason and retryAfter are guarded by the shard's lock until done is closed.
	answer     *Answer
	abandoned  bool
	reason     string
	retryAfter time.Duration
	// ended is guarded by the shard's lock.
	ended bool
}

// Done is closed when the run has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Answer returns the saved answer; it is nil when the run ended without one. Call it only after Done.
func (e *Entry) Answer() *Answer { return e.answer }

// Abandoned says that the run ended as proven not run. Call it only after Done.
func (e *Entry) Abandoned() bool { return e.abandoned }

// Reason says why the run was abandoned. Call it only after Done.
func (e *Entry) Reason() string { return e.reason }

// RetryAfter is when an abandoned request may be tried again. Call it only after Done.
func (e *Entry) RetryAfter() time.Duration { return e.retryAfter }

// Finish ends the run with the whole answer, which repeats will get.
func (e *Entry) Finish(a Answer, now time.Time) { e.shard.end(e, func() { e.answer = &a }, now) }

// Abandon ends a run that is proven not to have run. Its key never runs. The reason and
// retryAfter are passed on to those that wait.
func (e *Entry) Abandon(reason string, retryAfter time.Duration, now time.Time) {
	e.shard.end(e, func() { e.abandoned, e.reason, e.retryAfter = true, reason, retryAfter }, now)
}

// Lose ends a run whose outcome is unknown. Its key never runs again.
func (e *Entry) Lose(now time.Time) { e.shard.end(e, func() {}, now) }

// record is what is known of a begun sequence. Without an entry it only says
// whether the sequence may have run.
type record struct {
	key   Key
	entry *Entry
	// notRun says that it was abandoned; entry is then nil.
	notRun bool
}

type shard struct {
	mu sync.Mutex
	// All below is guarded by mu.
	limit   int
	window  time.Duration
	records map[uint64]*record
	// order holds the sequences with saved answers, oldest first. It may hold
	// sequences whose answer is already gone.
	order []uint64
	// mark is the sequence below which nothing without a record runs. It never decreases.
	mark uint64
	// now is the latest time seen; it never goes back, so an expired key stays expired.
	now time.Time
	// used is the number of bytes charged.
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

func (s *shard) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

func (s *shard) expired(k Key) bool { return s.now.Sub(k.Issued) > s.window }

func (s *shard) begin(key Key, now time.Time) (State, *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if r, ok := s.records[key.Sequence]; ok {
		if r.key.Content != key.Content {
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

// end ends a run; only the first end of an entry counts.
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

// trim brings the shard back within its bounds: first by age, then by dropping the
// oldest answers, and last by raising the mark.
func (s *shard) trim() {
	for len(s.order) > 0 && (s.used > s.limit || s.gone(s.order[0])) {
		s.dropAnswer(s.order[0])
		s.order = s.order[1:]
	}
	if s.used > s.limit {
		s.compact()
	}
}

// gone says whether the answer of a sequence is of no more use.
func (s *shard) gone(sequence uint64) bool {
	r, ok := s.records[sequence]
	return !ok || r.entry == nil || s.expired(r.key)
}

func (s *shard) dropAnswer(sequence uint64) {
	r, ok := s.records[sequence]
	if !ok || r.entry == nil || !r.entry.ended {
		return
	}
	s.used -= r.entry.answer.size()
	r.entry = nil
}

// compact raises the mark over expired records and, if that is not enough, over the
// lowest quarter, so that its cost is spread over many calls.
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

// sweep removes ended records below the mark. Running ones stay, because their
// callers still wait for them.
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
