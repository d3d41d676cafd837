package flowserver

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// PacketSize is the size of the server's QUIC packets in bytes. With the
// tunnel header and the headers of UDP and IP it fits in 1,500 bytes.
const PacketSize = 1252

// Defaults of a Config.
const (
	DefaultIdleTimeout = time.Minute
	DefaultKeepAlive   = 20 * time.Second
	DefaultMaxRequests = 100
)

// Flow control windows in bytes. They bound the unread request bodies that the agent buffers for one flow.
const (
	streamWindow = 256 << 10
	flowWindow   = 512 << 10
)

// drainShards is the number of steps in which Drain sends GOAWAY to the flows.
const drainShards = 16

var (
	openedTotal      = metrics.GetOrCreateCounter(`endiveflow_flowserver_flows_opened_total`)
	closedTotal      = metrics.GetOrCreateCounter(`endiveflow_flowserver_flows_closed_total`)
	flowsOpen        = metrics.GetOrCreateGauge(`endiveflow_flowserver_flows`, nil)
	requestsTotal    = metrics.GetOrCreateCounter(`endiveflow_flowserver_requests_total`)
	flowsCutTotal    = metrics.GetOrCreateCounter(`endiveflow_flowserver_flows_cut_total`)
	requestsCutTotal = metrics.GetOrCreateCounter(`endiveflow_flowserver_requests_cut_total`)
)

// Config configures a Server.
type Config struct {
	// PacketConn sends and receives the QUIC packets. The server doesn't close it.
	PacketConn net.PacketConn
	// TLS holds the service's certificate.
	TLS *tls.Config
	// IDs generates connection IDs; nil means random IDs of 8 bytes.
	IDs quic.ConnectionIDGenerator
	// StatelessResetKey is the same for all incarnations at an address; nil sends no resets.
	StatelessResetKey *quic.StatelessResetKey
	// TokenKey encrypts address validation tokens, the same for all agents of
	// the service; nil means a random key.
	TokenKey *quic.TokenGeneratorKey
	// TicketKeys encrypt session tickets, the same for all agents of the service. The first key encrypts
	// new tickets. None means a random key.
	TicketKeys [][32]byte
	// Handler answers requests.
	Handler http.Handler
	// VerifySourceAddress reports whether a caller must first prove its address with a Retry; nil means
	// never.
	VerifySourceAddress func(net.Addr) bool
	// IdleTimeout is the time without packets after which a flow is closed; 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// KeepAlive is the time between packets on an idle flow; 0 means DefaultKeepAlive, and a negative value
	// disables them.
	KeepAlive time.Duration
	// MaxRequests is the number of requests in flight per flow; 0 means DefaultMaxRequests.
	MaxRequests int64
	// DrainSpread is the time over which Drain sends GOAWAY to the flows, so that callers don't reconnect
	// all at once; 0 sends to all flows at once. Drain calls the function once, since the setting can
	// change while the server runs; nil means 0.
	DrainSpread func() time.Duration
	// Log is the logger for the result of Shutdown; nil means slog.Default.
	Log *slog.Logger
}

// shard is an HTTP/3 server for a part of the flows.
type shard struct {
	http *http3.Server
	// registering counts flows that are not yet registered with http. It grows only with Server.mu held and
	// before goAway is called for the shard: http3 fails if a flow is added while the last other flow of a
	// server that is shutting down ends.
	registering sync.WaitGroup
}

// Server is the HTTP/3 server. It is safe for concurrent use.
type Server struct {
	cfg       Config
	tls       *tls.Config
	transport *quic.Transport
	// shards are separate HTTP/3 servers, because each sends GOAWAY to all its flows at once. Flows
	// accepted after Drain are assigned to the last one.
	shards [drainShards + 1]shard
	// drainStarted is closed by the first Drain, skipSpread by Shutdown, and drainEnded when GOAWAY was
	// sent in all shards but the last.
	drainStarted, skipSpread, drainEnded chan struct{}
	drainOnce, skipSpreadOnce            sync.Once
	// acceptEnded is closed once no more flows are accepted.
	acceptEnded chan struct{}
	// closing is cancelled by close when the flows must close.
	closing context.Context
	close   context.CancelFunc
	// stopped is closed when all flows and the transport are closed.
	stopped  chan struct{}
	stopOnce sync.Once
	// handlers counts the goroutines of flows and shards.
	handlers sync.WaitGroup
	flows    flowSet

	mu sync.Mutex
	// listener is nil before Run. Guarded by mu.
	listener *quic.Listener
}

// New returns a server, which Run starts. Errors are of kind errors.NotValid.
func New(cfg Config) (*Server, error) {
	if cfg.PacketConn == nil || cfg.TLS == nil || cfg.Handler == nil {
		return nil, errors.NotValidf("flow server without packet connection, TLS or handler")
	}
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:          cfg,
		drainStarted: make(chan struct{}),
		skipSpread:   make(chan struct{}),
		drainEnded:   make(chan struct{}),
		acceptEnded:  make(chan struct{}),
		stopped:      make(chan struct{}),
	}
	s.closing, s.close = context.WithCancel(context.Background())
	s.tls = cfg.TLS.Clone()
	s.tls.NextProtos = []string{http3.NextProtoH3}
	s.tls.MinVersion = tls.VersionTLS13
	if len(cfg.TicketKeys) > 0 {
		s.tls.SetSessionTicketKeys(cfg.TicketKeys)
	}
	s.transport = &quic.Transport{
		Conn:                  cfg.PacketConn,
		ConnectionIDLength:    8,
		ConnectionIDGenerator: cfg.IDs,
		StatelessResetKey:     cfg.StatelessResetKey,
		TokenGeneratorKey:     cfg.TokenKey,
		VerifySourceAddress:   cfg.VerifySourceAddress,
	}
	for i := range s.shards {
		s.shards[i].http = &http3.Server{Handler: s.flows.countRequests(cfg.Handler), ConnContext: s.flows.connContext}
	}
	return s, nil
}

func (cfg Config) withDefaults() Config {
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, DefaultIdleTimeout)
	cfg.KeepAlive = cmp.Or(cfg.KeepAlive, DefaultKeepAlive)
	cfg.MaxRequests = cmp.Or(cfg.MaxRequests, DefaultMaxRequests)
	cfg.Log = cmp.Or(cfg.Log, slog.Default())
	return cfg
}

// quicConfig leaves Allow0RTT off, because early data can be replayed by anyone who captured it.
func (cfg Config) quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 cfg.IdleTimeout,
		KeepAlivePeriod:                max(cfg.KeepAlive, 0),
		InitialPacketSize:              PacketSize,
		DisablePathMTUDiscovery:        true,
		MaxIncomingStreams:             cfg.MaxRequests,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: flowWindow,
		MaxConnectionReceiveWindow:     flowWindow,
	}
}

// Flows returns the number of open flows.
func (s *Server) Flows() int { return s.flows.count() }

// InFlight returns the number of requests being answered.
func (s *Server) InFlight() int { return s.flows.inFlight() }

// Run serves until Shutdown, or until ctx ends, which cuts the requests in flight. The channel receives nil
// or the error that ended the server.
func (s *Server) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	listener, err := s.listen()
	if err != nil {
		close(s.acceptEnded)
		done <- err
		return done
	}
	go func() {
		err := s.accept(ctx, listener)
		close(s.acceptEnded)
		if err == nil && ctx.Err() == nil {
			// Shutdown closed the listener and closes the rest.
			select {
			case <-s.stopped:
			case <-ctx.Done():
			}
		}
		s.stop()
		done <- err
	}()
	return done
}

func (s *Server) listen() (*quic.Listener, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil, errors.AlreadyExistsf("listener of the flow server")
	}
	listener, err := s.transport.Listen(s.tls, s.cfg.quicConfig())
	if err != nil {
		return nil, fmt.Errorf("listening for callers: %w", err)
	}
	s.listener = listener
	return listener, nil
}

func (s *Server) accept(ctx context.Context, listener *quic.Listener) error {
	for next := 0; ; next++ {
		conn, err := listener.Accept(ctx)
		if errors.Is(err, quic.ErrServerClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accepting flow: %w", err)
		}
		s.serve(conn, s.chooseShard(next))
	}
}

// chooseShard returns the shard for the nth flow.
func (s *Server) chooseShard(n int) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := &s.shards[n%drainShards]
	select {
	case <-s.drainStarted:
		sh = &s.shards[drainShards]
	default:
	}
	sh.registering.Add(1)
	return sh
}

func (s *Server) serve(conn *quic.Conn, sh *shard) {
	fl := s.flows.add(conn, sh.registering.Done)
	s.handlers.Add(1)
	go func() {
		defer s.handlers.Done()
		defer s.flows.remove(conn)
		_ = sh.http.ServeQUICConn(conn)
		fl.registered()
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}()
}
