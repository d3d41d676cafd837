package h3conn

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go/http3"
)

// Do sends a request and returns when the header of the answer has arrived. The request is sent at most
// once. The caller must close the body of the answer.
//
// An error of kind ErrNotSent means that the peer can't have run the request:
// either no byte was handed to the connection, and then the body of the
// request is unread and open, or the peer rejected the stream unread
// (H3_REQUEST_REJECTED), as it does while it shuts down.
func (c *Conn) Do(req *http.Request) (*http.Response, error) {
	if !c.begin() {
		return nil, errors.WithType(errors.New("connection accepts no new requests"), ErrNotSent)
	}
	// http3 calls WroteHeaderField before it writes the first byte, so a request without such a call was
	// not handed over.
	var handedOver atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { handedOver.Store(true) },
	})
	resp, err := c.client.RoundTrip(req.WithContext(ctx))
	if err != nil {
		c.end()
		return nil, c.classify(req, err, handedOver.Load())
	}
	resp.Request = req
	resp.Body = &answerBody{ReadCloser: resp.Body, conn: c}
	return resp, nil
}

func (c *Conn) classify(req *http.Request, err error, handedOver bool) error {
	select {
	case <-c.silent:
		err = errors.WithType(err, ErrSilent)
	default:
	}
	err = fmt.Errorf("sending request: %w", err)
	if !handedOver {
		if req.Context().Err() == nil {
			c.Retire()
		}
		return errors.WithType(err, ErrNotSent)
	}
	if c.refusedByPeer(err) {
		c.Retire()
		return errors.WithType(err, ErrNotSent)
	}
	return err
}

// refusedByPeer reports whether an error proves that the peer does not run the request although it was
// handed to the connection.
func (c *Conn) refusedByPeer(err error) bool {
	var h3 *http3.Error
	if !errors.As(err, &h3) {
		return false
	}
	if h3.Remote {
		return h3.ErrorCode == http3.ErrCodeRequestRejected
	}
	// http3 closes the connection by itself when GOAWAY arrives and no request is in flight. A request that
	// starts at that moment fails because of the close. It is written after GOAWAY was received, so its
	// stream ID is above the last one that the peer accepts.
	return h3.ErrorCode == http3.ErrCodeNoError && !c.closing.Load()
}

func (c *Conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || c.quic.Context().Err() != nil {
		return false
	}
	c.active++
	if c.active == 1 {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return true
}

func (c *Conn) end() {
	c.mu.Lock()
	c.active--
	c.lastUse = time.Now()
	closeNow := c.retired && c.active == 0
	c.mu.Unlock()
	if closeNow {
		c.closeQUIC("")
	}
}

// answerBody ends its request when the answer is complete, fails or is closed.
type answerBody struct {
	io.ReadCloser
	conn *Conn
	once sync.Once
}

// Read returns io.EOF only at the end of a complete answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	b.once.Do(b.conn.end)
	if err == io.EOF {
		return n, io.EOF
	}
	return n, fmt.Errorf("reading answer: %w", err)
}

// Close discards the rest of the answer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.conn.end)
	return err
}
