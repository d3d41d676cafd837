package upstream

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/header"
)

// Kinds of errors of Client.Do.
const (
	// ErrNotSent is the kind of error of requests of which the upstream got no byte. It equals the kind of
	// the same name in package peer.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrSilent is the kind of error of repeatable requests that were cancelled because the upstream made
	// no progress on their connection.
	ErrSilent = errors.ConstError("connection is silent")
)

// Defaults of a Config.
const (
	DefaultSilenceAfter   = 3 * time.Second
	DefaultConnectTimeout = time.Second
	// DefaultIdleTimeout is shorter than the keep-alive time of common HTTP servers (5 s and more), so that a
	// request is seldom sent on a connection that the server is closing.
	DefaultIdleTimeout = time.Second
)

// maxIdleConns exceeds the slots of any upstream, so that pooled connections are limited only by their age.
const maxIdleConns = 1024

var (
	openedTotal  = metrics.GetOrCreateCounter(`endiveflow_upstream_connections_opened_total`)
	silentTotal  = metrics.GetOrCreateCounter(`endiveflow_upstream_silent_total`)
	staleTotal   = metrics.GetOrCreateCounter(`endiveflow_upstream_stale_connections_total`)
	notSentTotal = metrics.GetOrCreateCounter(`endiveflow_upstream_request_errors_total{reason="notSent"}`)
	unknownTotal = metrics.GetOrCreateCounter(`endiveflow_upstream_request_errors_total{reason="unknown"}`)
	shedTotal    = metrics.GetOrCreateCounter(`endiveflow_upstream_shed_total`)
)

// Config configures a Client.
type Config struct {
	// Address returns the current address of the upstream; an invalid address means that there is no
	// upstream.
	Address func() netip.AddrPort
	// SilenceAfter is how long the upstream may make no progress before the connection counts as silent; 0
	// means DefaultSilenceAfter.
	SilenceAfter time.Duration
	// ConnectTimeout bounds opening a connection; 0 means DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// ReuseConnections lets a connection carry several requests, one after the other. HTTP/1.1 has nothing that ties an
	// answer to its request: an upstream that sends an answer twice, the second time late, would answer the next
	// request on the connection with it.
	ReuseConnections bool
	// IdleTimeout is the longest time that a connection may be idle and still be used again; 0 means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// OnSilent is called when a connection is detected as silent; it may be nil.
	OnSilent func(local net.Addr)
}

// Options controls how one request is handled. The zero value is the most conservative.
type Options struct {
	// Repeatable requests are cancelled with an error of kind ErrSilent when their connection is silent.
	// Others wait until their deadline, since cancelling them could only lose an answer.
	Repeatable bool
	// Long requests may be silent until the first byte of the answer.
	Long bool
	// SilenceAfter overrides Config.SilenceAfter for the request, so that a changed setting applies to a
	// running client; 0 means no override.
	SilenceAfter time.Duration
}

type optionsKey struct{}

// WithOptions returns a context for requests with the options.
func WithOptions(ctx context.Context, o Options) context.Context {
	return context.WithValue(ctx, optionsKey{}, o)
}

func optionsOf(ctx context.Context) Options {
	o, _ := ctx.Value(optionsKey{}).(Options)
	return o
}

// Client sends requests to the local upstream. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *http.Transport
}

// New returns a client that has not connected yet.
func New(cfg Config) (*Client, error) {
	if cfg.Address == nil {
		return nil, errors.NotValidf("upstream client without address")
	}
	cfg.SilenceAfter = cmp.Or(cfg.SilenceAfter, DefaultSilenceAfter)
	cfg.ConnectTimeout = cmp.Or(cfg.ConnectTimeout, DefaultConnectTimeout)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, DefaultIdleTimeout)
	c := &Client{cfg: cfg}
	c.transport = &http.Transport{
		DialContext:         c.dial,
		DisableCompression:  true,
		DisableKeepAlives:   !cfg.ReuseConnections,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     cfg.IdleTimeout,
	}
	return c, nil
}

// dial opens a connection. It always gets a new local port, because the old connection still occupies its
// own.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.cfg.ConnectTimeout}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connecting to upstream: %w", err)
	}
	openedTotal.Inc()
	return &conn{Conn: raw}, nil
}

// Close closes idle connections. Requests in flight continue.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// IsShed reports whether the upstream shed the request, which means that it did not run it.
func IsShed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(header.Shed) == "1"
}

// Do sends a request to the upstream and returns when the header of the answer has arrived. The caller must
// close the body of the answer. The scheme and host of the request's URL are replaced; the Host field is
// kept. The deadline of the context is passed on in header.Deadline, and cancelling the context closes the
// connection.
//
// An error of kind ErrNotSent means that no byte was written, although the body of the request may have
// been read. With any other error, the request may or may not have run.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	addr := c.cfg.Address()
	if !addr.IsValid() {
		notSentTotal.Inc()
		return nil, errors.WithType(errors.New("no upstream is announced"), ErrNotSent)
	}
	body := newOnceBody(req.Body)
	for {
		x := c.newExchange(req, addr, body)
		resp, err := x.run()
		if err == nil {
			if IsShed(resp) {
				shedTotal.Inc()
			}
			return resp, nil
		}
		if !errors.Is(err, ErrNotSent) {
			unknownTotal.Inc()
			return nil, err
		}
		// If the upstream closed an idle connection, a new one can still succeed.
		if x.reused && body.unread() && req.Context().Err() == nil {
			staleTotal.Inc()
			continue
		}
		notSentTotal.Inc()
		return nil, err
	}
}
