package dispatch_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/dispatch"
)

// rawUpstream is a server on a real socket that can close a connection at any byte.
type rawUpstream struct {
	listener net.Listener
	// runs counts the requests that arrived completely, started the connections that carried at least one byte.
	runs, started atomic.Int64
	ended         chan struct{}
}

// newRawUpstream starts a rawUpstream that serves each connection by handle, one at a time.
func newRawUpstream(t *testing.T, handle func(u *rawUpstream, c net.Conn)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &rawUpstream{listener: l, ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			handle(u, c)
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-u.ended
	})
	return u
}

// readRequest reads a request from a connection and counts it.
func (u *rawUpstream) readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	u.runs.Add(1)
	return true
}

// send returns a function for Config.Upstream that uses a real http.Transport.
func (u *rawUpstream) send(tr *http.Transport) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		connected := false
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
		r.URL.Host = u.listener.Addr().String()
		resp, err := tr.RoundTrip(r)
		if err != nil && !connected {
			return nil, &dispatch.NotSentError{Err: err}
		}
		return resp, err
	}
}

func transport(t *testing.T) *http.Transport {
	tr := &http.Transport{DisableCompression: true}
	t.Cleanup(tr.CloseIdleConnections)
	return tr
}

// Guards against the outcome not-run for a request of which the upstream has received a byte, against a
// second run, and against a truncated answer that is taken for complete. The connection is closed after
// each byte of the request and then of the answer.
func TestConnectionClosedAtEachByte(t *testing.T) {
	const answerText = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nclaim"
	var inRequest, inAnswer atomic.Int64
	u := newRawUpstream(t, func(u *rawUpstream, c net.Conn) {
		if closeAfter := inRequest.Load(); closeAfter >= 0 {
			n, _ := io.CopyN(io.Discard, c, closeAfter)
			u.started.Add(min(n, 1))
			return
		}
		if u.readRequest(bufio.NewReader(c)) {
			_, _ = io.WriteString(c, answerText[:inAnswer.Load()])
		}
	})
	tr := transport(t)
	h := dispatch.New(agentConfig(u.send(tr)))
	for closeAfter := range 120 {
		inRequest.Store(int64(closeAfter))
		require.Equal(t, "unknown", outcome(post(h, nil)), "connection closed after %d bytes of the request", closeAfter)
	}
	require.Zero(t, u.runs.Load())
	require.GreaterOrEqual(t, u.started.Load(), int64(100), "most connections are closed within the request")

	inRequest.Store(-1)
	for closeAfter := range len(answerText) + 1 {
		inAnswer.Store(int64(closeAfter))
		before := u.runs.Load()
		resp := post(h, nil)
		require.Equal(t, before+1, u.runs.Load(), "connection closed after %d bytes of the answer", closeAfter)
		if closeAfter < len(answerText) {
			require.Equal(t, "unknown", outcome(resp), "connection closed after %d bytes of the answer", closeAfter)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		require.Equal(t, "answered claim", outcome(resp)+" "+string(body))
	}
	_ = u.listener.Close()
	// The outcome of a request on the last connection would rightly be unknown, since the transport may not
	// have noticed yet that it is closed.
	tr.CloseIdleConnections()
	require.Equal(t, "not-run", outcome(post(h, nil)), "no connection, so no byte was sent")
}

// Guards against the replay of a request on a reused connection by http.Transport, which an
// Idempotency-Key header permits when the body is empty. The control shows that a request that is not
// prepared by the handler is replayed.
func TestTransportDoesNotReplay(t *testing.T) {
	serveOne := func(u *rawUpstream, c net.Conn) {
		r := bufio.NewReader(c)
		if u.readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			u.readRequest(r)
		}
	}
	u := newRawUpstream(t, serveOne)
	h := dispatch.New(agentConfig(u.send(transport(t))))
	header := map[string]string{"Idempotency-Key": "k", "X-Idempotency-Key": "k"}
	require.Equal(t, "answered", outcome(post(h, header)))
	require.Equal(t, "unknown", outcome(post(h, header)))
	require.Equal(t, int64(2), u.runs.Load())

	control := newRawUpstream(t, serveOne)
	send := control.send(transport(t))
	for range 2 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://upstream/claims", nil)
		require.NoError(t, err)
		r.Header.Set("Idempotency-Key", "k")
		resp, err := send(r)
		require.NoError(t, err)
		_ = resp.Body.Close()
	}
	require.Equal(t, int64(3), control.runs.Load(), "the transport replays the plain request")
}

// Guards against a long answer that breaks off and reaches the caller as a shorter, complete one.
func TestTruncatedAnswerIsAborted(t *testing.T) {
	for name, length := range map[string]string{"withLength": "Content-Length: 200000", "chunked": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, func(u *rawUpstream, c net.Conn) {
				u.readRequest(bufio.NewReader(c))
				text := "HTTP/1.1 200 OK\r\n" + length + "\r\n\r\n"
				if name == "chunked" {
					text += "30d40\r\n"
				}
				_, _ = io.WriteString(c, text+strings.Repeat("x", 150_000))
			})
			server := httptest.NewServer(dispatch.New(agentConfig(u.send(transport(t)))))
			defer server.Close()
			resp, err := server.Client().Get(server.URL + "/report")
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// Guards against an answer that is changed by the handler: its status, its headers, the length in the answer
// to HEAD, and a body longer than the handler buffers.
func TestAnswerIsForwardedUnchanged(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789"), 30_000)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Rota", "club")
		w.Header().Set("Content-Length", "300000")
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(long)
	}))
	defer upstream.Close()
	u := &rawUpstream{listener: upstream.Listener}
	server := httptest.NewServer(dispatch.New(agentConfig(u.send(transport(t)))))
	defer server.Close()
	for _, method := range []string{http.MethodGet, http.MethodHead} {
		r, err := http.NewRequestWithContext(context.Background(), method, server.URL+"/report", nil)
		require.NoError(t, err)
		resp, err := server.Client().Do(r)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusAccepted, resp.StatusCode)
		require.Equal(t, "club answered", resp.Header.Get("X-Rota")+" "+outcome(resp))
		require.Equal(t, int64(len(long)), resp.ContentLength)
		require.Equal(t, method == http.MethodGet, bytes.Equal(long, body))
	}
}
