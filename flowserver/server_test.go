package flowserver_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flowserver"
	"endiveflow.example/endiveflow/h3conn"
	"endiveflow.example/endiveflow/testkit"
)

func listen(t testing.TB) *testkit.Lossy { return testkit.ListenLossy(t, "127.0.0.1:0") }

func start(t testing.TB, cfg flowserver.Config) *flowserver.Server {
	t.Helper()
	cfg.TLS, _ = testkit.ServiceTLS(t)
	s, err := flowserver.New(cfg)
	require.NoError(t, err)
	testkit.Run(t, s.Run)
	return s
}

func dial(t testing.TB, addr netip.AddrPort, cfg h3conn.Config) *h3conn.Conn {
	t.Helper()
	if cfg.TLS == nil {
		_, cfg.TLS = testkit.ServiceTLS(t)
	}
	conn, err := h3conn.Dial(t.Context(), addr, cfg)
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	return conn
}

func get(ctx context.Context, c *h3conn.Conn, path string) (string, error) {
	return testkit.Body(c.Do(httptest.NewRequest(http.MethodGet, "https://rota"+path, nil).WithContext(ctx)))
}

// slowHandler answers requests to /long after release is closed, and all others immediately.
type slowHandler struct {
	started, release chan struct{}
}

func (h slowHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/long" {
		h.started <- struct{}{}
		select {
		case <-h.release:
		case <-r.Context().Done():
		}
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// Shutdown must let requests in flight finish, reject later ones unread and close the flows. A cut answer
// would be a broken flow for its caller.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	h := slowHandler{make(chan struct{}, 1), make(chan struct{})}
	p := listen(t)
	s := start(t, flowserver.Config{PacketConn: p, Handler: h})
	busy, idle := dial(t, p.Addr(), h3conn.Config{}), dial(t, p.Addr(), h3conn.Config{})
	type result struct {
		body string
		err  error
	}
	answer := make(chan result, 1)
	go func() {
		body, err := get(t.Context(), busy, "/long")
		answer <- result{body, err}
	}()
	<-h.started
	// The server registers a flow slightly later than the caller.
	require.Eventually(t, func() bool { return s.Flows() == 2 }, 5*time.Second, time.Millisecond)
	s.Drain()
	<-idle.Ended()
	_, err := get(t.Context(), busy, "/")
	require.ErrorIs(t, err, h3conn.ErrNotSent)
	body, err := get(t.Context(), dial(t, p.Addr(), h3conn.Config{}), "/late")
	require.NoError(t, err, "a draining server still accepts new flows")
	require.Equal(t, "/late", body)

	report := make(chan flowserver.ShutdownReport, 1)
	go func() { report <- s.Shutdown(t.Context()) }()
	require.Never(t, func() bool { return len(report) > 0 }, 50*time.Millisecond, 5*time.Millisecond)
	close(h.release)
	require.Equal(t, result{body: "/long"}, <-answer)
	require.Zero(t, <-report)
	require.Zero(t, s.Flows())
}

// Requests and flows that Shutdown cuts when its context ends must be counted, since operators watch these
// counts most.
func TestShutdownReportsCutRequests(t *testing.T) {
	h := slowHandler{make(chan struct{}, 3), make(chan struct{})}
	p := listen(t)
	s := start(t, flowserver.Config{PacketConn: p, Handler: h})
	conns := []*h3conn.Conn{dial(t, p.Addr(), h3conn.Config{}), dial(t, p.Addr(), h3conn.Config{}), dial(t, p.Addr(), h3conn.Config{})}
	failed := make(chan error, 3)
	for _, c := range []*h3conn.Conn{conns[0], conns[0], conns[1]} {
		go func() {
			_, err := get(t.Context(), c, "/long")
			failed <- err
		}()
		<-h.started
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Equal(t, flowserver.ShutdownReport{Flows: 2, Requests: 3}, s.Shutdown(ctx))
	for range 3 {
		err := <-failed
		require.Error(t, err)
		require.NotErrorIs(t, err, h3conn.ErrNotSent)
	}
}

// Draining many flows with requests in flight must lose no request: each one is answered, or fails as not
// sent.
func TestDrainUnderLoad(t *testing.T) {
	var ran atomic.Int64
	p := listen(t)
	s := start(t, flowserver.Config{
		PacketConn:  p,
		DrainSpread: func() time.Duration { return 100 * time.Millisecond },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			ran.Add(1)
			_, _ = w.Write(make([]byte, 5000))
		}),
	})
	results := make(chan error)
	var answered atomic.Int64
	const flows = 40
	for range flows {
		c := dial(t, p.Addr(), h3conn.Config{})
		go func() {
			for {
				body, err := get(t.Context(), c, "/")
				if err == nil && len(body) != 5000 {
					err = errors.Errorf("answer of %d bytes", len(body))
				}
				if err != nil {
					results <- err
					return
				}
				answered.Add(1)
			}
		}()
	}
	// A flow accepted after Drain would get no GOAWAY before Shutdown.
	require.Eventually(t, func() bool { return answered.Load() > 500 && s.Flows() == flows }, 20*time.Second, time.Millisecond)
	s.Drain()
	for range flows {
		require.ErrorIs(t, <-results, h3conn.ErrNotSent)
	}
	require.Equal(t, ran.Load(), answered.Load())
	require.Zero(t, s.Shutdown(t.Context()))
}

// Callers that move to another agent of the service must be able to resume their session instead of
// performing a full handshake.
func TestSessionResumesAtAnotherServer(t *testing.T) {
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	keys := [][32]byte{{1}}
	first, second, other := listen(t), listen(t), listen(t)
	start(t, flowserver.Config{PacketConn: first, Handler: handler, TicketKeys: keys})
	start(t, flowserver.Config{PacketConn: second, Handler: handler, TicketKeys: keys})
	start(t, flowserver.Config{PacketConn: other, Handler: handler, TicketKeys: [][32]byte{{2}}})
	_, clientTLS := testkit.ServiceTLS(t)
	clientTLS.ClientSessionCache = tls.NewLRUClientSessionCache(8)
	resumed := func(p *testkit.Lossy) bool {
		c := dial(t, p.Addr(), h3conn.Config{TLS: clientTLS})
		_, err := get(t.Context(), c, "/")
		require.NoError(t, err)
		return c.State().TLS.DidResume
	}
	require.False(t, resumed(first))
	require.True(t, resumed(second))
	require.False(t, resumed(other))
}

// After a restart, callers must get a stateless reset immediately instead of waiting for a timeout.
func TestRestartResetsFlowsOfTheFormerIncarnation(t *testing.T) {
	reset := &quic.StatelessResetKey{7}
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	p := listen(t)
	serverTLS, _ := testkit.ServiceTLS(t)
	crashing, err := flowserver.New(flowserver.Config{PacketConn: p, TLS: serverTLS, Handler: handler, StatelessResetKey: reset})
	require.NoError(t, err)
	crashed := crashing.Run(t.Context())
	c := dial(t, p.Addr(), h3conn.Config{})
	_, err = get(t.Context(), c, "/")
	require.NoError(t, err)
	require.NoError(t, p.Close())
	<-crashed
	start(t, flowserver.Config{PacketConn: testkit.ListenLossy(t, p.Addr().String()), Handler: handler, StatelessResetKey: reset})
	begin := time.Now()
	_, err = get(t.Context(), c, "/")
	elapsed := time.Since(begin)
	var statelessReset *quic.StatelessResetError
	require.ErrorAs(t, err, &statelessReset)
	require.Less(t, elapsed, time.Second)
	t.Logf("flow reset after %s", elapsed)
}

// A Retry, which agents send under high load, must not break the handshake.
func TestRetryUnderLoad(t *testing.T) {
	p := listen(t)
	var calls atomic.Int64
	start(t, flowserver.Config{
		PacketConn:          p,
		Handler:             http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		TokenKey:            &quic.TokenGeneratorKey{3},
		VerifySourceAddress: func(net.Addr) bool { calls.Add(1); return true },
	})
	_, err := get(t.Context(), dial(t, p.Addr(), h3conn.Config{}), "/")
	require.NoError(t, err)
	require.Positive(t, calls.Load())
}
