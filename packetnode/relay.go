package packetnode

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/platform"
)

// hostRelay serves hosts that can't reach the agent beside them: it passes their
// calls on to that agent, and acknowledges only what the agent acknowledged.
type hostRelay struct {
	// port is where agents serve the calls of hosts.
	port uint16
	http *http.Client
	log  *eventlog.Log
}

// ServeHTTP passes a call on.
func (h hostRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxHeartbeatBytes))
	if err != nil {
		http.Error(w, "body is too large or incomplete", http.StatusBadRequest)
		return
	}
	address, err := platform.HeartbeatAddress(body)
	if err != nil {
		http.Error(w, "no host address in the call", http.StatusServiceUnavailable)
		return
	}
	h.pass(w, r, address, body)
}

func (h hostRelay) pass(w http.ResponseWriter, r *http.Request, host netip.Addr, body []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), fetchTimeout)
	defer cancel()
	res, err := platform.RelayHostCall(ctx, h.http, r.Method, netip.AddrPortFrom(host, h.port), r.URL.Path, body)
	h.log.Info("call of a host passed on", "call", r.Method, "host", host.String(), "status", strconv.Itoa(res), "error", textOf(err))
	if err != nil {
		http.Error(w, "the host's agent did not answer", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(res)
}
