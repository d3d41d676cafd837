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

// hostRelay forwards the calls of hosts that can't reach their own agent to that agent. It acknowledges a
// call only if the agent did.
type hostRelay struct {
	// port is the port at which agents serve the calls of hosts.
	port uint16
	http *http.Client
	log  *eventlog.Log
}

// ServeHTTP forwards a call to the agent of the calling host.
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
	h.forward(w, r, address, body)
}

func (h hostRelay) forward(w http.ResponseWriter, r *http.Request, host netip.Addr, body []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), fetchTimeout)
	defer cancel()
	res, err := platform.RelayHostCall(ctx, h.http, r.Method, netip.AddrPortFrom(host, h.port), r.URL.Path, body)
	h.log.Info("forwarded host call", "call", r.Method, "host", host.String(), "status", strconv.Itoa(res), "error", errorText(err))
	if err != nil {
		http.Error(w, "the host's agent did not answer", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(res)
}
