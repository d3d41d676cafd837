package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go/http3"

	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/h3conn"
)

// Kinds of errors of Client.Do.
const (
	// ErrNotSent is the kind of errors of requests that the peer has certainly not executed.
	ErrNotSent = h3conn.ErrNotSent
	// ErrSilent is the kind of errors of requests on a silent connection.
	ErrSilent = h3conn.ErrSilent
)

// Defaults of a ClientConfig.
const (
	// DefaultConnectTimeout leaves time for two retransmissions of the first packet.
	DefaultConnectTimeout = 2 * time.Second
	// DefaultIdleTimeout bounds the time for which unused connections send keepalives.
	DefaultIdleTimeout = 30 * time.Second
)

var (
	dialedTotal     = metrics.GetOrCreateCounter(`endiveflow_peer_connections_opened_total`)
	dialFailedTotal = metrics.GetOrCreateCounter(`endiveflow_peer_connect_failures_total`)
	notSentTotal    = metrics.GetOrCreateCounter(`endiveflow_peer_request_errors_total{reason="notSent"}`)
	unknownTotal    = metrics.GetOrCreateCounter(`endiveflow_peer_request_errors_total{reason="unknown"}`)
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Ring issues the certificate and verifies peers.
	Ring *fleetkey.Ring
	// LocalIP is the process's own address; sockets are bound to it.
	LocalIP netip.Addr
	// SilenceAfter is the time without received packets after which a connection with requests in flight
	// counts as silent; 0 means h3conn.DefaultSilenceAfter.
	SilenceAfter time.Duration
	// ConnectTimeout bounds a handshake; 0 means DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// IdleTimeout is the time without requests after which a connection is closed; 0 means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// KeepAlive is the time between packets on an idle connection; 0 means h3conn.DefaultKeepAlive.
	KeepAlive time.Duration
}

// Client sends requests to peers. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig
	tls *tls.Config

	mu sync.Mutex
	// links holds the link of each peer address. Guarded by mu.
	links map[netip.AddrPort]*link
	// closed is set by Close. Guarded by mu.
	closed bool
}

// link holds the connection to one address.
type link struct {
	h3conn.Link
	// users is the number of calls that are using the link; a link in use isn't removed. Guarded by
	// Client.mu.
	users int
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) (*Client, error) {
	if cfg.Ring == nil {
		return nil, errors.NotValidf("peer client without key ring")
	}
	if !cfg.LocalIP.IsValid() {
		return nil, errors.NotValidf("peer client without local address")
	}
	cfg.ConnectTimeout = cmp.Or(cfg.ConnectTimeout, DefaultConnectTimeout)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, DefaultIdleTimeout)
	tlsConfig, err := cfg.Ring.PeerTLS(cfg.LocalIP, http3.NextProtoH3)
	if err != nil {
		return nil, fmt.Errorf("creating peer TLS configuration: %w", err)
	}
	return &Client{cfg: cfg, tls: tlsConfig, links: make(map[netip.AddrPort]*link)}, nil
}

// Do sends a request to the peer at addr and returns once the header of the answer has arrived. The caller must
// close the body of the answer. The scheme and host of the request's URL are replaced.
//
// An error of kind ErrNotSent guarantees that the peer has not executed the request; after other errors it may
// have. After an error of kind ErrNotSent the request body is unread and open, unless the peer rejected the
// stream during its shutdown.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, req *http.Request) (*http.Response, error) {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		notSentTotal.Inc()
		return nil, err
	}
	out := req.Clone(ctx)
	out.URL.Scheme = "https"
	out.URL.Host = addr.String()
	out.RequestURI = ""
	resp, err := conn.Do(out)
	if err == nil {
		return resp, nil
	}
	if errors.Is(err, ErrNotSent) {
		notSentTotal.Inc()
	} else {
		unknownTotal.Inc()
	}
	return nil, fmt.Errorf("requesting peer %s: %w", addr, err)
}

// connect returns a usable connection to addr, opening one if needed.
func (c *Client) connect(ctx context.Context, addr netip.AddrPort) (*h3conn.Conn, error) {
	l, err := c.acquire(addr)
	if err != nil {
		return nil, err
	}
	defer c.release(l)
	conn, err := l.Get(ctx, func(ctx context.Context) (*h3conn.Conn, error) { return c.dial(ctx, addr) })
	if err != nil {
		return nil, fmt.Errorf("connecting to peer %s: %w", addr, err)
	}
	if c.isClosed() {
		conn.Close()
	}
	return conn, nil
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*h3conn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ConnectTimeout)
	defer cancel()
	conn, err := h3conn.Dial(ctx, addr, h3conn.Config{
		TLS:          c.tls,
		LocalIP:      c.cfg.LocalIP,
		SilenceAfter: c.cfg.SilenceAfter,
		KeepAlive:    c.cfg.KeepAlive,
	})
	if err != nil {
		dialFailedTotal.Inc()
		return nil, err
	}
	dialedTotal.Inc()
	return conn, nil
}

// Connected reports whether there is a usable connection to addr.
func (c *Client) Connected(addr netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[addr]
	return l != nil && l.Usable() != nil
}

func (c *Client) acquire(addr netip.AddrPort) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.WithType(errors.New("peer client is closed"), ErrNotSent)
	}
	l := c.links[addr]
	if l == nil {
		l = &link{}
		c.links[addr] = l
	}
	l.users++
	return l, nil
}

func (c *Client) release(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.users--
}

func (c *Client) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
