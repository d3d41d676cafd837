package packetnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

// Paths that a process serves to other processes and to operators.
const (
	configPath  = "/config"
	metricsPath = "/metrics"
)

// Timeouts of the HTTP server.
const (
	// headerTimeout keeps a stuck client from holding a connection.
	headerTimeout = 5 * time.Second
	// idleTimeout closes idle connections, which hold file descriptors.
	idleTimeout = 30 * time.Second
	// keepAlive detects clients that disappeared without closing the connection.
	keepAlive = 5 * time.Second
)

// serve serves HTTP at address until ctx ends.
func serve(ctx context.Context, address netip.AddrPort, handler http.Handler) (<-chan error, error) {
	listener, err := (&net.ListenConfig{KeepAlive: keepAlive}).Listen(ctx, "tcp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("listening for calls at %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	done := make(chan error, 1)
	go func() {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return done, nil
}

// internalHandler serves the endpoints for other processes and for operators. Operators get the configuration as JSON.
func internalHandler(routes *routing.Holder, config *encodedConfig, log *eventlog.Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, r *http.Request) {
		table := routes.Current()
		if table == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		contentType, encode := "application/json", table.JSON
		if r.Header.Get("Accept") == routing.ContentType {
			contentType, encode = routing.ContentType, func() ([]byte, error) { return config.of(table) }
		}
		body, err := encode()
		if err != nil {
			log.Error("cannot serve the configuration", "config", table.Version, "error", err.Error())
			http.Error(w, "cannot encode the configuration", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(body)
	})
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	return mux
}

// newHTTPClient returns a client that detects connections whose other end no longer responds.
func newHTTPClient() *http.Client {
	t := platform.NewTransport()
	t.DialContext = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext
	return &http.Client{Transport: t}
}

// dialTimeout bounds connection setup between VMs.
const dialTimeout = 500 * time.Millisecond
