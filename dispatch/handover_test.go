package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/header"
)

// Guards against callers of a draining agent that are refused, and have to wait for a second, while all slots
// of its peers are busy for a few milliseconds.
func TestDrainingAgentQueuesOnBusyPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := dispatch.New(agentConfig(func(*http.Request) (*http.Response, error) {
			time.Sleep(5 * time.Millisecond)
			return answer(http.StatusOK, "peer"), nil
		}))
		cfg := withPeer(agentConfig(nil), peer)
		cfg.AcceptsWork = func() bool { return false }
		draining := dispatch.New(cfg)
		outcomes := make(chan string, 4)
		for range cap(outcomes) {
			go func() { outcomes <- outcome(call(draining, http.MethodGet, "/", nil)) }()
		}
		for range cap(outcomes) {
			require.Equal(t, "answered", <-outcomes)
		}
	})
}

// Guards against uneven use of the upstreams while each has free slots, and against handing over a request
// although the peer is as busy as the sender.
func TestLessLoadedPeerIsPreferredToFreeSlot(t *testing.T) {
	for _, c := range []struct {
		busyPeer    bool
		local, peer int64
	}{{busyPeer: false, local: 1, peer: 1}, {busyPeer: true, local: 2, peer: 1}} {
		synctest.Test(t, func(t *testing.T) {
			var local, remote atomic.Int64
			slow := func(n *atomic.Int64) func(*http.Request) (*http.Response, error) {
				return func(*http.Request) (*http.Response, error) {
					n.Add(1)
					time.Sleep(time.Second)
					return answer(http.StatusOK, "done"), nil
				}
			}
			peer := dispatch.New(agentConfig(slow(&remote)))
			h := dispatch.New(withPeer(agentConfig(slow(&local)), peer))
			if c.busyPeer {
				go call(peer, http.MethodGet, "/", nil)
				synctest.Wait()
			}
			for range 2 {
				go call(h, http.MethodGet, "/", nil)
				synctest.Wait()
			}
			require.Equal(t, []int64{c.local, c.peer}, []int64{local.Load(), remote.Load()})
			time.Sleep(time.Minute)
		})
	}
}

// withPeer returns cfg with one peer.
func withPeer(cfg dispatch.Config, peer *dispatch.Handler) dispatch.Config {
	cfg.Peers = func() []dispatch.PeerInfo {
		return []dispatch.PeerInfo{{Addr: netip.MustParseAddrPort("10.0.0.9:700"), Slots: 2}}
	}
	cfg.Peer = func(_ context.Context, _ netip.AddrPort, r *http.Request) (*http.Response, error) {
		w := httptest.NewRecorder()
		peer.PeerHandler().ServeHTTP(w, r)
		return w.Result(), nil
	}
	return cfg
}

// queueFleet returns a draining agent with four peers, which answer handed-over requests by the function answer,
// and the number of requests with the hand-over "queue" that each peer got.
func queueFleet(answer func(peer int, handover string) (*http.Response, error)) (h *dispatch.Handler, got []int, trail *audit.Trail) {
	got, trail = make([]int, 4), discardTrail()
	cfg := agentConfig(nil)
	cfg.AcceptsWork = func() bool { return false }
	cfg.Trail = trail
	cfg.Peers = func() (peers []dispatch.PeerInfo) {
		for i := range got {
			peers = append(peers, dispatch.PeerInfo{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 700), Slots: 2})
		}
		return peers
	}
	cfg.Peer = func(_ context.Context, addr netip.AddrPort, r *http.Request) (*http.Response, error) {
		peer, handover := int(addr.Addr().As4()[3]), r.Header.Get(dispatch.HeaderHandover)
		if handover == "queue" {
			got[peer]++
		}
		return answer(peer, handover)
	}
	return dispatch.New(cfg), got, trail
}

// reply returns an answer of a peer.
func reply(outcome, load string) *http.Response {
	resp := answer(http.StatusOK, "peer")
	resp.Header.Set(header.Outcome, outcome)
	resp.Header.Set(dispatch.HeaderLoad, load)
	return resp
}

// Guards against requests that are handed over to the queue of a peer that accepts none, because its report of
// no slots in use looks like the least load, and are refused although other peers accept them.
func TestQueueOnPeerAvoidsPeersWithoutSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, got, _ := queueFleet(func(peer int, handover string) (*http.Response, error) {
			if peer != 0 {
				return reply("not-run", "0,0,0,0,0,0,0"), nil
			}
			if handover == "queue" {
				return reply("answered", "2,1,2,0,3,0,2000"), nil
			}
			return reply("not-run", "2,1,2,0,3,0,2000"), nil
		})
		for range 5 {
			call(h, http.MethodGet, "/", nil)
		}
		clear(got)
		for range 20 {
			require.Equal(t, "answered", outcome(call(h, http.MethodGet, "/", nil)))
		}
		require.Equal(t, []int{20, 0, 0, 0}, got)
	})
}

// Guards against a refusal because a single peer is unreachable.
func TestQueueOnPeerTriesAnotherPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _, _ := queueFleet(func(peer int, handover string) (*http.Response, error) {
			switch {
			case peer == 0:
				return nil, &dispatch.NotSentError{Err: errNetwork}
			case handover == "queue":
				return reply("answered", "2,1,2,0,0,0,2000"), nil
			}
			return reply("not-run", "2,1,2,0,0,0,2000"), nil
		})
		for range 100 {
			require.Equal(t, "answered", outcome(call(h, http.MethodGet, "/", nil)))
		}
	})
}

// Guards against the ejection of a healthy upstream because requests waited in its queue.
func TestQueueTimeIsNotMeasuredAsLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, got, trail := queueFleet(func(peer int, handover string) (*http.Response, error) {
			if handover != "queue" {
				return reply("not-run", "2,1,2,0,0,0,2000"), nil
			}
			time.Sleep(5 * time.Millisecond)
			if peer == 0 {
				time.Sleep(95 * time.Millisecond)
			}
			return reply("answered", "2,1,2,0,0,0,2000"), nil
		})
		for range 200 {
			call(h, http.MethodGet, "/", nil)
		}
		require.Greater(t, slices.Min(got), 10)
		for _, e := range trail.Recent() {
			require.NotEqual(t, "eject", e.Action, e.Reason)
		}
	})
}

// Guards against a peer that does not answer, or fails, and gets one request after another because there is
// no report of its load, while the local upstream has a free slot.
func TestUnresponsivePeerGetsFewRequests(t *testing.T) {
	for name, delay := range map[string]time.Duration{"unresponsive": 3 * time.Second, "failing": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var attempts atomic.Int64
				cfg := withPeer(agentConfig(func(*http.Request) (*http.Response, error) {
					time.Sleep(150 * time.Millisecond)
					return answer(http.StatusOK, "local"), nil
				}), nil)
				cfg.Peer = func(context.Context, netip.AddrPort, *http.Request) (*http.Response, error) {
					attempts.Add(1)
					time.Sleep(delay)
					return nil, &dispatch.NotSentError{Err: errNetwork}
				}
				h := dispatch.New(cfg)
				for range 10 {
					go call(h, http.MethodGet, "/", nil)
					time.Sleep(100 * time.Millisecond)
				}
				require.EqualValues(t, 1, attempts.Load(), "within 1 s")
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against callers that wait for a whole second because a peer's refusal was passed on without its
// Retry-After in milliseconds.
func TestPeerRefusalKeepsRetryAfterMilliseconds(t *testing.T) {
	h, _, _ := queueFleet(func(int, string) (*http.Response, error) {
		resp := reply("not-run", "2,1,2,0,0,0,2000")
		resp.Header.Set("Retry-After", "1")
		resp.Header.Set(header.RetryAfter, "150")
		return resp, nil
	})
	require.Equal(t, "150", call(h, http.MethodGet, "/", nil).Header.Get(header.RetryAfter))
}
