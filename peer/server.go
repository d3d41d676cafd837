package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"endiveflow.example/endiveflow/fleetkey"
)

// serverIdleTimeout closes connections whose client is gone. It is longer than the client's keepalive interval.
const serverIdleTimeout = 45 * time.Second

// answerLinger leaves time for the last answers to be acknowledged before connections are closed. Most clients
// close their connections before that.
const answerLinger = 500 * time.Millisecond

// closeTimeout bounds the wait for handlers whose connections have been closed.
const closeTimeout = 2 * time.Second

// ServerConfig configures a Server.
type ServerConfig struct {
	// Ring issues the certificate and verifies peers.
	Ring *fleetkey.Ring
	// LocalIP is the process's own address, which its certificate contains.
	LocalIP netip.Addr
	// Socket receives the packets. The server doesn't close it.
	Socket net.PacketConn
	// Handler answers requests.
	Handler http.Handler
}

// Server serves requests of peers.
type Server struct {
	cfg       ServerConfig
	tls       *tls.Config
	transport *quic.Transport
	http      *http3.Server

	mu sync.Mutex
	// listener is nil before Run. Guarded by mu.
	listener *quic.Listener
	requests inflight
}

// NewServer returns a server. It does nothing until Run.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.Ring == nil || cfg.Socket == nil || cfg.Handler == nil {
		return nil, errors.NotValidf("peer server without key ring, socket or handler")
	}
	tlsConfig, err := cfg.Ring.PeerTLS(cfg.LocalIP, http3.NextProtoH3)
	if err != nil {
		return nil, fmt.Errorf("creating peer TLS configuration: %w", err)
	}
	reset, err := resetKey(cfg.Ring, cfg.LocalIP)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:       cfg,
		tls:       tlsConfig,
		transport: &quic.Transport{Conn: cfg.Socket, StatelessResetKey: reset, ConnectionIDLength: 8},
	}
	s.http = &http3.Server{Handler: s.requests.countRequests(cfg.Handler)}
	return s, nil
}

// resetKey returns the stateless reset key. It is the same for all processes at an address, so that a restarted
// process resets its predecessor's connections immediately.
func resetKey(ring *fleetkey.Ring, ip netip.Addr) (*quic.StatelessResetKey, error) {
	var key quic.StatelessResetKey
	secret, err := ring.Derive(ring.ActiveID(), fleetkey.PurposeStatelessReset, "peer "+ip.String(), len(key))
	if err != nil {
		return nil, fmt.Errorf("deriving reset key: %w", err)
	}
	copy(key[:], secret)
	return &key, nil
}

// Run serves until ctx ends, which cuts the requests in flight, or until Shutdown. The channel receives nil
// or the reason of the failure.
func (s *Server) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	listener, err := s.listen()
	if err != nil {
		done <- err
		return done
	}
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	go func() {
		err := s.http.ServeListener(listener)
		if ctx.Err() != nil {
			_ = s.transport.Close()
		}
		stop()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

func (s *Server) listen() (*quic.Listener, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := s.transport.Listen(s.tls, &quic.Config{MaxIdleTimeout: serverIdleTimeout})
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	s.listener = listener
	return listener, nil
}

// Shutdown refuses new requests, waits for those in flight and closes the connections. If ctx ends first, it
// cuts the remaining requests and returns an error with their number.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeListener()
	graceful := make(chan struct{})
	go func() {
		defer close(graceful)
		_ = s.http.Shutdown(ctx)
	}()
	cut := s.waitIdle(ctx, graceful)
	s.closeConnections(graceful)
	_ = s.transport.Close()
	if cut > 0 {
		return fmt.Errorf("shutting down peer server: %d requests cut: %w", cut, ctx.Err())
	}
	return nil
}

// closeConnections closes all connections, which sends CONNECTION_CLOSE. It waits at most closeTimeout, because
// a handler may ignore the cancellation of its request's context.
func (s *Server) closeConnections(graceful <-chan struct{}) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = s.http.Close()
		<-graceful
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
	}
}

func (s *Server) closeListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// waitIdle waits until no request is in flight or ctx ends, and returns the number of requests left. Requests
// may still arrive until the peer has read GOAWAY, so it checks again after answerLinger.
func (s *Server) waitIdle(ctx context.Context, graceful <-chan struct{}) int {
	for {
		if cut := s.requests.wait(ctx); cut > 0 {
			return cut
		}
		select {
		case <-graceful:
			return s.requests.count()
		case <-ctx.Done():
			return s.requests.count()
		case <-time.After(answerLinger):
		}
		if s.requests.count() == 0 {
			return 0
		}
	}
}
