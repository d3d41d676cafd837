package agent

import (
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/header"
	"endiveflow.example/endiveflow/retry"
)

const (
	// headerService is the header with the service tag of the agent that sends a request to a peer.
	headerService = "Endiveflow-Service"
	// headerServiceName is the header with the name of the service, which agents of earlier versions don't send. Two services may have
	// the same tag, see config.View.
	headerServiceName = "Endiveflow-Service-Name"
)

const reasonOtherService = "agent serves another service"

var otherServiceTotal = metrics.GetOrCreateCounter(`endiveflow_agent_other_service_total`)

func setService(r *http.Request, service string) {
	r.Header.Set(headerService, tagText(config.TagOf(service)))
	r.Header.Set(headerServiceName, service)
}

// isFromService reports whether a request comes from an agent of a service.
func isFromService(r *http.Request, service string) bool {
	name := r.Header.Get(headerServiceName)
	return r.Header.Get(headerService) == tagText(config.TagOf(service)) && (name == "" || name == service)
}

func tagText(tag config.ServiceTag) string { return strconv.FormatUint(uint64(tag), 16) }

// peerHandler returns the handler of requests and ledger transfers from agents of the same service.
// The service has to be verified, since all endiveflow processes share the fleet's certificates, and a stale
// membership record can have an address that is now used by an agent of another service.
func peerHandler(service string, h *dispatch.Handler, ho *handover) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ledgerPath, ho.receiveLedger)
	mux.HandleFunc("POST "+successorPath, ho.receiveSuccessor)
	requests := h.PeerHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !isFromService(r, service):
			rejectOtherService(w, r)
		// Handed-over requests keep the path of the caller, so only the header distinguishes them from transfers.
		case r.Header.Get(dispatch.HeaderHandover) != "":
			requests.ServeHTTP(w, r)
		default:
			mux.ServeHTTP(w, r)
		}
	})
}

// rejectOtherService rejects a request from an agent of another service. It sets no outcome for a request with
// a key: only the home of the key or its successor has a record of whether an earlier attempt has run.
func rejectOtherService(w http.ResponseWriter, r *http.Request) {
	otherServiceTotal.Inc()
	if r.Header.Get(dispatch.HeaderHandover) != "" && r.Header.Get(header.Key) == "" {
		w.Header().Set(header.Outcome, retry.NotRun.String())
		w.Header().Set(dispatch.HeaderReason, reasonOtherService)
		http.Error(w, reasonOtherService, http.StatusServiceUnavailable)
		return
	}
	http.Error(w, reasonOtherService, http.StatusMisdirectedRequest)
}
