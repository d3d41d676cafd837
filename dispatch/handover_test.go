package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/dispatch"
)

// Guards against callers of a draining agent that are refused, and wait a
// second, while its peers are busy for some milliseconds.
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

// Guards against uneven use of the upstreams while each has free slots, and against
// work that is moved although the peer is as busy as the sender.
func TestFreeSlotGivesWayToLessLoadedPeer(t *testing.T) {
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

// withPeer adds one peer.
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
