package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/upstream"
)

// Headers of the stand-in upstream.
const (
	// RequestIDHeader identifies a request; the upstream counts its executions and echoes it.
	RequestIDHeader = "X-Request-Id"
	// ServiceHeader carries the name of the answering service.
	ServiceHeader = "X-Service"
)

// Break selects how an upstream's answers fail.
type Break int32

// Values of Break.
const (
	// BreakNone answers correctly.
	BreakNone Break = iota
	// BreakBefore closes the connection before the request is executed.
	BreakBefore
	// BreakAfter executes the request and then closes the connection without an answer.
	BreakAfter
	// BreakTruncate closes the connection in the middle of the answer.
	BreakTruncate
	// BreakGarbage answers with bytes that are not HTTP.
	BreakGarbage
)

// UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	// Service is the name of the service, returned in each answer.
	Service string
	// Address is the address to listen on; the zero value means a free port of 127.0.0.1.
	Address netip.AddrPort
	// Slots is the number of requests executed concurrently; 0 means 4.
	Slots int
	// MaxQueue is the number of requests that may wait for a slot; further ones are shed.
	MaxQueue int
	// WorkTimes are the execution times by path prefix. The longest matching prefix applies; other paths take
	// no time.
	WorkTimes map[string]time.Duration
	// WarmupTime is the time after the start in which execution takes WarmupFactor times as long.
	WarmupTime time.Duration
	// WarmupFactor applies during WarmupTime; 0 means 3.
	WarmupFactor float64
	// StartupTime is how long the upstream announces the state starting.
	StartupTime time.Duration
	// AgentURL is the base URL of the agent's admin server; if empty, the upstream sends no announcements.
	AgentURL string
	// Interval is the time between announcements; 0 means upstream.DefaultAnnouncementInterval.
	Interval time.Duration
	// LoadLag is the age of the load that /load reports.
	LoadLag time.Duration
}

// Upstream is a small HTTP/1.1 server with a limited number of slots. It is safe for concurrent use.
type Upstream struct {
	cfg      UpstreamConfig
	listener net.Listener
	server   *http.Server
	started  time.Time
	// slots holds one element for each request being executed.
	slots chan struct{}
	// announceNow triggers an announcement before the interval ends.
	announceNow chan struct{}

	waiting, running, shed, announced atomic.Int64
	delay                             atomic.Int64
	breakMode                         atomic.Int32
	shedAll, misleadHealth            atomic.Bool

	mu sync.Mutex
	// state overrides the announced state if not empty. Guarded by mu.
	state upstream.State
	// executed counts executions by request ID. Guarded by mu.
	executed map[string]int
	// cancelled lists the IDs of requests whose client disconnected during execution. Guarded by mu.
	cancelled []string
	// conns holds the open connections and whether each is silent. Guarded by mu.
	conns map[net.Conn]*connState
	// loads are recent samples of the load, for LoadLag. Guarded by mu.
	loads []loadSample
}

// connState is the state of one connection.
type connState struct{ silent atomic.Bool }

// loadSample is the number of executing and waiting requests at a time.
type loadSample struct {
	at   time.Time
	load int64
}

// NewUpstream returns an upstream that listens but doesn't serve yet.
func NewUpstream(cfg UpstreamConfig) (*Upstream, error) {
	if cfg.Service == "" {
		return nil, errors.NotValidf("stand-in upstream without service")
	}
	if cfg.Slots == 0 {
		cfg.Slots = 4
	}
	if cfg.WarmupFactor == 0 {
		cfg.WarmupFactor = 3
	}
	if cfg.Interval == 0 {
		cfg.Interval = upstream.DefaultAnnouncementInterval
	}
	if !cfg.Address.IsValid() {
		cfg.Address = netip.MustParseAddrPort("127.0.0.1:0")
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", cfg.Address.String())
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	u := &Upstream{
		cfg:         cfg,
		listener:    listener,
		started:     time.Now(),
		slots:       make(chan struct{}, cfg.Slots),
		announceNow: make(chan struct{}, 1),
		executed:    make(map[string]int),
		conns:       make(map[net.Conn]*connState),
	}
	u.server = &http.Server{
		Handler:           u.handler(),
		ReadHeaderTimeout: 10 * time.Second,
		ConnState:         u.trackConn,
		ConnContext:       u.connContext,
	}
	return u, nil
}

// Address returns the address that the upstream listens on.
func (u *Upstream) Address() netip.AddrPort {
	addr, ok := u.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Run serves and announces until ctx ends, and then closes all connections at once. Use Shutdown for a
// graceful stop. The channel receives nil or the reason of the failure.
func (u *Upstream) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	announcing := make(chan struct{})
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	go func() {
		defer close(announcing)
		u.announce(announceCtx)
	}()
	stop := context.AfterFunc(ctx, func() { _ = u.server.Close() })
	go func() {
		defer stop()
		err := u.server.Serve(u.listener)
		stopAnnouncing()
		<-announcing
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

// Shutdown announces draining, waits for the requests in flight and ends Run.
func (u *Upstream) Shutdown(ctx context.Context) error {
	u.SetState(upstream.StateDraining)
	if err := u.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shutting down upstream: %w", err)
	}
	return nil
}

// workTime returns the current execution time of requests to a path.
func (u *Upstream) workTime(path string) time.Duration {
	longest := -1
	var work time.Duration
	for prefix, d := range u.cfg.WorkTimes {
		if len(prefix) > longest && strings.HasPrefix(path, prefix) {
			longest, work = len(prefix), d
		}
	}
	if time.Since(u.started) < u.cfg.WarmupTime {
		work = time.Duration(float64(work) * u.cfg.WarmupFactor)
	}
	return work + time.Duration(u.delay.Load())
}
