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
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/dispatch"
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
		answered: map[string]int{}, successors: map[uint64]netip.AddrPort{},
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
		return &http.Response{StatusCode: 503, Header: http.Header{dispatch.HeaderShed: {"1"}}, Body: http.NoBody}, nil
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
		return to.serve(to.handler.PeerHandler(), copied)
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
func (f *fleet) send(n *node, name, key, peerFault, upstreamFault string, deadline int) {
	r := httptest.NewRequest(http.MethodPost, "/claims", strings.NewReader("body"))
	r.Header.Set("X-Request", name)
	r.Header.Set("X-Peer", peerFault)
	r.Header.Set("X-Upstream", upstreamFault)
	r.Header.Set(dispatch.HeaderKey, key)
	r.Header.Set(dispatch.HeaderDeadline, fmt.Sprint(deadline))
	resp, err := n.serve(n.handler, r)
	if err != nil {
		return
	}
	body, err := io.ReadAll(resp.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch resp.Header.Get(dispatch.HeaderOutcome) {
	case "answered":
		require.NoError(f.t, err)
		require.Equal(f.t, answerTo(name), string(body), "an answer that is not the whole answer to its request")
		f.answered[name]++
	case "not-run":
		f.refused[name] = true
	default:
		require.Equal(f.t, "unknown", resp.Header.Get(dispatch.HeaderOutcome))
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

// story drives a fleet by random steps.
type story struct {
	fleet *fleet
	keys  map[string]string
	names []string
}

func (s *story) node(t *rapid.T) *node {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 3).Draw(t, "agent"))}), 700)
	return s.fleet.node(addr)
}

func (s *story) request(t *rapid.T) {
	n := s.node(t)
	name := fmt.Sprintf("request-%d", len(s.names))
	resp, err := n.issue()
	if err != nil {
		return
	}
	s.names = append(s.names, name)
	s.keys[name] = resp
	s.send(t, name)
}

// issue asks an agent for a key.
func (n *node) issue() (string, error) {
	if n.frozen() {
		return "", errNetwork
	}
	resp, err := n.serve(n.handler, httptest.NewRequest(http.MethodPost, "/claims", nil))
	if err != nil || resp.StatusCode != http.StatusPreconditionRequired {
		return "", errNetwork
	}
	return resp.Header.Get(dispatch.HeaderKey), nil
}

func (n *node) frozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resumed != nil || n.dead
}

func (s *story) repeat(t *rapid.T) {
	if len(s.names) > 0 {
		newest := min(len(s.names), 5)
		s.send(t, s.names[len(s.names)-1-rapid.IntRange(0, newest-1).Draw(t, "name")])
	}
}

func (s *story) send(t *rapid.T, name string) {
	n := s.node(t)
	peerFault := rapid.SampledFrom([]string{"", "", "", "lostRequest", "lostAnswer", "late", "duplicated"}).Draw(t, "peerFault")
	upstreamFault := rapid.SampledFrom([]string{"", "", "", "slow", "slow", "hang", "broken", "cut", "notSent", "shed"}).Draw(t, "upstreamFault")
	deadline := rapid.IntRange(0, 8000).Draw(t, "deadline")
	go s.fleet.send(n, name, s.keys[name], peerFault, upstreamFault, deadline)
	synctest.Wait()
}

func (s *story) kill(t *rapid.T) {
	if n := s.node(t); rapid.IntRange(0, 1).Draw(t, "kill") == 0 {
		s.fleet.start(n.self.Peer)
		n.resume(true)
	}
}

func (s *story) handOver(t *rapid.T) {
	n, to := s.node(t), s.node(t)
	if n == to || rapid.IntRange(0, 9).Draw(t, "handOver") > 0 {
		return
	}
	self, export := n.handler.ExportLedger()
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	require.NoError(s.fleet.t, to.handler.ImportLedger(self, export))
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.successors[self.Incarnation] = to.self.Peer
}

// settle lets everything under way come to its end.
func (s *story) settle() {
	for _, n := range s.fleet.nodes {
		n.resume(false)
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

// checkSlots guards against slots and places in the queue that are never given back.
func (s *story) checkSlots(t *testing.T) {
	for _, n := range s.fleet.nodes {
		load := n.handler.Load()
		require.Zero(t, load.InUse()+load.Queued())
	}
}

// Guards against a request that runs twice, one that runs after its caller was told "not run", and an
// answer that is incomplete or belongs to another request, over kills, freezes, resumes, drains, hand-overs,
// repeats on other agents, and requests and answers that are lost, late or duplicated.
func TestAtMostOnce(t *testing.T) {
	total := struct{ runs, refused, repeats int }{}
	synctest.Test(t, func(t *testing.T) {
		// rapid would ask for the deadline of the test, which a bubble does not allow; testing.TB has none.
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			s := &story{fleet: newFleet(t, 3), keys: map[string]string{}}
			defer s.settle()
			rt.Repeat(map[string]func(*rapid.T){
				"request": s.request, "request2": s.request, "repeat": s.repeat, "repeat2": s.repeat,
				"kill": s.kill, "handOver": s.handOver,
				"freeze": func(rt *rapid.T) { s.node(rt).freeze() },
				"resume": func(rt *rapid.T) { s.node(rt).resume(false) },
				"drain": func(rt *rapid.T) {
					n := s.node(rt)
					n.mu.Lock()
					n.draining = rapid.Bool().Draw(rt, "draining")
					n.mu.Unlock()
				},
				"pass": func(rt *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
				},
				"": func(*rapid.T) { s.fleet.check(t) },
			})
			s.settle()
			s.fleet.check(t)
			s.checkSlots(t)
			total.runs += len(s.fleet.runs)
			total.refused += len(s.fleet.refused)
			for _, n := range s.fleet.answered {
				total.repeats += n - 1
			}
		})
	})
	t.Logf("%+v", total)
	require.Greater(t, min(total.runs, total.refused, total.repeats), 100, "the steps reach too little")
}
