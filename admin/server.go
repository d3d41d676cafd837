package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/audit"
)

// Bounds of requests to the admin server.
const (
	// DefaultShutdownGrace is the default bound on how long requests in flight may take after the context of Run
	// has ended.
	DefaultShutdownGrace = 5 * time.Second
	// readTimeout keeps a stuck client from holding a connection.
	readTimeout = 10 * time.Second
	// maxAnnounceBytes bounds the body of an announcement.
	maxAnnounceBytes = 64 << 10
)

// Config configures a Server. If a function field is nil, its path answers 404.
type Config struct {
	// Address is the address to listen on; port 0 chooses a free port.
	Address netip.AddrPort
	// Ready returns the reasons why the process is not ready; empty means ready.
	Ready func() []string
	// Audit holds the events returned at /audit; nil means 404.
	Audit *audit.Trail
	// Status returns the value that is returned as JSON at /status.
	Status func(context.Context) (any, error)
	// Explain returns the value that is returned as JSON at /explain; query holds the first value of each
	// query parameter.
	Explain func(ctx context.Context, query map[string]string) (any, error)
	// Announce handles the JSON body of POST /announce. Errors of kind errors.NotValid are answered with
	// 400, others with 500.
	Announce func(body []byte) error
	// ShutdownGrace bounds the graceful shutdown; 0 means DefaultShutdownGrace.
	ShutdownGrace time.Duration
	// Log is the logger for errors; nil means slog.Default.
	Log *slog.Logger
}

// Server is the admin HTTP server.
type Server struct {
	cfg      Config
	listener net.Listener
	http     *http.Server
}

// New opens the listener, so that Address is available immediately and a port in use is reported as an
// error.
func New(cfg Config) (*Server, error) {
	if !cfg.Address.IsValid() {
		return nil, errors.NotValidf("admin server without address")
	}
	if cfg.ShutdownGrace == 0 {
		cfg.ShutdownGrace = DefaultShutdownGrace
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", cfg.Address.String())
	if err != nil {
		return nil, fmt.Errorf("listening for admin requests: %w", err)
	}
	s := &Server{cfg: cfg, listener: listener}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		ErrorLog:          slog.NewLogLogger(cfg.Log.Handler(), slog.LevelWarn),
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	addr, ok := s.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Run serves until ctx ends and then waits up to ShutdownGrace for requests in flight. The channel receives nil or
// the error that ended the server.
func (s *Server) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.listener) }()
	go func() {
		select {
		case err := <-served:
			done <- fmt.Errorf("serving admin requests: %w", err)
		case <-ctx.Done():
			done <- s.shutdown(context.WithoutCancel(ctx))
		}
	}()
	return done
}

func (s *Server) shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ShutdownGrace)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return fmt.Errorf("stopping admin server: %w", err)
	}
	return nil
}

// Handler returns the handler for all paths of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeText(w, "ok\n") })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	if s.cfg.Ready != nil {
		mux.HandleFunc("GET /readyz", s.ready)
	}
	if s.cfg.Audit != nil {
		mux.HandleFunc("GET /audit", s.audit)
	}
	if s.cfg.Status != nil {
		mux.HandleFunc("GET /status", s.status)
	}
	if s.cfg.Explain != nil {
		mux.HandleFunc("GET /explain", s.explain)
	}
	if s.cfg.Announce != nil {
		mux.HandleFunc("POST /announce", s.announce)
	}
	return mux
}

func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(text))
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		s.cfg.Log.Error("encoding admin answer", "error", err)
		http.Error(w, "encoding answer: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
