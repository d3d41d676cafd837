package agent

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/header"
	"endiveflow.example/endiveflow/testkit"
	"endiveflow.example/endiveflow/upstream"
)

// Guards against a key of one service that is run or answered by an agent of another.
func TestKeyOfOtherServiceIsRejected(t *testing.T) {
	_, a := newFleet(t, testService, "draws")
	key := a[0].newKey(t)
	resp := a[1].post(key)
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	requireUnknown(t, resp)
	requireRuns(t, 0, a...)
}

// Guards against a key that is changed by encoding and parsing it.
func TestKeyRoundTrip(t *testing.T) {
	keys, err := flowid.NewKeyCodec(flowid.Config{Ring: testkit.Ring(t, 1)})
	require.NoError(t, err)
	tag := config.TagOf(testService)
	want := dispatch.Key{
		Home: netip.MustParseAddrPort("10.0.0.1:7002"), Incarnation: 1 << 60, Sequence: 7, Issued: time.UnixMilli(1_700_000_000_000),
	}
	got, err := parseKey(keys, tag, keys.Issue(requestKey(tag, want)))
	require.NoError(t, err)
	require.True(t, want.Issued.Equal(got.Issued))
	got.Issued = want.Issued
	require.Equal(t, want, got)
	_, err = parseKey(keys, config.TagOf("draws"), keys.Issue(requestKey(tag, want)))
	require.ErrorIs(t, err, errOtherService)
}

// Guards against a request that an agent of another service runs because an agent of the
// sender's service had the same address before.
func TestRequestOfOtherServiceIsNotRun(t *testing.T) {
	_, a := newFleet(t, testService)
	for name, key := range map[string]string{"not-run": "", "": a[0].newKey(t)} {
		r := httptest.NewRequest(http.MethodGet, "/claims", nil)
		r.Header.Set(dispatch.HeaderHandover, "slot")
		if key != "" {
			r = httptest.NewRequest(http.MethodPost, "/claims", strings.NewReader("lawn 3"))
			r.Header.Set(dispatch.HeaderHandover, "home")
			r.Header.Set(header.Key, key)
		}
		setService(r, "draws")
		resp := serveOn(a[0].peerHandler, r)
		require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest)
		require.Equal(t, name, resp.Header.Get(header.Outcome))
	}
	requireRuns(t, 0, a...)
}

// Guards against a request that an agent of another service sends, whose name has the same tag, and against one of an agent of an
// earlier version, which sends the tag alone, that is rejected while VMs are replaced one after the other.
func TestRequestsOfServiceWithEqualTag(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/slots", nil)
	setService(r, "kuwa46a")
	require.True(t, isFromService(r, "kuwa46a"))
	require.False(t, isFromService(r, "bawu92b"))
	require.False(t, isFromService(r, "bawu93b"))
	r.Header.Del(headerServiceName)
	require.True(t, isFromService(r, "kuwa46a"))
	require.False(t, isFromService(r, "bawu93b"))
}

// Guards against a caller that is taken for a peer because it sends internal headers: it could
// bypass keys, choose a class, or replace ledgers and successors.
func TestInternalHeadersOfCallersAreIgnored(t *testing.T) {
	_, a := newFleet(t, testService, testService)
	for _, handover := range []string{"slot", "queue", "home"} {
		resp := a[0].post("", dispatch.HeaderHandover, handover, dispatch.HeaderClass, "long", headerService, "1")
		require.Equal(t, http.StatusPreconditionRequired, resp.StatusCode, handover)
		require.Empty(t, resp.Header.Get(dispatch.HeaderLoad), handover)
	}
	requireRuns(t, 0, a...)
	for _, path := range []string{ledgerPath, successorPath} {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("x"))
		resp := serveOn(a[0].handler, r)
		require.Equal(t, http.StatusPreconditionRequired, resp.StatusCode, path)
	}
}

// Guards against internal headers of a caller that reach the upstream or a peer.
func TestInternalHeadersAreNotForwarded(t *testing.T) {
	var seen http.Header
	h := dispatch.New(dispatch.Config{
		Slots: 1,
		Upstream: func(r *http.Request) (*http.Response, error) {
			seen = r.Header
			return status(http.StatusOK), nil
		},
		Peers:   func() []dispatch.PeerInfo { return nil },
		Policy:  config.BuiltinPolicy,
		Service: func() config.Service { return config.Service{} },
	})
	r := httptest.NewRequest(http.MethodGet, "/slots", nil)
	for _, name := range []string{dispatch.HeaderHandover, dispatch.HeaderClass, dispatch.HeaderLoad, headerService, headerServiceName} {
		r.Header.Set(name, "home")
	}
	require.Equal(t, http.StatusOK, serveOn(h, r).StatusCode)
	for name := range seen {
		if strings.HasPrefix(name, "Endiveflow-") {
			require.Equal(t, header.Deadline, name)
		}
	}
}

// Guards against a change of silenceAfter that takes effect only after a restart: the value was once
// read only at the start, before the agent had any configuration.
func TestSilenceAfterTakesEffect(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer unresponsive.Close()
	b := newTestBoard(1, testService)
	announced := upstream.NewAnnouncements(upstream.AnnouncementsConfig{})
	require.NoError(t, announced.Accept([]byte(`{"service":"rota","address":"`+unresponsive.Addr().String()+`","slots":2,"state":"ready"}`)))
	client, err := provideUpstream(announced)
	require.NoError(t, err)
	h, err := provideHandler(roleConfig(), testkit.Ring(t, 1), b, client, announced, nil, newSuccessors())
	require.NoError(t, err)
	h.SetSlots(2)
	require.True(t, b.Config.Apply(defaults(1, map[config.Setting]string{config.SettingSilenceAfter: "100ms", config.SettingDeadline: "2s"})))
	begin := time.Now()
	resp := serveOn(h, httptest.NewRequest(http.MethodGet, "/slots", nil))
	require.NotEqual(t, http.StatusOK, resp.StatusCode)
	require.Less(t, time.Since(begin), time.Second)
}

func defaults(version uint64, s map[config.Setting]string) config.Object {
	return config.Object{
		Key: config.Key{Kind: config.KindDefaults, Name: config.DefaultsName}, Version: version, Defaults: &config.Defaults{Settings: s},
	}
}
