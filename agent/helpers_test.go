package agent

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/header"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/settings"
	"endiveflow.example/endiveflow/testkit"
)

const testService = "rota"

var errNoAnswer = errors.New("no answer")

func roleConfig() RoleConfig { return RoleConfig{Settings: settings.Agent{Service: testService}} }

func newTestBoard(host byte, service string) *node.Board {
	addr := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), port)
	}
	return node.NewBoard(member.Record{
		Role: member.RoleAgent, Zone: "okn-a", Service: config.TagOf(service), Incarnation: member.Incarnation(host),
		Tunnel: addr(7000), Control: addr(7001), Peer: addr(7002), State: member.StateStarting,
	}, slog.New(slog.DiscardHandler))
}

// testAgent is an agent whose calls to peers and to its upstream are simulated.
type testAgent struct {
	*node.Board
	handler     *dispatch.Handler
	handover    *handover
	peerHandler http.Handler
	// runs counts the requests run by the upstream.
	runs *atomic.Int64
}

func (a *testAgent) addr() netip.AddrPort { return a.Self.Record().Peer }

// fleet connects agents in memory.
type fleet struct {
	agents map[netip.AddrPort]*testAgent
	// fault replaces a call to a peer; serve performs the real call. nil means that there is no fault.
	fault func(to netip.AddrPort, r *http.Request, serve func() *http.Response) (*http.Response, error)
}

// newFleet returns a fleet of ready agents, one for each of the services, the first at 10.0.0.1.
func newFleet(t *testing.T, services ...string) (*fleet, []*testAgent) {
	f := &fleet{agents: make(map[netip.AddrPort]*testAgent)}
	var all []*testAgent
	for i, service := range services {
		a := f.newAgent(t, byte(i+1), service)
		f.agents[a.addr()] = a
		all = append(all, a)
	}
	for _, a := range all {
		for _, other := range all {
			a.Members.Merge([]member.Record{other.Self.Record()})
		}
	}
	return f, all
}

func (f *fleet) newAgent(t *testing.T, host byte, service string) *testAgent {
	b := newTestBoard(host, service)
	b.Self.SetState(member.StateReady)
	tag := config.TagOf(service)
	keys, err := flowid.NewKeyCodec(flowid.Config{Ring: testkit.Ring(t, 1)})
	require.NoError(t, err)
	a := &testAgent{Board: b, runs: &atomic.Int64{}}
	successors := newSuccessors()
	self := b.Self.Record()
	a.handler = dispatch.New(dispatch.Config{
		Self:  dispatch.Identity{Peer: self.Peer, Incarnation: uint64(self.Incarnation)},
		Slots: 2,
		Upstream: func(*http.Request) (*http.Response, error) {
			a.runs.Add(1)
			return &http.Response{StatusCode: http.StatusCreated, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("booked"))}, nil
		},
		Peer: func(_ context.Context, addr netip.AddrPort, r *http.Request) (*http.Response, error) {
			setService(r, service)
			return f.call(addr, r)
		},
		Peers:     func() []dispatch.PeerInfo { return peersOf(b, tag) },
		Successor: successors.get,
		Policy:    func() config.Policy { return dispatchPolicy(b, service) },
		Service:   func() config.Service { return config.Service{} },
		IssueKey:  func(k dispatch.Key) string { return keys.Issue(requestKey(tag, k)) },
		ParseKey:  func(text string) (dispatch.Key, error) { return parseKey(keys, tag, text) },
		Trail:     b.Trail,
	})
	a.handover = &handover{board: b, service: service, handler: a.handler, successors: successors, client: &http.Client{Transport: f}}
	a.peerHandler = peerHandler(service, a.handler, a.handover)
	return a
}

// RoundTrip implements http.RoundTripper.
func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	return f.call(netip.MustParseAddrPort(r.URL.Host), r)
}

func (f *fleet) call(to netip.AddrPort, r *http.Request) (*http.Response, error) {
	serve := func() *http.Response { return serveOn(f.agents[to].peerHandler, r) }
	if f.fault != nil {
		return f.fault(to, r, serve)
	}
	return serve(), nil
}

func serveOn(h http.Handler, r *http.Request) *http.Response {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result()
}

// post sends a non-repeatable request of a caller to the agent.
func (a *testAgent) post(key string, headers ...string) *http.Response {
	r := httptest.NewRequest(http.MethodPost, "/claims", strings.NewReader("lawn 3"))
	if key != "" {
		r.Header.Set(header.Key, key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return serveOn(a.handler, r)
}

// newKey returns a key that the agent issued.
func (a *testAgent) newKey(t *testing.T) string {
	resp := a.post("")
	require.Equal(t, http.StatusPreconditionRequired, resp.StatusCode)
	return resp.Header.Get(header.Key)
}

// book runs a request with a new key and returns the key.
func (a *testAgent) book(t *testing.T) string {
	key := a.newKey(t)
	requireBooked(t, a.post(key))
	return key
}

func requireBooked(t *testing.T, resp *http.Response) {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, resp.StatusCode, string(body))
	require.Equal(t, "booked", string(body))
	require.Equal(t, "answered", resp.Header.Get(header.Outcome))
}

func requireUnknown(t *testing.T, resp *http.Response) {
	t.Helper()
	require.Equal(t, "unknown", resp.Header.Get(header.Outcome))
}

func requireRuns(t *testing.T, want int64, agents ...*testAgent) {
	t.Helper()
	var got int64
	for _, a := range agents {
		got += a.runs.Load()
	}
	require.Equal(t, want, got, "runs on upstreams")
}

// stop does the part of a planned stop that concerns the ledger.
func (a *testAgent) stop(t *testing.T) error {
	a.handler.SealLedger()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	require.NoError(t, a.handler.Shutdown(ctx))
	return a.handover.send(ctx)
}
