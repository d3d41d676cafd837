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

// fleet is a set of agents in one process. Requests specify their faults in headers: X-Peer for faults of the
// network between agents, X-Upstream for faults of the upstream.
type fleet struct {
	t *testing.T
	// mu guards the fields below.
	mu    sync.Mutex
	nodes map[netip.AddrPort]*node
	// runs and answered count the runs and answers of each request; refused holds those with the outcome not-run.
	runs     map[string]int
	refused  map[string]bool
	answered map[string]int
	// successors holds the successors of incarnations; lastIncarnation is the latest incarnation.
	successors      map[uint64]netip.AddrPort
	lastIncarnation uint64
	// handovers counts the handed-over requests that the peer ran or may have run, by the value of HeaderHandover.
	handovers map[string]int
}

// node is one incarnation of an agent.
type node struct {
	fleet    *fleet
	self     dispatch.Identity
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
	f.lastIncarnation++
	n := &node{fleet: f, self: dispatch.Identity{Peer: addr, Incarnation: f.lastIncarnation}}
	n.handler = dispatch.New(dispatch.Config{
		Self: n.self, Slots: 2, Upstream: n.upstream, Peer: n.peer, Peers: f.peers,
		Successor: func(k dispatch.Key) (netip.AddrPort, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			addr, ok := f.successors[k.Incarnation]
			return addr, ok
		},
		Policy: fullRetryPolicy, Service: noRules,
		IssueKey: issueKey, ParseKey: parseKey, Trail: discardTrail(),
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

// alive waits while the process is frozen, and reports whether it has not been killed.
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

// resume ends a freeze. If kill is set, it also kills the process.
func (n *node) resume(kill bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = n.dead || kill
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// upstream runs a request. Unless it is not sent or shed, the request counts as run as soon as it arrives.
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
	case "failed":
		return nil, errNetwork
	case "truncated":
		resp.Body = io.NopCloser(io.MultiReader(io.LimitReader(body, 70_000), failingReader{}))
	}
	if !n.alive() || r.Context().Err() != nil {
		return nil, errNetwork
	}
	return resp, nil
}

// answerTo returns the answer to a request, which is longer than the part that the handler buffers.
func answerTo(name string) string { return strings.Repeat(name+" ", 100_000/(len(name)+1)) }

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errNetwork }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// peer sends a request to another agent through the faulty network.
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
	deliverDelayed := func() {
		time.Sleep(300 * time.Millisecond)
		_, _ = deliver(context.Background())
	}
	switch r.Header.Get("X-Peer") {
	case "lostRequest":
		sleep(ctx, 50*time.Millisecond)
		return nil, errNetwork
	case "delayed":
		go deliverDelayed()
		return nil, errNetwork
	case "duplicated":
		// Only a request that is sent to the home of its key may arrive twice; for others the transport
		// prevents it.
		if r.Header.Get(dispatch.HeaderHandover) == "home" {
			go deliverDelayed()
		}
	}
	resp, err := deliver(ctx)
	if err != nil || !n.alive() || r.Header.Get("X-Peer") == "lostAnswer" {
		return nil, errNetwork
	}
	return resp, nil
}

// serve calls a handler of the node as an HTTP server would. An aborted answer gets a body that fails.
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

// send sends a request to an agent once and records the outcome that the caller receives.
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
		require.Equal(f.t, answerTo(name), string(body), "the answer is incomplete or belongs to another request")
		f.answered[name]++
	case "not-run":
		f.refused[name] = true
	default:
		require.Equal(f.t, "unknown", resp.Header.Get(header.Outcome))
	}
}

// check requires that no request ran twice, that none with the outcome not-run ran, and that each answered
// request ran.
func (f *fleet) check(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.runs {
		require.LessOrEqual(t, n, 1, "request %s ran twice", name)
		require.False(t, f.refused[name], "request %s ran and its outcome was not-run", name)
	}
	for name := range f.answered {
		require.Equal(t, 1, f.runs[name], "request %s was answered but did not run exactly once", name)
	}
}
