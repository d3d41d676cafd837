package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"endiveflow.example/endiveflow/standin"
	"endiveflow.example/endiveflow/testkit"
	"endiveflow.example/endiveflow/upstream"
)

func startUpstream(t *testing.T, cfg standin.UpstreamConfig) *standin.Upstream {
	t.Helper()
	cfg.Service = "rota"
	u, err := standin.NewUpstream(cfg)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := u.Run(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return u
}

// newClient returns a client that reuses connections, so that what can go wrong with them is tested as well.
func newClient(t *testing.T, addr netip.AddrPort, cfg upstream.Config) *upstream.Client {
	t.Helper()
	cfg.ReuseConnections = true
	cfg.Address = func() netip.AddrPort { return addr }
	c, err := upstream.New(cfg)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func request(ctx context.Context, method, path, id string) *http.Request {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("lawn 7")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://upstream"+path, body)
	if err != nil {
		panic(err)
	}
	req.Header.Set(standin.RequestIDHeader, id)
	return req
}

// do sends a request and returns the body of the answer.
func do(c *upstream.Client, req *http.Request) (string, error) {
	return testkit.Body(c.Do(req))
}

// A request that fails must be reported as not sent exactly if the upstream got no byte: otherwise a caller
// is told "not run" about a request that ran.
func TestErrorKindsAtCutPoints(t *testing.T) {
	cuts := []struct {
		name    string
		serve   func(net.Conn)
		notSent bool
	}{
		{"closed before reading", awaitByte, false},
		{"closed after one byte", func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, 1)) }, false},
		{"closed after the request", func(c net.Conn) { _, _ = c.Read(make([]byte, 4096)) }, false},
		{"closed in the answer's header", answerWith("HTTP/1.1 200 OK\r\nContent-Le"), false},
		{"answer truncated", answerWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), false},
		{"chunked answer truncated", answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), false},
		{"not HTTP", answerWith("\x00\x01garbage\r\n\r\n"), false},
	}
	for _, cut := range cuts {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(cut.name+" "+method, func(t *testing.T) {
				var accepted atomic.Int32
				addr := rawServer(t, func(c net.Conn) {
					accepted.Add(1)
					cut.serve(c)
				})
				_, err := do(newClient(t, addr, upstream.Config{}), request(t.Context(), method, "/", "1"))
				require.Error(t, err)
				require.Equal(t, cut.notSent, errors.Is(err, upstream.ErrNotSent), "%v", err)
				require.EqualValues(t, 1, accepted.Load(), "the client must not retry on its own")
			})
		}
	}
	t.Run("refused", func(t *testing.T) {
		addr := closedPort(t)
		_, err := do(newClient(t, addr, upstream.Config{}), request(t.Context(), http.MethodPost, "/", "1"))
		require.ErrorIs(t, err, upstream.ErrNotSent)
	})
}

// awaitByte waits until a byte has arrived and leaves it unread. Without the wait, the client may see the
// close before it has written anything, and then rightly reports that nothing was sent.
func awaitByte(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n > 0 || err != nil && !errors.Is(err, unix.EAGAIN)
	})
}

func answerWith(text string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, text)
	}
}

// rawServer serves connections one at a time and closes each.
func rawServer(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			serve(c)
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func closedPort(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// A request that is cancelled at any moment must not be reported as not sent if the upstream runs it: the
// writer of net/http continues after RoundTrip has returned.
func TestCancelledRequestThatRanIsNotReportedAsNotSent(t *testing.T) {
	u := startUpstream(t, standin.UpstreamConfig{Slots: 64})
	c := newClient(t, u.Address(), upstream.Config{})
	reportedNotSent := make(map[string]bool)
	for i := range 2000 {
		ctx, cancel := context.WithCancel(t.Context())
		// Half of the cancellations happen just when the writer starts.
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
			if i%2 == 0 {
				cancel()
			}
		}})
		timer := time.AfterFunc(time.Duration(i%200)*time.Microsecond, cancel)
		id := fmt.Sprint(i)
		_, err := do(c, request(traced, http.MethodPost, "/", id))
		reportedNotSent[id] = errors.Is(err, upstream.ErrNotSent)
		timer.Stop()
		cancel()
	}
	require.NoError(t, u.Shutdown(t.Context()))
	require.NotEmpty(t, u.Executed())
	for id, n := range u.Executed() {
		require.False(t, reportedNotSent[id], "request %s was reported as not sent and ran", id)
		require.Equal(t, 1, n)
	}
}

// net/http replays requests on reused connections that the server closes: GET requests, and others with an
// Idempotency-Key. A replay would run a request twice.
func TestNoReplayOnReusedConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		u := startUpstream(t, standin.UpstreamConfig{})
		c := newClient(t, u.Address(), upstream.Config{})
		_, err := do(c, request(t.Context(), method, "/", "first"))
		require.NoError(t, err)
		u.SetBreak(standin.BreakAfter)
		req := request(t.Context(), method, "/", "second")
		req.Header.Set("Idempotency-Key", "k")
		_, err = do(c, req)
		require.Error(t, err)
		require.NotErrorIs(t, err, upstream.ErrNotSent)
		require.Equal(t, map[string]int{"first": 1, "second": 1}, u.Executed(), method)
	}
}

// An answer that the upstream sends again late, when the next request is on its way, must not answer that request.
func TestLateSecondAnswer(t *testing.T) {
	addr := rawServer(t, func(c net.Conn) {
		buffer := make([]byte, 4096)
		n, err := c.Read(buffer)
		for first := string(buffer[:n]); err == nil; _, err = c.Read(buffer) {
			id := strings.TrimSpace(strings.SplitN(strings.SplitN(first, standin.RequestIDHeader+": ", 2)[1], "\r\n", 2)[0])
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"+id)
		}
	})
	c, err := upstream.New(upstream.Config{Address: func() netip.AddrPort { return addr }})
	require.NoError(t, err)
	for n := range 10 {
		id := fmt.Sprintf("%02d", n)
		body, err := do(c, request(t.Context(), http.MethodGet, "/", id))
		require.NoError(t, err)
		require.Equal(t, id, body)
	}
}

// The next request must not fail because the upstream closed idle connections, as after a restart.
func TestStaleIdleConnectionIsReplaced(t *testing.T) {
	dropped := make(chan struct{})
	addr := rawServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = c.(*net.TCPConn).CloseWrite()
		// The end of input shows that the client saw the close.
		_, _ = io.Copy(io.Discard, c)
		dropped <- struct{}{}
	})
	c := newClient(t, addr, upstream.Config{})
	for range 20 {
		body, err := do(c, request(t.Context(), http.MethodPost, "/", "1"))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		<-dropped
	}
}

// A request of which no byte was written must not fail because the upstream closes the connection at the
// moment of its reuse.
func TestConnectionClosedOnReuseIsReplaced(t *testing.T) {
	reuse, dropped := make(chan struct{}), make(chan struct{})
	addr := rawServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-reuse
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		dropped <- struct{}{}
	})
	c := newClient(t, addr, upstream.Config{})
	_, err := do(c, request(t.Context(), http.MethodPost, "/", "1"))
	require.NoError(t, err)
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if info.Reused {
			reuse <- struct{}{}
			<-dropped
		}
	}})
	body, err := do(c, request(ctx, http.MethodPost, "/", "2"))
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	reuse <- struct{}{}
	c.Close()
	<-dropped
}

// A repeatable request on a silent connection must fail after SilenceAfter, and the next request must use a
// new local port.
func TestSilentConnectionIsReplaced(t *testing.T) {
	u := startUpstream(t, standin.UpstreamConfig{WorkTimes: map[string]time.Duration{"/long": 600 * time.Millisecond}})
	silent := make(chan net.Addr, 8)
	c := newClient(t, u.Address(), upstream.Config{
		SilenceAfter: 200 * time.Millisecond,
		OnSilent:     func(a net.Addr) { silent <- a },
	})
	repeatable := upstream.WithOptions(t.Context(), upstream.Options{Repeatable: true})
	_, err := do(c, request(repeatable, http.MethodGet, "/", "warm"))
	require.NoError(t, err)

	require.Equal(t, 1, u.SilenceOpen())
	start := time.Now()
	_, err = do(c, request(repeatable, http.MethodGet, "/", "a"))
	require.ErrorIs(t, err, upstream.ErrSilent)
	require.NotErrorIs(t, err, upstream.ErrNotSent)
	require.Less(t, time.Since(start), 400*time.Millisecond)
	old := <-silent
	var next net.Addr
	traced := httptrace.WithClientTrace(repeatable, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { next = info.Conn.LocalAddr() },
	})
	_, err = do(c, request(traced, http.MethodGet, "/", "b"))
	require.NoError(t, err)
	require.NotEqual(t, old.String(), next.String())

	t.Run("slow work that can't be repeated is answered", func(t *testing.T) {
		body, err := do(c, request(t.Context(), http.MethodPost, "/long", "c"))
		require.NoError(t, err)
		require.Contains(t, body, `"id":"c"`)
		<-silent
	})
	t.Run("long work is not silent", func(t *testing.T) {
		long := upstream.WithOptions(t.Context(), upstream.Options{Repeatable: true, Long: true})
		_, err := do(c, request(long, http.MethodGet, "/long", "d"))
		require.NoError(t, err)
		require.Empty(t, silent)
	})
}

// Cancellation and deadline must be passed on to the upstream. Otherwise it spends slots on requests whose
// caller no longer waits for the answer.
func TestCancellationAndDeadlineReachTheUpstream(t *testing.T) {
	u := startUpstream(t, standin.UpstreamConfig{WorkTimes: map[string]time.Duration{"/long": time.Minute}})
	c := newClient(t, u.Address(), upstream.Config{})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	body, err := do(c, request(ctx, http.MethodGet, "/", "a"))
	require.NoError(t, err)
	require.Regexp(t, `"deadlineMs":(4\d\d\d|5000)`, body)

	ended := make(chan error, 1)
	go func() {
		_, err := do(c, request(ctx, http.MethodGet, "/long", "b"))
		ended <- err
	}()
	require.Eventually(t, func() bool { return u.Running() == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	require.Eventually(t, func() bool { return len(u.Cancelled()) == 1 }, 5*time.Second, time.Millisecond)
}

// A shed answer is the only answer of an upstream that proves that it did not run the request.
func TestShedding(t *testing.T) {
	u := startUpstream(t, standin.UpstreamConfig{})
	c := newClient(t, u.Address(), upstream.Config{})
	u.SetShedding(true)
	resp, err := c.Do(request(t.Context(), http.MethodPost, "/", "a"))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.True(t, upstream.IsShed(resp))
	require.Empty(t, u.Executed())
	resp.Header.Del("Endiveflow-Shed")
	require.False(t, upstream.IsShed(resp), "a plain 503 does not prove that the request was not run")
}
