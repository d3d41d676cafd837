package upstream

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/header"
)

// checksPerSilence is the number of checks within SilenceAfter.
const checksPerSilence = 4

// exchange is one request on one connection.
type exchange struct {
	client  *Client
	options Options
	ctx     context.Context
	cancel  context.CancelCauseFunc
	request *http.Request

	mu sync.Mutex
	// conn is nil until the transport has chosen a connection. Guarded by mu.
	conn *conn
	// writtenBefore is the number of bytes written on conn by earlier requests. Guarded by mu.
	writtenBefore int64
	// requestSent reports that the request is fully written, answerStarted that the answer has begun.
	// Guarded by mu.
	requestSent, answerStarted bool
	// reused reports that the connection had been idle. It is read after run has returned.
	reused bool
	// silent reports that the connection was detected as silent.
	silent     atomic.Bool
	silentOnce sync.Once
}

func (c *Client) newExchange(req *http.Request, addr netip.AddrPort, body *onceBody) *exchange {
	x := &exchange{client: c, options: optionsOf(req.Context())}
	x.options.SilenceAfter = cmp.Or(x.options.SilenceAfter, c.cfg.SilenceAfter)
	x.ctx, x.cancel = context.WithCancelCause(req.Context())
	out := req.Clone(httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{
		GotConn:              x.gotConn,
		WroteRequest:         func(httptrace.WroteRequestInfo) { x.setFlag(&x.requestSent) },
		GotFirstResponseByte: func() { x.setFlag(&x.answerStarted) },
	}))
	out.URL.Scheme = "http"
	out.URL.Host = addr.String()
	out.Host = req.Host
	out.RequestURI = ""
	header.SetDeadline(req.Context(), out.Header)
	// net/http replays requests that have no body or have a GetBody function. A body that is neither nil
	// nor http.NoBody, without GetBody, prevents this, even with an Idempotency-Key.
	out.Body = body
	out.GetBody = nil
	if body.source == nil {
		out.ContentLength = 0
	}
	x.request = out
	return x
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	x.writtenBefore = c.restartProgress()
	x.reused = info.Reused
}

// setFlag sets a flag and records progress, because the upstream has to act from now on.
func (x *exchange) setFlag(flag *bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	*flag = true
	if x.conn != nil {
		x.conn.restartProgress()
	}
}

func (x *exchange) run() (*http.Response, error) {
	stop := x.watch()
	resp, err := x.client.transport.RoundTrip(x.request)
	if err != nil {
		stop()
		x.cancel(nil)
		return nil, x.classify(err)
	}
	resp.Request = x.request
	resp.Body = &answerBody{ReadCloser: resp.Body, end: func() {
		stop()
		x.finish()
	}}
	return resp, nil
}

// finish closes the connection if it was silent, so that it isn't used again.
func (x *exchange) finish() {
	x.cancel(nil)
	x.mu.Lock()
	c := x.conn
	x.mu.Unlock()
	if c != nil && x.silent.Load() {
		c.seal()
		_ = c.Close()
	}
}

// classify adds the kind of error. It seals the connection first, so that the number of bytes written is
// final: RoundTrip waits for its writer, but its documentation doesn't guarantee that.
func (x *exchange) classify(err error) error {
	x.mu.Lock()
	c, before := x.conn, x.writtenBefore
	x.mu.Unlock()
	if x.silent.Load() && x.options.Repeatable {
		err = errors.WithType(err, ErrSilent)
	}
	if c == nil {
		return errors.WithType(fmt.Errorf("requesting upstream: %w", err), ErrNotSent)
	}
	written := c.seal() - before
	_ = c.Close()
	if written == 0 {
		return errors.WithType(fmt.Errorf("requesting upstream before the first byte: %w", err), ErrNotSent)
	}
	return fmt.Errorf("requesting upstream: %w", err)
}

// watch checks periodically for silence until the returned function is called.
func (x *exchange) watch() func() {
	ticker := time.NewTicker(x.options.SilenceAfter / checksPerSilence)
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case now := <-ticker.C:
				x.checkSilence(now)
			}
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() { close(ended) })
		<-done
	}
}

func (x *exchange) checkSilence(now time.Time) {
	x.mu.Lock()
	c := x.conn
	countReads := x.requestSent && (x.answerStarted || !x.options.Long)
	x.mu.Unlock()
	if c == nil || c.stalledFor(now, countReads) < x.options.SilenceAfter {
		return
	}
	x.silentOnce.Do(func() {
		x.silent.Store(true)
		silentTotal.Inc()
		if x.client.cfg.OnSilent != nil {
			x.client.cfg.OnSilent(c.LocalAddr())
		}
	})
	if x.options.Repeatable {
		x.cancel(ErrSilent)
	}
}

// onceBody is a request body that the transport can't replay.
type onceBody struct {
	source io.ReadCloser
	read   atomic.Bool
}

func newOnceBody(source io.ReadCloser) *onceBody {
	if source == http.NoBody {
		source = nil
	}
	return &onceBody{source: source}
}

// unread reports whether the body can be sent again from its start.
func (b *onceBody) unread() bool { return b.source == nil || !b.read.Load() }

// Read reads from the source.
func (b *onceBody) Read(p []byte) (int, error) {
	if b.source == nil {
		return 0, io.EOF
	}
	b.read.Store(true)
	return b.source.Read(p)
}

// Close does not close the source, which belongs to the owner of the request: the body may be needed for
// another upstream.
func (b *onceBody) Close() error { return nil }

// answerBody calls end when the answer is complete, fails or is closed.
type answerBody struct {
	io.ReadCloser
	end  func()
	once sync.Once
}

// Read returns io.EOF only at the end of a complete answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	b.once.Do(b.end)
	if err == io.EOF {
		return n, io.EOF
	}
	return n, fmt.Errorf("reading answer of upstream: %w", err)
}

// Close closes the body, and with it the connection unless the answer was read to its end.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}
