package ledger

import (
	"time"

	"github.com/juju/errors"
)

// ExportedRecord is a record in an Export. With neither an answer nor NotRun, the sequence may have run.
type ExportedRecord struct {
	Sequence    uint64    `cbor:"1,keyasint"`
	Issued      time.Time `cbor:"2,keyasint"`
	Answer      *Answer   `cbor:"3,keyasint,omitempty"`
	NotRun      bool      `cbor:"4,keyasint,omitempty"`
	ContentHash uint64    `cbor:"5,keyasint"`
}

// Export holds the data that a successor needs to answer repeated requests for an incarnation.
type Export struct {
	// Marks are the eviction marks of the shards. A sequence belongs to the shard whose index is the
	// sequence modulo the number of shards.
	Marks   []uint64         `cbor:"1,keyasint"`
	Records []ExportedRecord `cbor:"2,keyasint"`
	// Count is the number of records, by which Import verifies that the export is complete: the key of a
	// missing record would be taken for one that never ran.
	Count int `cbor:"3,keyasint"`
}

// Seal prevents the start of further runs. Runs in progress continue, and their answers are saved.
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
// further runs, whether or not the successor receives the export. Runs that have not ended
// are exported as unknown.
func (l *Ledger) Export() Export {
	var out Export
	for _, s := range l.shards {
		s.export(&out)
	}
	out.Count = len(out.Records)
	return out
}

// Sealed reports whether Seal or Export has been called or the ledger was imported.
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
		exported := ExportedRecord{Sequence: q, Issued: r.key.Issued, NotRun: r.notRun, ContentHash: r.key.ContentHash}
		if r.entry != nil && r.entry.ended {
			exported.Answer = r.entry.answer
		}
		out.Records = append(out.Records, exported)
	}
}

// Import returns a sealed ledger that answers repeated requests from an export and never starts a run. For an
// incomplete export it returns an error of kind NotValid.
func Import(cfg Config, export Export, now time.Time) (*Ledger, error) {
	if len(export.Marks) == 0 || export.Count != len(export.Records) {
		return nil, errors.NotValidf("export of %d shards with %d of %d records", len(export.Marks), len(export.Records), export.Count)
	}
	cfg.Shards = len(export.Marks)
	l := New(cfg)
	l.imported = true
	for i, mark := range export.Marks {
		l.shards[i].mark = mark
	}
	for _, s := range l.shards {
		s.sealed = true
	}
	for _, r := range export.Records {
		l.shardOf(r.Sequence).restore(r, now)
	}
	return l, nil
}

func (s *shard) restore(r ExportedRecord, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	key := Key{Sequence: r.Sequence, Issued: r.Issued, ContentHash: r.ContentHash}
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
