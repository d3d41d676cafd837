package ledger

import (
	"time"

	"github.com/juju/errors"
)

// Saved is a record in a hand-over. With neither an answer nor NotRun it says that the sequence may have run.
type Saved struct {
	Sequence uint64    `cbor:"1,keyasint"`
	Issued   time.Time `cbor:"2,keyasint"`
	Answer   *Answer   `cbor:"3,keyasint,omitempty"`
	NotRun   bool      `cbor:"4,keyasint,omitempty"`
	Content  uint64    `cbor:"5,keyasint"`
}

// Export is what a successor needs to answer repeats for an incarnation.
type Export struct {
	// Marks are the eviction marks of the shards, by sequence modulo their number.
	Marks   []uint64 `cbor:"1,keyasint"`
	Records []Saved  `cbor:"2,keyasint"`
	// Count is the number of records. It shows that an export is complete: a lost record would
	// pass for a key that never ran.
	Count int `cbor:"3,keyasint"`
}

// Seal stops the start of runs. Those that run go on, and their answers are saved.
func (l *Ledger) Seal() {
	for _, s := range l.shards {
		s.seal()
	}
}

func (s *shard) seal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
}

// Export seals the ledger and returns its records. A sealed ledger starts no
// further run, whether or not the successor receives the export. Runs that have not ended
// are exported as unknown.
func (l *Ledger) Export() Export {
	var out Export
	for _, s := range l.shards {
		s.export(&out)
	}
	out.Count = len(out.Records)
	return out
}

// Sealed says whether Seal or Export has been called, or the ledger was imported.
func (l *Ledger) Sealed() bool {
	s := l.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sealed
}

func (s *shard) export(out *Export) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	out.Marks = append(out.Marks, s.mark)
	for q, r := range s.records {
		saved := Saved{Sequence: q, Issued: r.key.Issued, NotRun: r.notRun, Content: r.key.Content}
		if r.entry != nil && r.entry.ended {
			saved.Answer = r.entry.answer
		}
		out.Records = append(out.Records, saved)
	}
}

// Import returns a sealed ledger that answers repeats from an export and never runs a key. An
// export that is not complete is an error of kind NotValid.
func Import(cfg Config, from Export, now time.Time) (*Ledger, error) {
	if len(from.Marks) == 0 || from.Count != len(from.Records) {
		return nil, errors.NotValidf("export of %d shards with %d of %d records", len(from.Marks), len(from.Records), from.Count)
	}
	cfg.Shards = len(from.Marks)
	l := New(cfg)
	l.imported = true
	for i, mark := range from.Marks {
		l.shards[i].mark = mark
	}
	for _, s := range l.shards {
		s.sealed = true
	}
	for _, r := range from.Records {
		l.shardOf(r.Sequence).restore(r, now)
	}
	return l, nil
}

func (s *shard) restore(r Saved, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	key := Key{Sequence: r.Sequence, Issued: r.Issued, Content: r.Content}
	rec := &record{key: key, notRun: r.NotRun}
	s.records[r.Sequence] = rec
	s.used += recordBytes
	if r.Answer != nil && !r.NotRun {
		done := make(chan struct{})
		close(done)
		rec.entry = &Entry{shard: s, key: key, done: done, answer: r.Answer, ended: true}
		s.used += r.Answer.size()
		s.order = append(s.order, r.Sequence)
	}
	s.trim()
}
