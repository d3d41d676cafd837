package ledger

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of a Config.
const (
	DefaultBytes  = 16 << 20
	DefaultWindow = 10 * time.Minute
	DefaultShards = 8
)

// recordBytes is what a record is charged without its answer: the record, its
// entry, its place in the map and its place in the order. Measured by TestRecordsStayInBound.
const recordBytes = 320

// State says what to do with a request that carries a key.
type State uint8

// States returned by Begin.
const (
	// Run: the key's request has not run; the caller of Begin now owns the entry and
	// must end it by exactly one of Finish, Abandon or Lose.
	Run State = iota + 1
	// Running: another caller runs it; wait for Entry.Done.
	Running
	// Done: the entry holds the whole answer.
	Done
	// NeverRun: the request has not run and its key will never run, because it was
	// abandoned or the ledger is sealed.
	NeverRun
	// Unknown: the request may have run; its key will never run again.
	Unknown
	// Mismatch: the key was used for a request of another content.
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
	// Content is a hash of the request. A key that comes back with another content does not
	// get the answer to the first.
	Content uint64
}

// Config configures a Ledger.
type Config struct {
	// Bytes bounds records and answers; 0 means DefaultBytes. Each shard may use an
	// equal part, so an answer of more than Bytes/Shards is not saved.
	Bytes int
	// Window is the age past which keys are not accepted; 0 means DefaultWindow.
	Window time.Duration
	// Shards is the number of shards; 0 means DefaultShards.
	Shards int
}

// Ledger holds the records of one incarnation. It is safe for concurrent use.
type Ledger struct {
	cfg    Config
	shards []*shard
	// next is the next sequence to issue.
	next atomic.Uint64
	// issueMu orders sequences and issue times alike.
	issueMu sync.Mutex
	// lastIssued is the latest issue time, guarded by issueMu; it never goes back.
	lastIssued time.Time
	// imported says that the records come from another incarnation.
	imported bool
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.Bytes <= 0 {
		cfg.Bytes = DefaultBytes
	}
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	if cfg.Shards <= 0 {
		cfg.Shards = DefaultShards
	}
	l := &Ledger{cfg: cfg, shards: make([]*shard, cfg.Shards)}
	for i := range l.shards {
		l.shards[i] = newShard(cfg.Bytes/cfg.Shards, cfg.Window)
	}
	l.next.Store(1)
	return l
}

// Issue returns a new key. Issue times never go back, even when the clock does.
func (l *Ledger) Issue(now time.Time) Key {
	l.issueMu.Lock()
	defer l.issueMu.Unlock()
	if now.Before(l.lastIssued) {
		now = l.lastIssued
	}
	l.lastIssued = now
	return Key{Sequence: l.next.Add(1) - 1, Issued: now}
}

// Begin decides about a request with a key of this ledger. The entry is nil for
// NeverRun, Unknown and Mismatch.
func (l *Ledger) Begin(key Key, now time.Time) (State, *Entry) {
	if !l.imported && key.Sequence >= l.next.Load() {
		return Unknown, nil
	}
	return l.shardOf(key.Sequence).begin(key, now)
}

func (l *Ledger) shardOf(sequence uint64) *shard {
	return l.shards[sequence%uint64(len(l.shards))]
}

// SetBounds changes the bounds in bytes and age; 0 leaves one as it is.
func (l *Ledger) SetBounds(bytes int, window time.Duration) {
	for _, s := range l.shards {
		s.setBounds(bytes/len(l.shards), window)
	}
}

// Bytes returns the bytes charged to records and answers.
func (l *Ledger) Bytes() int {
	n := 0
	for _, s := range l.shards {
		s.mu.Lock()
		n += s.used
		s.mu.Unlock()
	}
	return n
}

// Open returns the number of records that are running.
func (l *Ledger) Open() int {
	n := 0
	for _, s := range l.shards {
		s.mu.Lock()
		n += s.running
		s.mu.Unlock()
	}
	return n
}
