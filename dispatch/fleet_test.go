package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/header"
	_ "endiveflow.example/endiveflow/testseed"
)

var errNetwork = errors.New("network fault")

// fleet is a set of agents in one process. Requests carry their faults in headers: X-Peer for the network
// between agents, X-Upstream for the upstream.
type fleet struct {
	t  *testing.T
	mu sync.Mutex
	// All below is guarded by mu.
	nodes      map[netip.AddrPort]*node
	runs       map[string]int
	refused    map[string]bool
	answered   map[string]int
	successors map[uint64]netip.AddrPort
	next       uint64
	// handovers counts the requests by kind of hand-over that ran on the peer, or may have.
	handovers map[string]int
}

// node is one incarnation of an agent.
type node struct {
	fleet    *fleet
	self     dispatch.Self
	handler  *dispatch.Handler
	mu       sync.Mutex
	resumed  chan struct{}
	dead     bool
	draining bool
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, nodes: map[netip.AddrPort]*node{}, runs: map[string]int{}, refused: map[string]bool{},
		answered: map[string]int{}, successors: map[uint64]netip.AddrPort{}, handovers: map[string]int{},
	}
	for i := range n {
		f.start(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 700))
	}
	return f
}

func (f *fleet) start(addr netip.AddrPort) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	n := &node{fleet: f, self: dispatch.Self{Peer: addr, Incarnation: f.next}}
	n.handler = dispatch.New(dispatch.Config{
		Self: n.self, Slots: 2, Upstream: n.upstream, Peer: n.peer, Peers: f.peers,
		Successor: func(k dispatch.Key) (netip.AddrPort, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			addr, ok := f.successors[k.Incarnation]
			return addr, ok
		},
		Policy: eagerPolicy, Service: noRules,
		IssueKey: issueKey, ParseKey: parseKey, Trail: quietTrail(),
		AcceptsWork: func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return !n.draining
		},
	})
	f.nodes[addr] = n
	return n
}

func (f *fleet) peers() []dispatch.PeerInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []dispatch.PeerInfo
	for addr := range f.nodes {
		out = append(out, dispatch.PeerInfo{Addr: addr, Slots: 2})
	}
	return out
}

func (f *fleet) node(addr netip.AddrPort) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[addr]
}

// alive waits while the process is frozen and says whether it lives.
func (n *node) alive() bool {
	for {
		n.mu.Lock()
		resumed, dead := n.resumed, n.dead
		n.mu.Unlock()
		if resumed == nil {
			return !dead
		}
		<-resumed
	}
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

func (n *node) resume(dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = n.dead || dead
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// upstream runs a request; it counts as run as soon as it arrives.
func (n *node) upstream(r *http.Request) (*http.Response, error) {
	if !n.alive() {
		return nil, errNetwork
	}
	fault, name := r.Header.Get("X-Upstream"), r.Header.Get("X-Request")
	switch fault {
	case "notSent":
		return nil, &dispatch.NotSentError{Err: errNetwork}
	case "shed":
		return &http.Response{StatusCode: 503, Header: http.Header{header.Shed: {"1"}}, Body: http.NoBody}, nil
	}
	n.fleet.mu.Lock()
	n.fleet.runs[name]++
	n.fleet.mu.Unlock()
	body := strings.NewReader(answerTo(name))
	resp := &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(body)}
	switch fault {
	case "slow":
		sleep(r.Context(), 2*time.Second)
	case "hang":
		sleep(r.Context(), time.Hour)
	case "broken":
		return nil, errNetwork
	case "cut":
		resp.Body = io.NopCloser(io.MultiReader(io.LimitReader(body, 70_000), failingReader{}))
	}
	if !n.alive() || r.Context().Err() != nil {
		return nil, errNetwork
	}
	return resp, nil
}

// answerTo is longer than what the agent reads before it begins to send.
func answerTo(name string) string { return strings.Repeat(name+" ", 100_000/(len(name)+1)) }

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errNetwork }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// peer carries a request to another agent through the faulty network.
func (n *node) peer(ctx context.Context, addr netip.AddrPort, r *http.Request) (*http.Response, error) {
	to := n.fleet.node(addr)
	if !n.alive() || to == nil {
		return nil, &dispatch.NotSentError{Err: errNetwork}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	deliver := func(ctx context.Context) (*http.Response, error) {
		copied := r.Clone(ctx)
		copied.Body = io.NopCloser(strings.NewReader(string(body)))
		resp, err := to.serve(to.handler.PeerHandler(), copied)
		if err == nil && resp.Header.Get(header.Outcome) != "not-run" {
			n.fleet.mu.Lock()
			defer n.fleet.mu.Unlock()
			n.fleet.handovers[r.Header.Get(dispatch.HeaderHandover)]++
		}
		return resp, err
	}
	late := func() {
		time.Sleep(300 * time.Millisecond)
		_, _ = deliver(context.Background())
	}
	switch r.Header.Get("X-Peer") {
	case "lostRequest":
		sleep(ctx, 50*time.Millisecond)
		return nil, errNetwork
	case "late":
		go late()
		return nil, errNetwork
	case "duplicated":
		// Only requests with a key for its home may arrive twice; the transport rules it out for others.
		if r.Header.Get(dispatch.HeaderHandover) == "home" {
			go late()
		}
	}
	resp, err := deliver(ctx)
	if err != nil || !n.alive() || r.Header.Get("X-Peer") == "lostAnswer" {
		return nil, errNetwork
	}
	return resp, nil
}

// serve runs a handler of the node like a server would, with an aborted answer as a broken body.
func (n *node) serve(h http.Handler, r *http.Request) (resp *http.Response, err error) {
	if !n.alive() {
		return nil, errNetwork
	}
	w := httptest.NewRecorder()
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if aborted, ok := cause.(error); !ok || !errors.Is(aborted, http.ErrAbortHandler) {
			panic(cause)
		}
		resp, err = w.Result(), nil
		resp.Body = io.NopCloser(io.MultiReader(resp.Body, failingReader{}))
	}()
	h.ServeHTTP(w, r)
	if !n.alive() {
		return nil, errNetwork
	}
	return w.Result(), nil
}

// send sends one attempt of a request to an agent and notes what its caller learns.
func (f *fleet) send(ctx context.Context, n *node, name, key, peerFault, upstreamFault string, deadline int) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/claims", strings.NewReader("body"))
	r.Header.Set("X-Request", name)
	r.Header.Set("X-Peer", peerFault)
	r.Header.Set("X-Upstream", upstreamFault)
	r.Header.Set(header.Key, key)
	r.Header.Set(header.Deadline, fmt.Sprint(deadline))
	resp, err := n.serve(n.handler, r)
	if err != nil {
		return
	}
	body, err := io.ReadAll(resp.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch resp.Header.Get(header.Outcome) {
	case "answered":
		require.NoError(f.t, err)
		require.Equal(f.t, answerTo(name), string(body), "an answer that is not the whole answer to its request")
		f.answered[name]++
	case "not-run":
		f.refused[name] = true
	default:
		require.Equal(f.t, "unknown", resp.Header.Get(header.Outcome))
	}
}

func (f *fleet) check(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.runs {
		require.LessOrEqual(t, n, 1, "request %s ran twice", name)
		require.False(t, f.refused[name], "request %s ran and was refused as not run", name)
	}
	for name := range f.answered {
		require.Equal(t, 1, f.runs[name], "request %s was answered and did not run", name)
	}
}
