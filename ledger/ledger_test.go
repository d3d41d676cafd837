package ledger_test

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/ledger"
	_ "endiveflow.example/endiveflow/testseed"
)

var start = time.Unix(1_800_000_000, 0)

// machine compares a ledger and the ledgers imported from it with a model of the runs.
type machine struct {
	t        *testing.T
	l        *ledger.Ledger
	now      time.Time
	keys     []ledger.Key
	running  map[uint64]*ledger.Entry
	begun    map[uint64]bool
	refused  map[uint64]bool
	answers  map[uint64]string
	imported []*ledger.Ledger
}

func newMachine(t *testing.T) *machine {
	return &machine{
		t: t, now: start, running: map[uint64]*ledger.Entry{}, begun: map[uint64]bool{},
		refused: map[uint64]bool{}, answers: map[uint64]string{},
		// With such small limits, answers are evicted and marks are raised within a few steps.
		l: ledger.New(ledger.Config{MaxBytes: 8000, KeyWindow: time.Minute, Shards: 2}),
	}
}

func (m *machine) issue(*rapid.T) { m.keys = append(m.keys, m.l.Issue(m.now)) }

func (m *machine) key(t *rapid.T) (ledger.Key, bool) {
	if len(m.keys) == 0 {
		return ledger.Key{}, false
	}
	newest := min(len(m.keys), 50)
	return m.keys[len(m.keys)-newest+rapid.IntRange(0, newest-1).Draw(t, "key")], true
}

func (m *machine) begin(t *rapid.T) {
	key, ok := m.key(t)
	if !ok {
		return
	}
	state, entry := m.l.Begin(key, m.now)
	m.check(key, state, entry)
	if state == ledger.Run {
		require.False(m.t, m.begun[key.Sequence], "a key runs twice")
		require.Empty(m.t, m.imported, "a sealed ledger starts a run")
		m.begun[key.Sequence], m.running[key.Sequence] = true, entry
	}
	for _, other := range m.imported {
		state, entry := other.Begin(key, m.now)
		require.NotContains(m.t, []ledger.State{ledger.Run, ledger.Running}, state, "an imported ledger starts a run")
		m.check(key, state, entry)
	}
}

func (m *machine) check(key ledger.Key, state ledger.State, entry *ledger.Entry) {
	switch state {
	case ledger.NeverRun:
		require.True(m.t, m.refused[key.Sequence] || !m.begun[key.Sequence], "the state is NeverRun but the key ran")
		m.refused[key.Sequence] = true
	case ledger.Done:
		require.Equal(m.t, m.answers[key.Sequence], string(entry.Answer().Body))
	case ledger.Run:
		require.False(m.t, m.refused[key.Sequence], "a refused key runs")
	}
}

func (m *machine) end(t *rapid.T) {
	key, ok := m.key(t)
	entry := m.running[key.Sequence]
	if !ok || entry == nil {
		return
	}
	delete(m.running, key.Sequence)
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		entry.Abandon("refused", time.Second, m.now)
		m.refused[key.Sequence] = true
	case 1:
		entry.FinishUnknown(m.now)
	default:
		body := rapid.StringN(0, 300, 900).Draw(t, "body")
		m.answers[key.Sequence] = body
		entry.Finish(ledger.Answer{Status: 200, Body: []byte(body)}, m.now)
	}
}

// advance moves the clock, sometimes backwards.
func (m *machine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(-20, 30).Draw(t, "seconds")) * time.Second)
}

func (m *machine) handOver(t *rapid.T) {
	if rapid.IntRange(0, 30).Draw(t, "handOver") > 0 {
		return
	}
	other, err := ledger.Import(ledger.Config{MaxBytes: 2000, KeyWindow: time.Minute}, m.l.Export(), m.now)
	require.NoError(m.t, err)
	m.imported = append(m.imported, other)
}

// Guards against a key that runs twice, a refused key that runs later, the state NeverRun for a key that ran,
// and a wrong answer to a repeated request, under evictions, hand-overs and a clock that goes back.
func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(t)
		rt.Repeat(map[string]func(*rapid.T){
			"issue": m.issue, "issue2": m.issue, "begin": m.begin, "begin2": m.begin, "begin3": m.begin,
			"end": m.end, "end2": m.end, "pass": m.advance, "handOver": m.handOver,
		})
	})
}

// Guards against an eviction mark that is raised above keys that were issued and not used yet.
func TestUnusedKeyRunsAfterEvictions(t *testing.T) {
	l := ledger.New(ledger.Config{MaxBytes: 40_000, Shards: 1})
	unused := l.Issue(start)
	var first ledger.Key
	for i := range 100 {
		key := l.Issue(start)
		_, entry := l.Begin(key, start)
		entry.Finish(ledger.Answer{Body: make([]byte, 1000)}, start)
		if i == 0 {
			first = key
		}
	}
	state, _ := l.Begin(first, start)
	require.Equal(t, ledger.Unknown, state, "the oldest answer is evicted")
	state, _ = l.Begin(unused, start)
	require.Equal(t, ledger.Run, state)
	state, _ = l.Begin(l.Issue(start.Add(-time.Hour)), start.Add(11*time.Minute))
	require.Equal(t, ledger.Unknown, state, "a key older than the window is not run")
}

// Guards against a refused key that runs when a delayed copy of its request arrives, and against a
// refused key whose state is unknown to a repeated request, on the ledger itself or on a successor.
func TestRefusedKeyIsNeverRun(t *testing.T) {
	l := ledger.New(ledger.Config{})
	key := l.Issue(start)
	_, entry := l.Begin(key, start)
	entry.Abandon("busy", time.Second, start)
	successor, err := ledger.Import(ledger.Config{}, l.Export(), start)
	require.NoError(t, err)
	for _, l := range []*ledger.Ledger{l, successor} {
		state, _ := l.Begin(key, start)
		require.Equal(t, ledger.NeverRun, state)
		other := key
		other.ContentHash++
		state, _ = l.Begin(other, start)
		require.Equal(t, ledger.Mismatch, state, "a key used for another request")
	}
}

// Guards against memory use above the limit, and against an accounted size per record that is too low.
func TestRecordsStayWithinLimit(t *testing.T) {
	const limit = 4 << 20
	l := ledger.New(ledger.Config{MaxBytes: limit})
	before := heapBytes()
	for range 50_000 {
		key := l.Issue(start)
		_, entry := l.Begin(key, start)
		entry.Finish(ledger.Answer{Body: make([]byte, 100)}, start)
		require.LessOrEqual(t, l.Bytes(), limit)
	}
	require.Less(t, heapBytes()-before, uint64(limit))
	runtime.KeepAlive(l)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against an export that loses an answer, a content hash or a mark when it is encoded.
func TestExportEncodingRoundTrip(t *testing.T) {
	l := ledger.New(ledger.Config{})
	key := l.Issue(start)
	key.ContentHash = 1 << 63
	_, entry := l.Begin(key, start)
	unused := l.Issue(start)
	l.Seal()
	state, _ := l.Begin(unused, start)
	require.Equal(t, ledger.NeverRun, state, "a sealed ledger starts no run, but saves the answer of a run in progress")
	want := ledger.Answer{Status: 201, Header: http.Header{"X-Rota": {"a", "b"}}, Body: []byte("claim")}
	entry.Finish(want, start)
	text, err := cbor.Marshal(l.Export())
	require.NoError(t, err)
	var export ledger.Export
	require.NoError(t, cbor.Unmarshal(text, &export))
	successor, err := ledger.Import(ledger.Config{}, export, start)
	require.NoError(t, err)
	state, saved := successor.Begin(key, start)
	require.Equal(t, ledger.Done, state)
	require.Equal(t, want, *saved.Answer())
}

// Guards against an export that lost records in transit: their keys would be taken for ones that never ran.
func TestIncompleteExportIsRejected(t *testing.T) {
	l := ledger.New(ledger.Config{})
	_, entry := l.Begin(l.Issue(start), start)
	entry.FinishUnknown(start)
	export := l.Export()
	export.Records = nil
	for _, e := range []ledger.Export{export, {}} {
		_, err := ledger.Import(ledger.Config{}, e, start)
		require.True(t, errors.Is(err, errors.NotValid))
	}
}
