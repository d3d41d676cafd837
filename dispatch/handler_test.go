package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/header"
)

var errUpstream = errors.New("upstream failed")

// Guards against an upstream that continues to run a request that its caller cancelled, and against a
// deadline that is not passed on to the next hop or is extended.
func TestDeadlineAndCancellationReachUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sentDeadline string
		ended := make(chan error, 1)
		h := dispatch.New(agentConfig(func(r *http.Request) (*http.Response, error) {
			sentDeadline = r.Header.Get(header.Deadline)
			<-r.Context().Done()
			ended <- r.Context().Err()
			return nil, r.Context().Err()
		}))
		begin := time.Now()
		resp := call(h, http.MethodGet, "/", map[string]string{header.Deadline: "700"})
		require.Equal(t, 700*time.Millisecond, time.Since(begin))
		require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
		require.Equal(t, "unknown", outcome(resp))
		require.Equal(t, context.DeadlineExceeded, <-ended)
		ms, err := strconv.Atoi(sentDeadline)
		require.NoError(t, err)
		require.Less(t, ms, 700)
		require.Greater(t, ms, 600)

		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		callContext(ctx, h, http.MethodGet, "/", nil)
		require.Equal(t, context.Canceled, <-ended)
		require.Zero(t, h.Load().InUse(), "cancelled requests hold no slot")
	})
}

// Guards against a run with a key that is cancelled with its caller's connection, and against a repeated
// request that runs again or gets a different answer.
func TestRepeatedRequestGetsTheSavedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		h := dispatch.New(agentConfig(func(r *http.Request) (*http.Response, error) {
			runs++
			select {
			case <-r.Context().Done():
				return nil, r.Context().Err()
			case <-time.After(time.Second):
				return answer(http.StatusCreated, "claim "+strconv.Itoa(runs)), nil
			}
		}))
		header := map[string]string{header.Key: call(h, http.MethodPost, "/claims", nil).Header.Get(header.Key)}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.Equal(t, "unknown", outcome(callContext(ctx, h, http.MethodPost, "/claims", header)))
		for range 2 {
			resp := call(h, http.MethodPost, "/claims", header)
			require.Equal(t, "answered", outcome(resp))
			require.Equal(t, http.StatusCreated, resp.StatusCode)
		}
		other := call(h, http.MethodPost, "/swaps", header)
		require.Equal(t, "unknown 422", outcome(other)+" "+strconv.Itoa(other.StatusCode), "the key of another request")
		require.Equal(t, 1, runs)
		require.NoError(t, h.Shutdown(t.Context()))
	})
}

// Guards against a cancelled request that stays in the queue, and against queued requests that are refused
// only at their deadline.
func TestQueuedRequestIsCancelledOrRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := dispatch.New(agentConfig(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}))
		ctx, cancel := context.WithCancel(t.Context())
		for range 2 {
			go callContext(ctx, h, http.MethodGet, "/", nil)
		}
		synctest.Wait()
		queuedCtx, cancelQueued := context.WithCancel(t.Context())
		go callContext(queuedCtx, h, http.MethodGet, "/", nil)
		synctest.Wait()
		require.Equal(t, admit.Load{Slots: 2, Reserved: 1, ShortInUse: 2, ShortQueued: 1}, h.Load())
		cancelQueued()
		synctest.Wait()
		require.Zero(t, h.Load().Queued())

		begin := time.Now()
		resp := call(h, http.MethodGet, "/", nil)
		require.Equal(t, "not-run", outcome(resp))
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.Less(t, time.Since(begin), time.Second, "the deadline is 10 s away")
		cancel()
		synctest.Wait()
	})
}

// Guards against a retry storm when all upstreams fail, for each kind of failure.
func TestOutageAttemptsStayWithinBudget(t *testing.T) {
	for name, fail := range map[string]func() (*http.Response, error){
		"failed":  func() (*http.Response, error) { return nil, errUpstream },
		"notSent": func() (*http.Response, error) { return nil, &dispatch.NotSentError{Err: errUpstream} },
		"shed": func() (*http.Response, error) {
			resp := answer(http.StatusServiceUnavailable, "")
			resp.Header.Set(header.Shed, "1")
			return resp, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int64
			handlers := pool(3, func(int, *http.Request) (*http.Response, error) {
				attempts.Add(1)
				return fail()
			})
			const requests = 3000
			for i := range requests {
				require.NotEqual(t, "answered", outcome(call(handlers[i%3], http.MethodGet, "/", nil)))
			}
			require.LessOrEqual(t, attempts.Load(), int64(1.1*requests))
			require.GreaterOrEqual(t, attempts.Load(), int64(requests), "all are unhealthy, so all are used")
		})
	}
}

// pool returns n agents with the built-in policy that hand requests over to each other.
func pool(n int, upstream func(agent int, r *http.Request) (*http.Response, error)) []*dispatch.Handler {
	infos := make([]dispatch.PeerInfo, n)
	handlers := make([]*dispatch.Handler, n)
	byAddr := map[netip.AddrPort]*dispatch.Handler{}
	for i := range n {
		infos[i] = dispatch.PeerInfo{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 700), Slots: 2}
		cfg := agentConfig(func(r *http.Request) (*http.Response, error) { return upstream(i, r) })
		cfg.Self.Peer = infos[i].Addr
		cfg.Policy = config.BuiltinPolicy
		cfg.Peers = func() []dispatch.PeerInfo { return infos }
		cfg.Peer = func(_ context.Context, addr netip.AddrPort, r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			byAddr[addr].PeerHandler().ServeHTTP(w, r)
			return w.Result(), nil
		}
		handlers[i] = dispatch.New(cfg)
		byAddr[infos[i].Addr] = handlers[i]
	}
	return handlers
}

// Guards against an upstream that reports itself healthy but fails or sheds its requests: it would seem idle
// and attract more and more of them.
func TestFailingUpstreamThatReportsHealthyIsAvoided(t *testing.T) {
	for name, status := range map[string]int{"fails": http.StatusInternalServerError, "sheds": http.StatusServiceUnavailable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				failingRequests := 0
				handlers := pool(4, func(agent int, _ *http.Request) (*http.Response, error) {
					if agent > 0 {
						return answer(http.StatusOK, "ok"), nil
					}
					failingRequests++
					resp := answer(status, "")
					resp.Header.Set(header.Shed, "1")
					return resp, nil
				})
				for range 500 {
					handlers[0].RecordHealth(true)
					call(handlers[0], http.MethodGet, "/", nil)
					time.Sleep(10 * time.Millisecond)
				}
				// It is ejected after 5 consecutive failures or 10 shed requests, and verdicts are up to 100 ms old.
				require.LessOrEqual(t, failingRequests, 25)
				good := call(handlers[0], http.MethodGet, "/", nil)
				require.Equal(t, http.StatusOK, good.StatusCode)
				for _, h := range handlers[1:] {
					h.SetSlots(0)
				}
				failingRequests = 0
				require.Equal(t, "not-run", outcome(call(handlers[0], http.MethodGet, "/", nil)))
				require.Zero(t, failingRequests, "the unhealthy upstream is not used even without a free peer")
			})
		})
	}
}

// Guards against the outcome not-run when a retry was not sent but the first attempt may have run.
func TestUnsentRetryKeepsUnknownOutcome(t *testing.T) {
	attempts := 0
	h := dispatch.New(agentConfig(func(*http.Request) (*http.Response, error) {
		attempts++
		if attempts == 1 {
			return nil, errUpstream
		}
		return nil, &dispatch.NotSentError{Err: errUpstream}
	}))
	require.Equal(t, "unknown", outcome(call(h, http.MethodGet, "/", nil)))
	require.Equal(t, 2, attempts)
}

// Guards against requests that run on a draining upstream, and against requests refused while peers have
// free slots.
func TestDrainingAgentRunsRequestsOnPeers(t *testing.T) {
	var local atomic.Int64
	handlers := pool(2, func(int, *http.Request) (*http.Response, error) { return answer(http.StatusOK, "peer"), nil })
	cfg := agentConfig(func(*http.Request) (*http.Response, error) {
		local.Add(1)
		return answer(http.StatusOK, "local"), nil
	})
	cfg.AcceptsWork = func() bool { return false }
	cfg.Peers = func() []dispatch.PeerInfo {
		return []dispatch.PeerInfo{{Addr: netip.MustParseAddrPort("10.0.0.9:700"), Slots: 2}}
	}
	cfg.Peer = func(_ context.Context, _ netip.AddrPort, r *http.Request) (*http.Response, error) {
		w := httptest.NewRecorder()
		handlers[0].PeerHandler().ServeHTTP(w, r)
		return w.Result(), nil
	}
	h := dispatch.New(cfg)
	require.Equal(t, "answered", outcome(call(h, http.MethodGet, "/", nil)))
	resp := post(h, nil)
	require.Equal(t, "answered", outcome(resp))
	require.Empty(t, resp.Header.Get(dispatch.HeaderLoad), "the load is for agents only")
	handedOver := call(h.PeerHandler(), http.MethodGet, "/", nil)
	require.Equal(t, "not-run", outcome(handedOver))
	require.Equal(t, "0,1,0,0,0,0,0", handedOver.Header.Get(dispatch.HeaderLoad))
	require.Zero(t, local.Load())
}

// Guards against bodies of unlimited size, and against the outcome not-run for a request with a key of which
// an earlier attempt may have run.
func TestBodyIsBounded(t *testing.T) {
	cfg := agentConfig(func(*http.Request) (*http.Response, error) { return answer(http.StatusOK, ""), nil })
	cfg.MaxBodyBytes = 10
	h := dispatch.New(cfg)
	for key, want := range map[string]string{"": "not-run", "a key": "unknown"} {
		r := httptest.NewRequest(http.MethodPut, "/", strings.NewReader("more than ten bytes"))
		r.Header.Set(header.Key, key)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		require.Equal(t, http.StatusRequestEntityTooLarge, w.Code)
		require.Equal(t, want, outcome(w.Result()))
	}
}

// Guards against internal headers that a caller or an upstream has set and that would be taken for an agent's.
func TestInternalHeadersAreNotForwarded(t *testing.T) {
	h := dispatch.New(agentConfig(func(r *http.Request) (*http.Response, error) {
		require.Empty(t, r.Header.Get(dispatch.HeaderHandover))
		require.Empty(t, r.Header.Get("X-Hop"))
		resp := answer(http.StatusOK, "")
		resp.Header.Set(header.Outcome, "not-run")
		resp.Header.Set(header.Key, "forged")
		return resp, nil
	}))
	resp := call(h, http.MethodGet, "/", map[string]string{
		dispatch.HeaderHandover: "home", "Connection": "x-hop", "X-Hop": "1",
	})
	require.Equal(t, []string{"answered"}, resp.Header.Values(header.Outcome))
	require.Empty(t, resp.Header.Get(header.Key))
}

// Guards against a panic in Config.Upstream or Config.Peer: in a run with a key it would end the process, and
// in any other run the slot would never be freed.
func TestPanicHasUnknownOutcome(t *testing.T) {
	panicInCall := func(*http.Request) (*http.Response, error) { panic("fault") }
	panicInBody := func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(panickingReader{})}, nil
	}
	for name, upstream := range map[string]func(*http.Request) (*http.Response, error){"call": panicInCall, "body": panicInBody} {
		t.Run(name, func(t *testing.T) {
			h := dispatch.New(agentConfig(upstream))
			for range 3 {
				require.Equal(t, "unknown", outcome(post(h, nil)))
				require.Equal(t, "unknown", outcome(call(h, http.MethodGet, "/", nil)))
			}
			require.Zero(t, h.Load().InUse())
		})
	}
	t.Run("peer", func(t *testing.T) {
		h := dispatch.New(withPeer(agentConfig(nil), nil))
		h.SetSlots(0)
		require.Equal(t, "unknown", outcome(post(h, nil)))
	})
}

type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic("fault") }
