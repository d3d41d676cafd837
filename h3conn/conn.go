package h3conn

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Kinds of errors.
const (
	// ErrNotSent is the kind of error of requests that the peer can't have run.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrSilent is the kind of error of requests on a connection that was closed because nothing arrived on
	// it any more.
	ErrSilent = errors.ConstError("connection is silent")
)

// Defaults of a Config.
const (
	DefaultSilenceAfter = 3 * time.Second
	DefaultIdleTimeout  = 30 * time.Second
	DefaultKeepAlive    = 10 * time.Second
)

// Config configures a connection.
type Config struct {
	// TLS must verify the peer. If NextProtos is empty, HTTP/3 is used.
	TLS *tls.Config
	// LocalIP is the address of the socket; the system always chooses a new port.
	LocalIP netip.Addr
	// SilenceAfter is how long a connection with requests in flight may receive nothing before it counts as
	// silent; 0 means DefaultSilenceAfter.
	SilenceAfter time.Duration
	// IdleTimeout is the time without received packets after which a connection is closed; 0 means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// KeepAlive is the time between packets on an idle connection; 0 means DefaultKeepAlive, and a negative
	// value disables them.
	KeepAlive time.Duration
	// PacketSize fixes the size of QUIC packets in bytes; 0 lets path MTU discovery choose.
	PacketSize uint16
	// Tokens stores address validation tokens; nil stores none.
	Tokens quic.TokenStore
}

// Conn is one HTTP/3 client connection. It is safe for concurrent use.
type Conn struct {
	cfg       Config
	socket    *net.UDPConn
	transport *quic.Transport
	quic      *quic.Conn
	client    *http3.ClientConn
	// wake notifies the watcher when the number of requests in flight rises from 0 to 1.
	wake chan struct{}
	// silent is closed when the connection is detected as silent.
	silent chan struct{}
	// closing is set when this package closes the connection, before it does so.
	closing atomic.Bool
	// ended is closed when the connection and its socket are closed.
	ended chan struct{}

	mu sync.Mutex
	// active is the number of requests whose answer isn't complete yet. Guarded by mu.
	active int
	// retired connections take no new request and close when active is 0. Guarded by mu.
	retired bool
	// lastUse is the end of the newest request. Guarded by mu.
	lastUse time.Time
}

// Dial opens a connection from a new local port and waits for the handshake.
func Dial(ctx context.Context, addr netip.AddrPort, cfg Config) (*Conn, error) {
	cfg = cfg.withDefaults(addr)
	local := net.UDPAddr{}
	if cfg.LocalIP.IsValid() {
		local.IP = cfg.LocalIP.AsSlice()
	}
	socket, err := net.ListenUDP("udp", &local)
	if err != nil {
		return nil, errors.WithType(fmt.Errorf("opening socket: %w", err), ErrNotSent)
	}
	transport := &quic.Transport{Conn: socket}
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), cfg.TLS, cfg.quicConfig())
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, errors.WithType(fmt.Errorf("connecting to %s: %w", addr, err), ErrNotSent)
	}
	h3 := &http3.Transport{DisableCompression: true}
	c := &Conn{
		cfg:       cfg,
		socket:    socket,
		transport: transport,
		quic:      conn,
		client:    h3.NewClientConn(conn),
		wake:      make(chan struct{}, 1),
		silent:    make(chan struct{}),
		ended:     make(chan struct{}),
		lastUse:   time.Now(),
	}
	go c.watch()
	return c, nil
}

func (cfg Config) withDefaults(addr netip.AddrPort) Config {
	cfg.SilenceAfter = cmp.Or(cfg.SilenceAfter, DefaultSilenceAfter)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, DefaultIdleTimeout)
	cfg.KeepAlive = cmp.Or(cfg.KeepAlive, DefaultKeepAlive)
	cfg.TLS = cfg.TLS.Clone()
	if cfg.TLS.ServerName == "" {
		cfg.TLS.ServerName = addr.Addr().String()
	}
	if len(cfg.TLS.NextProtos) == 0 {
		cfg.TLS.NextProtos = []string{http3.NextProtoH3}
	}
	return cfg
}

func (cfg Config) quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:          cfg.IdleTimeout,
		KeepAlivePeriod:         max(cfg.KeepAlive, 0),
		InitialPacketSize:       cfg.PacketSize,
		DisablePathMTUDiscovery: cfg.PacketSize != 0,
		TokenStore:              cfg.Tokens,
	}
}

// LocalAddr returns the address of the connection's socket.
func (c *Conn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// State returns the state of the QUIC connection, such as whether its TLS session was resumed.
func (c *Conn) State() quic.ConnectionState { return c.quic.ConnectionState() }

// Silent returns a channel that is closed when the connection is detected as silent.
func (c *Conn) Silent() <-chan struct{} { return c.silent }

// Ended returns a channel that is closed when the connection and its socket are closed. Err then returns
// the reason.
func (c *Conn) Ended() <-chan struct{} { return c.ended }

// Err returns why the connection ended, or nil while it is open.
func (c *Conn) Err() error { return context.Cause(c.quic.Context()) }

// Usable reports whether the connection accepts new requests, as far as this side can tell.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.retired && c.quic.Context().Err() == nil
}

// InFlight returns the number of requests in flight.
func (c *Conn) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

// Retire makes the connection refuse new requests. It closes when the last request in flight ends.
func (c *Conn) Retire() {
	c.mu.Lock()
	c.retired = true
	idle := c.active == 0
	c.mu.Unlock()
	if idle {
		c.closeQUIC("")
	}
}

// RetireIdle retires the connection if it has had no request for the given time, and reports whether it
// did.
func (c *Conn) RetireIdle(after time.Duration) bool {
	c.mu.Lock()
	idle := c.active == 0 && time.Since(c.lastUse) >= after
	c.retired = c.retired || idle
	c.mu.Unlock()
	if idle {
		c.closeQUIC("")
	}
	return idle
}

// Close closes the connection immediately and waits until its socket is closed.
func (c *Conn) Close() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.closeQUIC("")
	<-c.ended
}

func (c *Conn) closeQUIC(text string) {
	c.closing.Store(true)
	_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), text)
}
