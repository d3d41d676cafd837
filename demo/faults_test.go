package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/caller"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/standin"
)

const (
	// testFlows is enough for each of three hosts to hold several flows.
	testFlows = 24
	// testGrace bounds the planned stop of a process in tests.
	testGrace = 2 * time.Second
	// inForceWithin is far below the 20 s of the target, and above two
	// heartbeats of a small fleet.
	inForceWithin = 5 * time.Second
)

func rota() ServiceConfig { return services()[0] }

func newTestFleet(t *testing.T) *Fleet {
	t.Helper()
	t.Parallel()
	f, err := NewFleet(t.Context(), FleetConfig{
		Services: []ServiceConfig{rota()}, Entries: 3, Grace: testGrace, Log: slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// withTraffic runs what happens while callers send requests, and returns what they saw.
func withTraffic(t *testing.T, f *Fleet, happens func()) *results {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	seen := newResults()
	l := loads()[0]
	l.Flows = testFlows
	running := startLoad(ctx, f, l, seen, new(atomic.Uint64))
	running.open.Wait()
	happens()
	stop()
	running.ended.Wait()
	return seen
}

// requireAllAnswered checks that every request got its own whole answer and none ran twice.
func requireAllAnswered(t *testing.T, f *Fleet, seen *results) {
	t.Helper()
	require.Empty(t, seen.wrong)
	require.Empty(t, doubledRequests(f))
	require.Positive(t, seen.outcomes["answered"])
	require.Equal(t, map[string]int{"answered": seen.outcomes["answered"]}, seen.outcomes, seen.lastError)
}

func requireInForce(t *testing.T, f *Fleet, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return versionInForce(f) >= version }, inForceWithin, 20*time.Millisecond)
}

// A replaced host must not cost a caller an answer: its agent sends GOAWAY and
// serves its flows through peers until the callers have moved.
func TestHostReplacedUnderLoad(t *testing.T) {
	f := newTestFleet(t)
	seen := withTraffic(t, f, func() {
		time.Sleep(500 * time.Millisecond)
		_, err := f.AddHost(t.Context(), "rota")
		require.NoError(t, err)
		require.NoError(t, f.StopHost(t.Context(), "rota", f.Hosts("rota")[0]))
		time.Sleep(500 * time.Millisecond)
	})
	requireAllAnswered(t, f, seen)
}

// The store must not stand on the path of a request, entries that start while
// it is away must serve, and what it accepts afterwards must come into force.
func TestStoreOutage(t *testing.T) {
	f := newTestFleet(t)
	before := f.Platform().Revision()
	seen := withTraffic(t, f, func() {
		f.Platform().Set(standin.Switches{Outage: true})
		require.NoError(t, f.ReplaceEntries(t.Context()))
		time.Sleep(500 * time.Millisecond)
		f.Platform().Set(standin.Switches{})
		require.NoError(t, f.Drain(t.Context(), f.Hosts("rota")[0], "test"))
		requireInForce(t, f, before+1)
	})
	requireAllAnswered(t, f, seen)
	require.Zero(t, seen.brokenFlows, seen.lastError)
}

// When all entries are replaced at once while the store is away, only the
// leaving ones hold the configuration. It was lost when the new entries asked
// each other alone.
func TestEntriesTakeOverFromLeavingOnes(t *testing.T) {
	f := newTestFleet(t)
	f.Platform().Set(standin.Switches{Outage: true})
	leaving := f.entries
	for _, e := range leaving {
		e.stop()
	}
	require.NoError(t, f.AddEntries(t.Context(), len(leaving)))
	for _, e := range leaving {
		require.NoError(t, <-e.done)
	}
	f.entries = f.entries[len(leaving):]
	require.NoError(t, f.awaitReady(t.Context()))
}

// A change of a service's address is a planned change: open flows must survive
// it, also when every entry is then replaced by one that never had the former
// address, and new flows must open at the new one.
func TestServiceAddressChanges(t *testing.T) {
	f := newTestFleet(t)
	version := f.Platform().Revision()
	seen := withTraffic(t, f, func() {
		former := moveService(t, f)
		requireInForce(t, f, version+1)
		c := newTestCaller(t, f)
		_, err := c.Do(t.Context(), caller.Request{Method: http.MethodGet, Path: "/slots/new"})
		require.NoError(t, err)

		old := f.entries
		require.NoError(t, f.AddEntries(t.Context(), len(old)))
		require.NoError(t, f.awaitReady(t.Context()))
		f.entries = f.entries[len(old):]
		putBehind(former, f.entries)
		require.NoError(t, endAll(old))
		time.Sleep(time.Second)
	})
	requireAllAnswered(t, f, seen)
	require.Zero(t, seen.brokenFlows, seen.lastError)
}

// moveService puts the service behind a second fabric at another address, and
// returns the first one, which goes on as routes of a former address do for a while.
func moveService(t *testing.T, f *Fleet) *standin.Fabric {
	t.Helper()
	s := f.services["rota"]
	former := s.fabric
	t.Cleanup(func() { _ = former.end() })
	require.NoError(t, f.startService(t.Context(), s.cfg))
	f.services["rota"].hosts = s.hosts
	f.setFabricEntries(f.entries)
	require.NoError(t, f.Apply(t.Context(), "test", f.Objects()[0]))
	return former.part
}

// After a planned replacement, a repeat of a finished request must get the
// saved answer from the successor, and must not run again.
func TestRepeatAfterHostReplaced(t *testing.T) {
	f := newTestFleet(t)
	home := f.Hosts("rota")[0]
	key, id := finishedRequest(t, f, home)
	require.NoError(t, f.StopHost(t.Context(), "rota", home))

	c := newTestCaller(t, f)
	answer, err := c.Do(t.Context(), caller.Request{
		Method: http.MethodPost, Path: "/claims",
		Header: http.Header{standin.RequestIDHeader: {id}},
		Key:    key,
	})
	require.NoError(t, err)
	require.Equal(t, "answered", answer.Outcome)
	require.Empty(t, checkAnswer(answer, "rota", id))
	require.Equal(t, 1, home.Upstream.Executed()[id])
	require.Empty(t, doubledRequests(f))
}

func newTestCaller(t *testing.T, f *Fleet) *caller.Client {
	t.Helper()
	c, err := caller.New(caller.Config{Address: f.Address("rota"), TLS: f.cert.ClientTLS("rota")})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// finishedRequest runs a request that may not be repeated and whose home is
// the given host, and returns its key and ID.
func finishedRequest(t *testing.T, f *Fleet, home *Host) (key, id string) {
	t.Helper()
	for i := range 100 {
		id = fmt.Sprintf("POST-%d", i)
		c := newTestCaller(t, f)
		request := caller.Request{Method: http.MethodPost, Path: "/claims", Header: http.Header{standin.RequestIDHeader: {id}}}
		answer, err := c.Do(t.Context(), request)
		require.NoError(t, err)
		if home.Upstream.Executed()[id] == 1 {
			return answer.Key, id
		}
	}
	t.Fatal("no request ran at the host")
	return "", ""
}

// Two operators that race on one object: exactly one wins, and the other is told whose change came first.
func TestOperatorsRace(t *testing.T) {
	f := newTestFleet(t)
	errs := make(chan error, 2)
	for i := range cap(errs) {
		go func() {
			o := config.Object{
				Key:       config.Key{Kind: config.KindException, Name: "race"},
				Exception: &config.Exception{Target: "service/rota", Setting: config.SettingDeadline, Value: fmt.Sprintf("%ds", 5+i), Reason: "race"},
			}
			errs <- f.Apply(t.Context(), "race", o)
		}()
	}
	var failed []error
	for range cap(errs) {
		if err := <-errs; err != nil {
			failed = append(failed, err)
		}
	}
	require.LessOrEqual(t, len(failed), 1)
	for _, err := range failed {
		require.ErrorContains(t, err, "demo")
	}
}

// drainWithin is the time after which a drained upstream may get no new work;
// the demo saw 18 requests after it in one of three runs.
func TestDrainTakesEffectInTime(t *testing.T) {
	f := newTestFleet(t)
	host := f.Hosts("rota")[0]
	board := host.agent.part.Board()
	for i := range 12 {
		begin := time.Now()
		drain := i%2 == 0
		require.NoError(t, f.Apply(t.Context(), "test", drainException(host, drain)))
		applied := time.Now()
		require.Eventually(t, func() bool {
			return (board.Self.Record().State == member.StateDraining) == drain
		}, 2*drainWithin, 5*time.Millisecond)
		t.Logf("drain=%t: write %s, in effect after %s", drain, applied.Sub(begin).Round(time.Millisecond), time.Since(applied).Round(time.Millisecond))
		require.Less(t, time.Since(applied), drainWithin)
	}
}
