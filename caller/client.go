package caller

import (
	"cmp"
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"endiveflow.example/endiveflow/h3conn"
	"endiveflow.example/endiveflow/header"
)

// Defaults of a Config.
const (
	DefaultTimeout        = 30 * time.Second
	DefaultMaxAttempts    = 16
	DefaultMaxAnswerBytes = 64 << 20
	DefaultConnectTimeout = 2 * time.Second
)

// packetSize is the size of QUIC packets in bytes; with the tunnel header they fit in 1,500 bytes.
const packetSize = 1252

var (
	connectionsTotal = metrics.GetOrCreateCounter(`endiveflow_caller_connections_opened_total`)
	attemptsTotal    = metrics.GetOrCreateCounter(`endiveflow_caller_attempts_total`)
	keysTotal        = metrics.GetOrCreateCounter(`endiveflow_caller_keys_total`)
	refusedTotal     = metrics.GetOrCreateCounter(`endiveflow_caller_refusals_total`)
	brokenTotal      = metrics.GetOrCreateCounter(`endiveflow_caller_broken_total`)
)

// Config configures a Client.
type Config struct {
	// Address is the UDP address of the service.
	Address netip.AddrPort
	// TLS must verify the service's certificate.
	TLS *tls.Config
	// LocalIP is the address of the sockets; the zero value lets the system choose.
	LocalIP netip.Addr
	// Timeout bounds requests whose context has no deadline; 0 means DefaultTimeout.
	Timeout time.Duration
	// ConnectTimeout bounds one handshake; 0 means DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// SilenceAfter is how long a connection with requests in flight may receive nothing before it counts as
	// silent; 0 means h3conn.DefaultSilenceAfter.
	SilenceAfter time.Duration
	// IdleTimeout is the time without received packets after which a connection is closed; 0 means
	// h3conn.DefaultIdleTimeout.
	IdleTimeout time.Duration
	// KeepAlive is the time between packets on an idle connection; 0 means h3conn.DefaultKeepAlive, and a
	// negative value disables them.
	KeepAlive time.Duration
	// KeepOpen opens a new connection when one ends without a request in flight, so that the next request
	// needs no handshake.
	KeepOpen bool
	// MaxAttempts is the maximum number of times that a request is sent, not counting attempts that were
	// refused; 0 means DefaultMaxAttempts.
	MaxAttempts int
	// MaxAnswerBytes bounds the body of an answer; 0 means DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
}

// Request is one request. The client does not modify it.
type Request struct {
	Method string
	// Path is the path with the query, starting with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the key of an earlier call of Do with this request, to get the saved answer; empty for a new
	// request.
	Key string
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Outcome is one of the outcomes of package header.
	Outcome string
	// Attempts is the number of times that the request was sent.
	Attempts int
	// Key is the key with which the request was sent; empty if it needed none.
	Key string
}

// OutcomeError is the error of a request that got no answer.
type OutcomeError struct {
	// Outcome is header.OutcomeNotRun if the request was not run and will not be, otherwise
	// header.OutcomeUnknown.
	Outcome string
	// Err is the reason.
	Err error
}

// Error returns the outcome and the reason.
func (e *OutcomeError) Error() string { return "request " + e.Outcome + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *OutcomeError) Unwrap() error { return e.Err }

// NotRun reports whether an error of Do proves that the request was not run.
func NotRun(err error) bool {
	var outcome *OutcomeError
	return errors.As(err, &outcome) && outcome.Outcome == header.OutcomeNotRun
}

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	cfg  Config
	conn h3conn.Config
	link h3conn.Link
	// lifetime is cancelled by Close.
	lifetime context.Context
	close    context.CancelFunc
}

// New returns a client that has not connected yet.
func New(cfg Config) (*Client, error) {
	if !cfg.Address.IsValid() || cfg.TLS == nil {
		return nil, errors.NotValidf("caller without address or TLS")
	}
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg, conn: h3conn.Config{
		TLS:          cfg.TLS,
		LocalIP:      cfg.LocalIP,
		SilenceAfter: cfg.SilenceAfter,
		IdleTimeout:  cfg.IdleTimeout,
		KeepAlive:    cfg.KeepAlive,
		PacketSize:   packetSize,
		Tokens:       quic.NewLRUTokenStore(1, 4),
	}}
	c.lifetime, c.close = context.WithCancel(context.Background())
	return c, nil
}

func (cfg Config) withDefaults() Config {
	cfg.Timeout = cmp.Or(cfg.Timeout, DefaultTimeout)
	cfg.ConnectTimeout = cmp.Or(cfg.ConnectTimeout, DefaultConnectTimeout)
	cfg.MaxAttempts = cmp.Or(cfg.MaxAttempts, DefaultMaxAttempts)
	cfg.MaxAnswerBytes = cmp.Or(cfg.MaxAnswerBytes, DefaultMaxAnswerBytes)
	cfg.TLS = cfg.TLS.Clone()
	if cfg.TLS.ClientSessionCache == nil {
		cfg.TLS.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	}
	return cfg
}

// Connect opens the connection if there is none.
func (c *Client) Connect(ctx context.Context) error {
	_, err := c.connect(ctx)
	return err
}

// Conn returns the current connection, or nil if there is no usable one.
func (c *Client) Conn() *h3conn.Conn { return c.link.Usable() }

// Close closes the connection; requests in flight fail.
func (c *Client) Close() {
	c.close()
	if conn := c.link.Usable(); conn != nil {
		conn.Close()
	}
}

func (c *Client) connect(ctx context.Context) (*h3conn.Conn, error) {
	return c.link.Get(ctx, c.dial)
}

func (c *Client) dial(ctx context.Context) (*h3conn.Conn, error) {
	if c.lifetime.Err() != nil {
		return nil, errors.New("caller is closed")
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ConnectTimeout)
	defer cancel()
	conn, err := h3conn.Dial(ctx, c.cfg.Address, c.conn)
	if err != nil {
		return nil, err
	}
	connectionsTotal.Inc()
	go c.reconnect(conn, context.AfterFunc(c.lifetime, conn.Close))
	return conn, nil
}

// maxReconnectPause bounds the pause between failed connection attempts with KeepOpen.
const maxReconnectPause = 5 * time.Second

// reconnect waits for the end of conn. With KeepOpen, it then tries to open a new connection until one is
// open or the client is closed. The function stop cancels the registration that closes conn in Close.
func (c *Client) reconnect(conn *h3conn.Conn, stop func() bool) {
	<-conn.Ended()
	stop()
	if !c.cfg.KeepOpen {
		return
	}
	for pause := 50 * time.Millisecond; c.lifetime.Err() == nil; pause = min(2*pause, maxReconnectPause) {
		if _, err := c.connect(c.lifetime); err == nil {
			return
		}
		select {
		case <-c.lifetime.Done():
		case <-time.After(jitter(pause)):
		}
	}
}
