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
	// testFlows is enough for each of three hosts to have several flows.
	testFlows = 24
	// testGrace bounds the graceful stop of a process in tests.
	testGrace = 2 * time.Second
	// configTimeout bounds the time until a configuration version is in force at all entries. It is far
	// below the target of 20 s, and above two heartbeats of a small fleet.
	configTimeout = 5 * time.Second
)

func rota() ServiceConfig { return services()[0] }

func newTestFleet(t *testing.T) *Fleet {
	t.Helper()
	t.Parallel()
	f, err := NewFleet(t.Context(), FleetConfig{
		Services: []ServiceConfig{rota()}, Entries: 3, ShutdownGrace: testGrace, Log: slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// withTraffic runs events while callers send requests, and returns the results of the callers.
func withTraffic(t *testing.T, f *Fleet, events func()) *results {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	seen := newResults()
	l := loads()[0]
	l.Flows = testFlows
	running := startLoad(ctx, f, l, seen, new(atomic.Uint64))
	running.opened.Wait()
	events()
	stop()
	running.ended.Wait()
	return seen
}

// requireAllAnswered checks that every request got its own complete answer and that no non-repeatable
// request ran twice.
func requireAllAnswered(t *testing.T, f *Fleet, seen *results) {
	t.Helper()
	require.Empty(t, seen.wrongAnswers)
	require.Empty(t, doubledRequests(f))
	require.Positive(t, seen.outcomes["answered"])
	require.Equal(t, map[string]int{"answered": seen.outcomes["answered"]}, seen.outcomes, seen.lastError)
}

func requireInForce(t *testing.T, f *Fleet, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return versionInForce(f) >= version }, configTimeout, 20*time.Millisecond)
}

// No request may fail when a host is replaced: its agent sends GOAWAY and serves its flows through peers
// until the callers have moved to other hosts.
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

// Requests must not depend on the store, entries that start while it is unavailable must serve, and writes
// that it accepts afterwards must come into force.
func TestStoreOutage(t *testing.T) {
	f := newTestFleet(t)
	before := f.Platform().Revision()
	seen := withTraffic(t, f, func() {
		f.Platform().SetSwitches(standin.Switches{Outage: true})
		require.NoError(t, f.ReplaceEntries(t.Context()))
		time.Sleep(500 * time.Millisecond)
		f.Platform().SetSwitches(standin.Switches{})
		require.NoError(t, f.Drain(t.Context(), f.Hosts("rota")[0], "test"))
		requireInForce(t, f, before+1)
	})
	requireAllAnswered(t, f, seen)
	require.Zero(t, seen.brokenFlows, seen.lastError)
}

// When all entries are replaced at once while the store is unavailable, only the draining ones hold the
// configuration. It was lost when the new entries fetched it only from each other.
func TestNewEntriesGetConfigFromDrainingEntries(t *testing.T) {
	f := newTestFleet(t)
	f.Platform().SetSwitches(standin.Switches{Outage: true})
	draining := f.entries
	for _, e := range draining {
		e.stop()
	}
	require.NoError(t, f.AddEntries(t.Context(), len(draining)))
	for _, e := range draining {
		require.NoError(t, <-e.done)
	}
	f.entries = f.entries[len(draining):]
	require.NoError(t, f.awaitReady(t.Context()))
}

// Open flows must survive a change of a service's address, even when every entry is then replaced by one
// that never had the former address, and new flows must open at the new address.
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
		setEntries(former, f.entries)
		require.NoError(t, stopAll(old))
		time.Sleep(time.Second)
	})
	requireAllAnswered(t, f, seen)
	require.Zero(t, seen.brokenFlows, seen.lastError)
}

// moveService moves the service to a second fabric with another address, and returns the first one, which
// keeps running, as routes to a former address remain for a while.
func moveService(t *testing.T, f *Fleet) *standin.Fabric {
	t.Helper()
	s := f.services["rota"]
	former := s.fabric
	t.Cleanup(func() { _ = former.stopAndWait() })
	require.NoError(t, f.startService(t.Context(), s.cfg))
	f.services["rota"].hosts = s.hosts
	f.setFabricEntries(f.entries)
	require.NoError(t, f.Apply(t.Context(), "test", f.Objects()[0]))
	return former.component
}

// After a planned replacement of a host, a repeat of a finished request must get the saved answer from the
// agent that took over its ledger, and must not run again.
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

// finishedRequest runs a non-repeatable request whose home is the given host, and returns its key and ID.
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

// When two operators write the same object concurrently, at most one may fail, and its error must name the
// operator whose change was first.
func TestConcurrentOperatorWrites(t *testing.T) {
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

// A drain must take effect within drainTimeout. In one of three runs of the demo, the drained upstream got
// 18 requests after that time.
func TestDrainTakesEffectInTime(t *testing.T) {
	f := newTestFleet(t)
	host := f.Hosts("rota")[0]
	board := host.agent.component.Board()
	for i := range 12 {
		begin := time.Now()
		drain := i%2 == 0
		require.NoError(t, f.Apply(t.Context(), "test", drainException(host, drain)))
		applied := time.Now()
		require.Eventually(t, func() bool {
			return (board.Self.Record().State == member.StateDraining) == drain
		}, 2*drainTimeout, 5*time.Millisecond)
		t.Logf("drain=%t: write %s, in effect after %s", drain, applied.Sub(begin).Round(time.Millisecond), time.Since(applied).Round(time.Millisecond))
		require.Less(t, time.Since(applied), drainTimeout)
	}
}
