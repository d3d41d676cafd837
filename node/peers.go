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

// HTTPClient returns a client whose requests go to peers. The host of a URL
// is the peer address of the other process.
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
		return nil, fmt.Errorf("reading peer address: %w", err)
	}
	resp, err := t.client.Do(req.Context(), addr, req)
	if err != nil {
		return nil, fmt.Errorf("asking peer %s: %w", addr, err)
	}
	return resp, nil
}

// FxLogger returns the logger of fx events. They are of no use to operators:
// errors are returned, and their events hold stacks.
func FxLogger(log *slog.Logger) func() fxevent.Logger {
	return func() fxevent.Logger {
		l := &fxevent.SlogLogger{Logger: log}
		l.UseLogLevel(slog.LevelDebug)
		l.UseErrorLevel(slog.LevelDebug)
		return l
	}
}
