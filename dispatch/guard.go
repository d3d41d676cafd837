package dispatch

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
)

// callUpstream calls Config.Upstream and turns a panic into an error, after which the request may have run.
// A run with a key has its own goroutine, so the HTTP server would not recover from its panic.
func (h *Handler) callUpstream(r *http.Request) (resp *http.Response, err error) {
	defer recoverToError("upstream", &err)
	resp, err = h.cfg.Upstream(r)
	return guardBody("upstream", resp), err
}

// callPeer calls Config.Peer and turns a panic into an error, like callUpstream.
func (h *Handler) callPeer(ctx context.Context, addr netip.AddrPort, r *http.Request) (resp *http.Response, err error) {
	defer recoverToError("peer", &err)
	resp, err = h.cfg.Peer(ctx, addr, r)
	return guardBody("peer", resp), err
}

// recoverToError turns a panic into an error. It must be deferred directly.
func recoverToError(where string, err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`endiveflow_dispatch_panics_total{where=%q}`, where)).Inc()
	slog.Error("panic while calling another process", "where", where, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	*err = fmt.Errorf("panic in %s: %v", where, cause)
}

// guardBody replaces the response body by one that turns panics into errors.
func guardBody(where string, resp *http.Response) *http.Response {
	if resp != nil {
		resp.Body = &guardedBody{ReadCloser: resp.Body, where: where}
	}
	return resp
}

// guardedBody is a response body that turns panics into errors.
type guardedBody struct {
	io.ReadCloser
	where string
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (n int, err error) {
	defer recoverToError(b.where, &err)
	return b.ReadCloser.Read(p)
}

// Close implements io.Closer.
func (b *guardedBody) Close() (err error) {
	defer recoverToError(b.where, &err)
	return b.ReadCloser.Close()
}
