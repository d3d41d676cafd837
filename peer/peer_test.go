package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/peer"
	"endiveflow.example/endiveflow/testkit"
)

func listen(t testing.TB) *testkit.Lossy { return testkit.ListenLossy(t, "127.0.0.1:0") }

func startServer(t testing.TB, socket net.PacketConn, handler http.HandlerFunc) (*peer.Server, context.CancelFunc) {
	t.Helper()
	s, err := peer.NewServer(peer.ServerConfig{Ring: testkit.Ring(t, 1), LocalIP: testkit.Loopback, Socket: socket, Handler: handler})
	require.NoError(t, err)
	return s, testkit.Run(t, s.Run)
}

func newClient(t testing.TB, cfg peer.ClientConfig) *peer.Client {
	t.Helper()
	if cfg.Ring == nil {
		cfg.Ring = testkit.Ring(t, 1)
	}
	cfg.LocalIP = testkit.Loopback
	c, err := peer.NewClient(cfg)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// do sends a request and returns the body of the answer.
func do(ctx context.Context, c *peer.Client, addr netip.AddrPort, method, path string) (string, error) {
	return testkit.Body(c.Do(ctx, addr, httptest.NewRequest(method, path, strings.NewReader("lawn 7"))))
}

// Guards against reporting ErrNotSent for a request that the handler received, at whatever point it failed, and
// against running a request twice.
func TestFailedRequestNotSentOnlyIfNotRun(t *testing.T) {
	failures := map[string]http.HandlerFunc{
		"before the answer":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"short answer":       func(w http.ResponseWriter, _ *http.Request) { writeHalf(w, "10") },
		"cut without length": func(w http.ResponseWriter, _ *http.Request) { writeHalf(w, ""); panic(http.ErrAbortHandler) },
	}
	for name, handler := range failures {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				var runs atomic.Int32
				socket := listen(t)
				startServer(t, socket, func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					handler(w, r)
				})
				_, err := do(t.Context(), newClient(t, peer.ClientConfig{}), socket.Addr(), method, "/")
				require.Error(t, err)
				require.NotErrorIs(t, err, peer.ErrNotSent)
				require.EqualValues(t, 1, runs.Load())
			})
		}
	}
	t.Run("no server", func(t *testing.T) {
		c := newClient(t, peer.ClientConfig{ConnectTimeout: 100 * time.Millisecond})
		_, err := do(t.Context(), c, listen(t).Addr(), http.MethodPost, "/")
		require.ErrorIs(t, err, peer.ErrNotSent)
	})
	t.Run("foreign key", func(t *testing.T) {
		socket := listen(t)
		startServer(t, socket, func(http.ResponseWriter, *http.Request) { t.Error("a foreign request ran") })
		_, err := do(t.Context(), newClient(t, peer.ClientConfig{Ring: testkit.Ring(t, 2)}), socket.Addr(), http.MethodPost, "/")
		require.ErrorIs(t, err, peer.ErrNotSent)
	})
}

func writeHalf(w http.ResponseWriter, length string) {
	if length != "" {
		w.Header().Set("Content-Length", length)
	}
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
}

// Guards against reporting ErrNotSent for a request that ran, at whatever moment it was cancelled.
func TestCancelledRequestNotSentOnlyIfNotRun(t *testing.T) {
	var ran sync.Map
	socket := listen(t)
	s, _ := startServer(t, socket, func(_ http.ResponseWriter, r *http.Request) { ran.Store(r.URL.Path, true) })
	c := newClient(t, peer.ClientConfig{})
	_, err := do(t.Context(), c, socket.Addr(), http.MethodPost, "/warm")
	require.NoError(t, err)
	notSent := make(map[string]bool)
	for i := range 1000 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%250)*time.Microsecond)
		path := fmt.Sprint("/", i)
		_, err := do(ctx, c, socket.Addr(), http.MethodPost, path)
		notSent[path] = errors.Is(err, peer.ErrNotSent)
		cancel()
	}
	require.NoError(t, s.Shutdown(t.Context()))
	count := 0
	ran.Range(func(path, _ any) bool {
		count++
		return requireNotReportedNotSent(t, notSent[path.(string)], path)
	})
	require.Greater(t, count, 1)
}

func requireNotReportedNotSent(t *testing.T, notSent bool, path any) bool {
	t.Helper()
	require.False(t, notSent, "%s ran although ErrNotSent was reported", path)
	return true
}

// Guards against a silent connection that delays the next request, or that loses the answer in flight although
// its packets arrive again.
func TestSilentConnectionReplacedButAnswerKept(t *testing.T) {
	socket := listen(t)
	finish := make(chan struct{})
	closeFinish := sync.OnceFunc(func() { close(finish) })
	defer closeFinish()
	started := make(chan string, 1)
	startServer(t, socket, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			started <- r.RemoteAddr
			<-finish
		}
		_, _ = io.WriteString(w, r.RemoteAddr)
	})
	const silenceAfter = 400 * time.Millisecond
	c := newClient(t, peer.ClientConfig{SilenceAfter: silenceAfter})
	type result struct {
		body string
		err  error
	}
	answer := make(chan result, 1)
	go func() {
		body, err := do(t.Context(), c, socket.Addr(), http.MethodPost, "/long")
		answer <- result{body, err}
	}()
	old := <-started
	socket.Block(old)
	begin := time.Now()
	for port := old; port == old; {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		if body, err := do(ctx, c, socket.Addr(), http.MethodPost, "/short"); err == nil {
			port = body
		}
		cancel()
		require.Less(t, time.Since(begin), 2*silenceAfter)
	}
	socket.Unblock(old)
	closeFinish()
	require.Equal(t, result{body: old}, <-answer)
}

// Guards against taking a working connection for silent while its handler takes long to answer.
func TestSlowHandlerIsNotSilentConnection(t *testing.T) {
	socket := listen(t)
	ports := make(chan string, 2)
	startServer(t, socket, func(_ http.ResponseWriter, r *http.Request) {
		ports <- r.RemoteAddr
		if r.URL.Path == "/long" {
			time.Sleep(500 * time.Millisecond)
		}
	})
	c := newClient(t, peer.ClientConfig{SilenceAfter: 100 * time.Millisecond, KeepAlive: -1})
	_, err := do(t.Context(), c, socket.Addr(), http.MethodPost, "/long")
	require.NoError(t, err)
	_, err = do(t.Context(), c, socket.Addr(), http.MethodPost, "/")
	require.NoError(t, err)
	require.Equal(t, <-ports, <-ports)
}

// Guards against a shutdown that cuts requests in flight, or that refuses a request without ErrNotSent, which
// the sender needs in order to choose another peer.
func TestShutdownCompletesRequests(t *testing.T) {
	socket := listen(t)
	var runs atomic.Int64
	s, _ := startServer(t, socket, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		time.Sleep(time.Millisecond)
		_, _ = w.Write(make([]byte, 20000))
	})
	c := newClient(t, peer.ClientConfig{ConnectTimeout: time.Second})
	var answered atomic.Int64
	var senders sync.WaitGroup
	for range 20 {
		senders.Go(func() {
			for {
				body, err := do(t.Context(), c, socket.Addr(), http.MethodPost, "/")
				if err != nil {
					require.ErrorIs(t, err, peer.ErrNotSent)
					return
				}
				require.Len(t, body, 20000)
				answered.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return answered.Load() > 100 }, 10*time.Second, time.Millisecond)
	require.NoError(t, s.Shutdown(t.Context()))
	senders.Wait()
	require.Equal(t, runs.Load(), answered.Load())
}

// Guards against a restarted process that doesn't reset the connections of its predecessor: its peers then wait
// for answers until the connection counts as silent.
func TestRestartResetsConnections(t *testing.T) {
	socket := listen(t)
	addr := socket.Addr()
	started := make(chan string, 1)
	stuck := make(chan struct{})
	defer close(stuck)
	crashing, err := peer.NewServer(peer.ServerConfig{
		Ring:    testkit.Ring(t, 1),
		LocalIP: testkit.Loopback,
		Socket:  socket,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			started <- r.RemoteAddr
			<-stuck
		}),
	})
	require.NoError(t, err)
	crashed := crashing.Run(t.Context())
	c := newClient(t, peer.ClientConfig{SilenceAfter: 2 * time.Second})
	failed := make(chan error, 1)
	go func() {
		_, err := do(t.Context(), c, addr, http.MethodPost, "/")
		failed <- err
	}()
	socket.Block(<-started)
	require.NoError(t, socket.Close())
	require.Error(t, <-crashed)
	startServer(t, testkit.ListenLossy(t, addr.String()), func(http.ResponseWriter, *http.Request) {})
	begin := time.Now()
	_, err = do(t.Context(), c, addr, http.MethodPost, "/")
	require.Error(t, err)
	require.NotErrorIs(t, err, peer.ErrNotSent)
	require.Error(t, <-failed)
	require.Less(t, time.Since(begin), time.Second)
	_, err = do(t.Context(), c, addr, http.MethodPost, "/")
	require.NoError(t, err)
}

// Guards against continuing to work for a sender that cancelled its request.
func TestCancellationReachesThePeer(t *testing.T) {
	socket := listen(t)
	started, ended := make(chan struct{}), make(chan struct{})
	startServer(t, socket, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	c := newClient(t, peer.ClientConfig{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := do(ctx, c, socket.Addr(), http.MethodPost, "/")
	require.ErrorIs(t, err, context.Canceled)
	<-ended
}

// Guards against aborting a handshake together with a request whose deadline is shorter: a client with tight
// deadlines would then never get a connection.
func TestHandshakeOutlivesShortRequests(t *testing.T) {
	socket := listen(t)
	startServer(t, socket, func(http.ResponseWriter, *http.Request) {})
	c := newClient(t, peer.ClientConfig{})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Microsecond)
	defer cancel()
	_, err := do(ctx, c, socket.Addr(), http.MethodGet, "/")
	require.ErrorIs(t, err, peer.ErrNotSent)
	require.Eventually(t, func() bool { return c.Connected(socket.Addr()) }, 5*time.Second, time.Millisecond)
}
