package agent

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/settings"
	"endiveflow.example/endiveflow/upstream"
)

// Guards against a state by which new flows are sent to an agent that cannot serve them, or are not sent to one
// that can.
func TestNextState(t *testing.T) {
	for _, c := range []struct {
		old             member.State
		up              upstream.State
		drain, stopping bool
		want            member.State
	}{
		{old: member.StateStarting, up: upstream.StateGone, want: member.StateStarting},
		{old: member.StateStarting, up: upstream.StateStarting, want: member.StateStarting},
		{old: member.StateStarting, up: upstream.StateDraining, want: member.StateStarting},
		{old: member.StateStarting, up: upstream.StateReady, want: member.StateReady},
		{old: member.StateReady, up: upstream.StateStarting, want: member.StateStarting},
		{old: member.StateReady, up: upstream.StateDraining, want: member.StateDraining},
		{old: member.StateReady, up: upstream.StateGone, want: member.StateDraining},
		{old: member.StateReady, up: upstream.StateReady, drain: true, want: member.StateDraining},
		{old: member.StateStarting, up: upstream.StateGone, drain: true, want: member.StateDraining},
		{old: member.StateReady, up: upstream.StateReady, stopping: true, want: member.StateDraining},
		{old: member.StateStarting, up: upstream.StateGone, stopping: true, want: member.StateDraining},
		{old: member.StateDraining, up: upstream.StateReady, want: member.StateReady},
		{old: member.StateDraining, up: upstream.StateGone, want: member.StateDraining},
	} {
		got, reason := nextState(c.old, c.up, c.drain, c.stopping)
		require.Equal(t, c.want, got, "%+v", c)
		require.NotEmpty(t, reason)
	}
}

// Guards against a cold upstream with the weight of a warm one, and against a weight that stays 0.
func TestSlowStartWeight(t *testing.T) {
	const slowStart = 10 * time.Second
	for elapsed, want := range map[time.Duration]uint8{
		0: 25, slowStart/4 - 1: 25, slowStart / 4: 50, slowStart/2 - 1: 50, slowStart / 2: 75, slowStart*3/4 - 1: 75,
		slowStart * 3 / 4: 100, slowStart: 100, slowStart * 9: 100,
	} {
		require.Equal(t, want, slowStartWeight(elapsed, slowStart), elapsed)
	}
	require.Equal(t, member.FullWeight, slowStartWeight(0, 0))
}

// stateTest is a state controller with a simulated clock.
type stateTest struct {
	*stateController
	t     *testing.T
	clock time.Time
}

func newStateTest(t *testing.T) *stateTest {
	s := &stateTest{t: t, clock: time.UnixMilli(1_700_000_000_000)}
	now := func() time.Time { return s.clock }
	b := newTestBoard(1, testService)
	h := dispatch.New(dispatch.Config{
		Upstream: func(*http.Request) (*http.Response, error) { return status(http.StatusOK), nil },
		Service:  func() config.Service { return config.Service{} },
		Peers:    func() []dispatch.PeerInfo { return nil }, Policy: func() config.Policy { return dispatchPolicy(b, testService) }, Now: now,
	})
	s.stateController = newStateController(roleConfig(), b, upstream.NewAnnouncements(upstream.AnnouncementsConfig{Now: now}), h)
	s.now = now
	return s
}

func (s *stateTest) announce(state upstream.State, slots, port int) {
	s.t.Helper()
	require.NoError(s.t, s.announced.Accept(fmt.Appendf(nil, `{"service":%q,"address":"127.0.0.1:%d","slots":%d,"state":%q}`, testService, port, slots, state)))
}

// requireRecord updates the record and checks it, and that the handler does not use more slots.
func (s *stateTest) requireRecord(state member.State, weight uint8, slots int) {
	s.t.Helper()
	before := s.board.Self.Record()
	s.update()
	r := s.board.Self.Record()
	require.Equal(s.t, state, r.State)
	require.Equal(s.t, weight, r.Weight)
	require.Equal(s.t, slots, int(r.Slots))
	require.LessOrEqual(s.t, s.handler.Load().Slots, slots)
	if r != before {
		require.Greater(s.t, r.Version, before.Version)
	}
}

// Guards against a changed record that other processes do not recognize as newer, and
// against an upstream that becomes ready again and gets its full weight at once.
func TestReturningUpstreamStartsCold(t *testing.T) {
	s := newStateTest(t)
	s.requireRecord(member.StateStarting, 0, 0)
	s.announce(upstream.StateReady, 4, 8000)
	s.requireRecord(member.StateReady, 25, 4)
	s.clock = s.clock.Add(5 * time.Second)
	s.announce(upstream.StateReady, 4, 8000)
	s.requireRecord(member.StateReady, 75, 4)
	s.clock = s.clock.Add(6 * time.Second)
	s.requireRecord(member.StateDraining, 0, 0)
	s.announce(upstream.StateReady, 4, 8000)
	s.requireRecord(member.StateReady, 25, 4)
}

// Guards against a restarted upstream that gets its full weight at once, because
// it announces itself before the agent has noticed the end of the previous process.
func TestUpstreamAtOtherAddressStartsCold(t *testing.T) {
	s := newStateTest(t)
	s.announce(upstream.StateReady, 4, 8000)
	s.requireRecord(member.StateReady, 25, 4)
	s.clock = s.clock.Add(20 * time.Second)
	s.announce(upstream.StateReady, 4, 8000)
	s.requireRecord(member.StateReady, member.FullWeight, 4)
	s.announce(upstream.StateReady, 4, 8001)
	s.requireRecord(member.StateReady, 25, 4)
}

// Guards against a drain that takes effect only after a restart, and against an undrain that does not end it.
func TestDrainAndUndrain(t *testing.T) {
	s := newStateTest(t)
	s.announce(upstream.StateReady, 4, 8000)
	s.requireRecord(member.StateReady, 25, 4)
	drain := config.Object{
		Key: config.Key{Kind: config.KindException, Name: "drain"}, Version: 1,
		Exception: &config.Exception{Target: "host/10.0.0.1", Setting: config.SettingDrain, Value: "true", Reason: "disk swap"},
	}
	require.True(t, s.board.Config.Apply(drain))
	s.requireRecord(member.StateDraining, 0, 4)
	require.False(t, acceptsWork(s.board, testService, upstream.StateReady))
	require.True(t, s.board.Config.Apply(config.Object{Key: drain.Key, Version: 2, Deleted: true}))
	s.requireRecord(member.StateReady, 25, 4)
	require.True(t, acceptsWork(s.board, testService, upstream.StateReady))
	s.board.Stopping.Store(true)
	s.requireRecord(member.StateDraining, 0, 4)
	require.False(t, acceptsWork(s.board, testService, upstream.StateReady))
}

// Guards against using more slots than the configuration allows the host when an upstream announces
// more, and against a change of the limit that takes effect only after a restart. Also guards against
// a slow start of 0 that the handler's outlier detector takes for unset.
func TestSlotsAreBoundedByConfiguration(t *testing.T) {
	s := newStateTest(t)
	require.True(t, s.board.Config.Apply(defaults(1, map[config.Setting]string{config.SettingSlowStart: "0s"})))
	requireSlots := func(want int) {
		t.Helper()
		s.requireRecord(member.StateReady, member.FullWeight, want)
		// The handler assesses its upstream when it serves a request, at most every 100 ms.
		s.clock = s.clock.Add(time.Second)
		serveOn(s.handler, httptest.NewRequest(http.MethodGet, "/slots", nil))
		require.Equal(t, want, s.handler.Load().Slots)
	}
	s.announce(upstream.StateReady, 9, 8000)
	requireSlots(9)
	allow := func(version uint64, name, network string, slots int) {
		require.True(t, s.board.Config.Apply(config.Object{
			Key: config.Key{Kind: config.KindUpstream, Name: name}, Version: version,
			Upstream: &config.Upstream{Service: testService, Networks: []netip.Prefix{netip.MustParsePrefix(network)}, Slots: slots},
		}))
	}
	allow(1, "elsewhere", "10.9.0.0/24", 2)
	requireSlots(9)
	allow(2, "here", "10.0.0.0/24", 4)
	requireSlots(4)
	allow(3, "here", "10.0.0.0/24", 6)
	requireSlots(6)
}

// Guards against a change of slowStart that takes effect only after a restart.
func TestSlowStartTakesEffect(t *testing.T) {
	s := newStateTest(t)
	s.announce(upstream.StateReady, 4, 8000)
	s.requireRecord(member.StateReady, 25, 4)
	require.True(t, s.board.Config.Apply(defaults(1, map[config.Setting]string{config.SettingSlowStart: "0s"})))
	s.requireRecord(member.StateReady, member.FullWeight, 4)
}

// Guards against a draining or overloaded agent that accepts new flows, and against an agent with a short
// queue that does not.
func TestAcceptsFlows(t *testing.T) {
	busy := admit.Load{Slots: 4, ShortInUse: 4, ShortQueued: 3}
	overloaded := admit.Load{Slots: 4, ShortInUse: 4, ShortQueued: 3, LongQueued: 1}
	require.True(t, acceptsFlows(member.StateReady, busy))
	require.False(t, acceptsFlows(member.StateReady, overloaded))
	require.False(t, acceptsFlows(member.StateDraining, admit.Load{Slots: 4}))
	require.True(t, acceptsFlows(member.StateReady, admit.Load{}), "the load is unknown without announced slots")
}

// Guards against an announcement with the address of another host, to which the agent would then send its
// requests.
func TestAnnouncementsOfOtherHostsAreRejected(t *testing.T) {
	host := netip.MustParseAddr("10.0.0.7")
	for address, accepted := range map[string]bool{
		"127.0.0.1:8000": true,
		"10.0.0.7:8000":  true,
		"10.0.0.8:8000":  false,
	} {
		cfg := RoleConfig{Settings: settings.Agent{Service: "rota"}}
		announced := provideAnnouncements(cfg, node.NewBoard(member.Record{Tunnel: netip.AddrPortFrom(host, 7001)}, slog.New(slog.DiscardHandler)))
		body := fmt.Sprintf(`{"service":"rota","address":%q,"slots":4,"state":"ready"}`, address)
		err := announced.Accept([]byte(body))
		require.Equal(t, accepted, err == nil, "%s: %v", address, err)
		require.Equal(t, accepted, announced.Current().State == upstream.StateReady, address)
	}
}
