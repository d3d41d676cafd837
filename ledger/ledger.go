package ledger

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of a Config.
const (
	DefaultMaxBytes  = 16 << 20
	DefaultKeyWindow = 10 * time.Minute
	DefaultShards    = 8
)

// recordBytes is the size that is accounted for a record without its answer: the record, its entry, its
// element of the map and its element of the order. TestRecordsStayWithinLimit verifies it.
const recordBytes = 320

// State is the state of the run of a key. It determines how a request with the key is handled.
type State uint8

// States returned by Begin.
const (
	// Run: the request has not been run. The caller of Begin now owns the entry and must run the request
	// and end the entry by exactly one of Finish, Abandon and FinishUnknown.
	Run State = iota + 1
	// Running: the run of another caller is in progress; wait for Entry.Done.
	Running
	// Done: the entry holds the complete answer.
	Done
	// NeverRun: the request has not been run and never will be, because it was abandoned or the ledger is
	// sealed.
	NeverRun
	// Unknown: the request may have been run; it will not be run again.
	Unknown
	// Mismatch: the key was used for a request with different content.
	Mismatch
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Run:
		return "run"
	case Running:
		return "running"
	case Done:
		return "done"
	case NeverRun:
		return "never-run"
	case Mismatch:
		return "mismatch"
	}
	return "unknown"
}

// Answer is a complete answer of an upstream. It is immutable once saved.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

func (a *Answer) size() int {
	n := len(a.Body)
	for k, values := range a.Header {
		n += len(k)
		for _, v := range values {
			n += len(v) + 16
		}
	}
	return n
}

// Key is the part of a request key that the ledger uses.
type Key struct {
	Sequence uint64
	// Issued is the time at which the ledger issued the sequence.
	Issued time.Time
	// ContentHash is a hash of the content of the request. A request that reuses the key with different content does
	// not get the answer to the first request.
	ContentHash uint64
}

// Config configures a Ledger.
type Config struct {
	// MaxBytes is the limit on the size of all records and answers; 0 means DefaultMaxBytes. Each shard may use an
	// equal part, so an answer larger than MaxBytes/Shards is not saved.
	MaxBytes int
	// KeyWindow is the age above which keys are no longer accepted; 0 means DefaultKeyWindow.
	KeyWindow time.Duration
	// Shards is the number of shards; 0 means DefaultShards.
	Shards int
}

// Ledger holds the records of one incarnation. It is safe for concurrent use.
type Ledger struct {
	cfg    Config
	shards []*shard
	// nextSequence is the next sequence to issue.
	nextSequence atomic.Uint64
	// issueMu guards lastIssued and makes the order of issue times that of the sequences.
	issueMu sync.Mutex
	// lastIssued is the latest issue time; it never decreases.
	lastIssued time.Time
	// imported reports whether the records are those of another incarnation.
	imported bool
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.KeyWindow <= 0 {
		cfg.KeyWindow = DefaultKeyWindow
	}
	if cfg.Shards <= 0 {
		cfg.Shards = DefaultShards
	}
	l := &Ledger{cfg: cfg, shards: make([]*shard, cfg.Shards)}
	for i := range l.shards {
		l.shards[i] = newShard(cfg.MaxBytes/cfg.Shards, cfg.KeyWindow)
	}
	l.nextSequence.Store(1)
	return l
}

// Issue returns a new key. Issue times never decrease, even if the clock goes back.
func (l *Ledger) Issue(now time.Time) Key {
	l.issueMu.Lock()
	defer l.issueMu.Unlock()
	if now.Before(l.lastIssued) {
		now = l.lastIssued
	}
	l.lastIssued = now
	return Key{Sequence: l.nextSequence.Add(1) - 1, Issued: now}
}

// Begin returns the state of a key of this ledger and, if the key may be run, begins its run. The entry is
// nil for NeverRun, Unknown and Mismatch.
func (l *Ledger) Begin(key Key, now time.Time) (State, *Entry) {
	if !l.imported && key.Sequence >= l.nextSequence.Load() {
		return Unknown, nil
	}
	return l.shardOf(key.Sequence).begin(key, now)
}

func (l *Ledger) shardOf(sequence uint64) *shard {
	return l.shards[sequence%uint64(len(l.shards))]
}

// SetBounds changes the limits Config.MaxBytes and Config.KeyWindow; 0 leaves a limit unchanged.
func (l *Ledger) SetBounds(maxBytes int, keyWindow time.Duration) {
	for _, s := range l.shards {
		s.setBounds(maxBytes/len(l.shards), keyWindow)
	}
}

// Bytes returns the accounted size of all records and answers.
func (l *Ledger) Bytes() int {
	n := 0
	for _, s := range l.shards {
		s.mu.Lock()
		n += s.used
		s.mu.Unlock()
	}
	return n
}

// Running returns the number of runs in progress.
func (l *Ledger) Running() int {
	n := 0
	for _, s := range l.shards {
		s.mu.Lock()
		n += s.running
		s.mu.Unlock()
	}
	return n
}
