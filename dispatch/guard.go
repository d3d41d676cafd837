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

// callUpstream calls Config.Upstream. A panic is an error after which the request may have run:
// a run with a key is not on a goroutine of a server that recovers from it.
func (h *Handler) callUpstream(r *http.Request) (resp *http.Response, err error) {
	defer recovered("upstream", &err)
	resp, err = h.cfg.Upstream(r)
	return guarded("upstream", resp), err
}

// callPeer calls Config.Peer, with panics as in callUpstream.
func (h *Handler) callPeer(ctx context.Context, addr netip.AddrPort, r *http.Request) (resp *http.Response, err error) {
	defer recovered("peer", &err)
	resp, err = h.cfg.Peer(ctx, addr, r)
	return guarded("peer", resp), err
}

// recovered turns a panic into an error. It must be deferred directly.
func recovered(where string, err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`endiveflow_dispatch_panics_total{where=%q}`, where)).Inc()
	slog.Error("panic in a call of another process", "where", where, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	*err = fmt.Errorf("panic in %s: %v", where, cause)
}

func guarded(where string, resp *http.Response) *http.Response {
	if resp != nil {
		resp.Body = &guardedBody{ReadCloser: resp.Body, where: where}
	}
	return resp
}

// guardedBody is a body whose panics are errors.
type guardedBody struct {
	io.ReadCloser
	where string
}

// Read reads the body.
func (b *guardedBody) Read(p []byte) (n int, err error) {
	defer recovered(b.where, &err)
	return b.ReadCloser.Read(p)
}

// Close closes the body.
func (b *guardedBody) Close() (err error) {
	defer recovered(b.where, &err)
	return b.ReadCloser.Close()
}
