package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
		cfg := agentConfig(nil)
		cfg.AcceptsWork = func() bool { return false }
		cfg.Peers = func() []dispatch.PeerInfo {
			return []dispatch.PeerInfo{{Addr: netip.MustParseAddrPort("10.0.0.9:700"), Slots: 2}}
		}
		cfg.Peer = func(_ context.Context, _ netip.AddrPort, r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			peer.PeerHandler().ServeHTTP(w, r)
			return w.Result(), nil
		}
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
