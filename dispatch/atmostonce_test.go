package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/header"
)

// scenario drives a fleet by random steps.
type scenario struct {
	fleet *fleet
	keys  map[string]string
	names []string
}

func (s *scenario) node(t *rapid.T) *node {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 3).Draw(t, "agent"))}), 700)
	return s.fleet.node(addr)
}

func (s *scenario) request(t *rapid.T) {
	n := s.node(t)
	name := fmt.Sprintf("request-%d", len(s.names))
	key, err := n.issue()
	if err != nil {
		return
	}
	s.names = append(s.names, name)
	s.keys[name] = key
	s.send(t, name)
}

// issue requests a key from an agent.
func (n *node) issue() (string, error) {
	if n.frozen() {
		return "", errNetwork
	}
	resp, err := n.serve(n.handler, httptest.NewRequest(http.MethodPost, "/claims", nil))
	if err != nil || resp.StatusCode != http.StatusPreconditionRequired {
		return "", errNetwork
	}
	return resp.Header.Get(header.Key), nil
}

func (n *node) frozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resumed != nil || n.dead
}

func (s *scenario) repeat(t *rapid.T) {
	if len(s.names) > 0 {
		newest := min(len(s.names), 5)
		s.send(t, s.names[len(s.names)-1-rapid.IntRange(0, newest-1).Draw(t, "name")])
	}
}

func (s *scenario) send(t *rapid.T, name string) {
	n := s.node(t)
	peerFault := rapid.SampledFrom([]string{"", "", "", "lostRequest", "lostAnswer", "delayed", "duplicated"}).Draw(t, "peerFault")
	upstreamFault := rapid.SampledFrom([]string{"", "", "", "slow", "slow", "hang", "failed", "truncated", "notSent", "shed"}).Draw(t, "upstreamFault")
	deadline := rapid.IntRange(0, 8000).Draw(t, "deadline")
	// The caller cancels its request after this time, often before the request has got a slot.
	callerTimeout := time.Duration(rapid.SampledFrom([]int{20, 200, 60_000, 60_000}).Draw(t, "callerTimeout")) * time.Millisecond
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		s.fleet.send(ctx, n, name, s.keys[name], peerFault, upstreamFault, deadline)
	}()
	synctest.Wait()
}

// drain sets whether an agent is draining. It mostly sets it to draining, since only a draining agent hands
// requests over to the queues of peers.
func (s *scenario) drain(t *rapid.T) {
	n := s.node(t)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = rapid.IntRange(0, 2).Draw(t, "draining") > 0
}

// burst sends more requests than the fleet has slots.
func (s *scenario) burst(t *rapid.T) {
	for range 6 {
		s.request(t)
	}
}

func (s *scenario) kill(t *rapid.T) {
	if n := s.node(t); rapid.IntRange(0, 1).Draw(t, "kill") == 0 {
		s.fleet.start(n.self.Peer)
		n.resume(true)
	}
}

func (s *scenario) handOver(t *rapid.T) {
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

// settle resumes all agents and waits until all requests in progress have ended.
func (s *scenario) settle() {
	for _, n := range s.fleet.nodes {
		n.resume(false)
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

// checkSlots requires that all slots are free and all queues empty.
func (s *scenario) checkSlots(t *testing.T) {
	for _, n := range s.fleet.nodes {
		load := n.handler.Load()
		require.Zero(t, load.InUse()+load.Queued())
	}
}

// Guards against a request that runs twice, one that runs although its outcome was not-run, and an
// answer that is incomplete or belongs to another request. The steps include kills, freezes, resumes and drains
// of agents, hand-overs of ledgers and of requests, callers that cancel, requests repeated on other agents,
// and requests and answers that are lost, delayed or duplicated.
func TestAtMostOnce(t *testing.T) {
	total := struct{ runs, refused, repeats, lessLoaded, queued int }{}
	synctest.Test(t, func(t *testing.T) {
		// rapid would call T.Deadline, which a synctest bubble does not allow; testing.TB has no such method.
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			s := &scenario{fleet: newFleet(t, 3), keys: map[string]string{}}
			defer s.settle()
			rt.Repeat(map[string]func(*rapid.T){
				"request": s.request, "request2": s.request, "repeat": s.repeat, "repeat2": s.repeat,
				"kill": s.kill, "handOver": s.handOver,
				"freeze": func(rt *rapid.T) { s.node(rt).freeze() },
				"resume": func(rt *rapid.T) { s.node(rt).resume(false) },
				"drain":  s.drain, "burst": s.burst,
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
			total.lessLoaded += s.fleet.handovers["lighter"]
			total.queued += s.fleet.handovers["queue"]
			for _, n := range s.fleet.answered {
				total.repeats += n - 1
			}
		})
	})
	t.Logf("%+v", total)
	require.Greater(t, min(total.runs, total.refused, total.repeats), 100, "the steps lead to too few runs, refusals or repeats")
	require.Greater(t, min(total.lessLoaded, total.queued), 50, "the steps lead to too few hand-overs")
}
