package node

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/fx/fxevent"

	"endiveflow.example/endiveflow/peer"
)

// HTTPClient returns a client that sends its requests to peers. The host of a URL is the other process's peer
// address.
func HTTPClient(client *peer.Client, timeout time.Duration) *http.Client {
	return &http.Client{Transport: peerTransport{client: client}, Timeout: timeout}
}

type peerTransport struct {
	client *peer.Client
}

// RoundTrip implements http.RoundTripper.
func (t peerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	addr, err := netip.ParseAddrPort(req.URL.Host)
	if err != nil {
		return nil, fmt.Errorf("parsing peer address: %w", err)
	}
	resp, err := t.client.Do(req.Context(), addr, req)
	if err != nil {
		return nil, fmt.Errorf("sending a request to peer %s: %w", addr, err)
	}
	return resp, nil
}

// FxLogger returns a logger that logs fx events at debug level. They are of no use to operators: errors are
// returned anyway, and the events contain stack traces.
func FxLogger(log *slog.Logger) func() fxevent.Logger {
	return func() fxevent.Logger {
		l := &fxevent.SlogLogger{Logger: log}
		l.UseLogLevel(slog.LevelDebug)
		l.UseErrorLevel(slog.LevelDebug)
		return l
	}
}
