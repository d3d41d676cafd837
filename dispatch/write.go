package dispatch

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/header"
	"endiveflow.example/endiveflow/outlier"
	"endiveflow.example/endiveflow/retry"
)

var (
	placedLocal    = metrics.GetOrCreateCounter(`endiveflow_dispatch_placed_total{where="local"}`)
	placedPeer     = metrics.GetOrCreateCounter(`endiveflow_dispatch_placed_total{where="peer"}`)
	placedQueue    = metrics.GetOrCreateCounter(`endiveflow_dispatch_placed_total{where="queue"}`)
	brokenAnswers  = metrics.GetOrCreateCounter(`endiveflow_dispatch_broken_answers_total`)
	malformedLoads = metrics.GetOrCreateCounter(`endiveflow_dispatch_malformed_loads_total`)
)

func countRetry(d retry.Decision) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`endiveflow_dispatch_retries_total{allowed="%t",reason=%q}`, d.Retry, d.Reason)).Inc()
}

// writeToCaller sends a result to a caller and counts it.
func (h *Handler) writeToCaller(w http.ResponseWriter, res result) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`endiveflow_dispatch_requests_total{outcome=%q}`, res.outcome)).Inc()
	if res.outcome != retry.Answered {
		metrics.GetOrCreateCounter(fmt.Sprintf(`endiveflow_dispatch_refused_total{outcome=%q,reason=%q}`, res.outcome, res.reason)).Inc()
		if res.status == http.StatusServiceUnavailable {
			h.refusals.add(res.reason, h.cfg.Now())
		}
	}
	h.send(w, res)
}

// writeToPeer sends a result to another agent, together with the local load.
func (h *Handler) writeToPeer(w http.ResponseWriter, res result) {
	l := h.Load()
	if !h.cfg.AcceptsWork() || h.peers.avoidLocal() {
		l.Slots = 0
	}
	setLoad(w.Header(), l)
	if res.outcome == retry.NotRun && res.attempted {
		w.Header().Set(header.Shed, "1")
	}
	h.send(w, res)
}

func setLoad(to http.Header, l admit.Load) {
	if text, err := l.MarshalText(); err == nil {
		to.Set(HeaderLoad, string(text))
	}
}

func (h *Handler) send(w http.ResponseWriter, res result) {
	w.Header().Set(header.Outcome, res.outcome.String())
	if res.outcome == retry.Answered {
		h.sendAnswer(w, res.answer)
		return
	}
	w.Header().Set(HeaderReason, res.reason)
	if res.key != "" {
		w.Header().Set(header.Key, res.key)
	}
	if res.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(h.wholeSeconds(res.retryAfter)))
		w.Header().Set(header.RetryAfter, strconv.FormatInt(res.retryAfter.Milliseconds(), 10))
	}
	http.Error(w, res.reason, res.status)
}

// wholeSeconds rounds d to whole seconds, up with a probability equal to its fraction and else down, so
// that callers refused together do not all retry at the same second. The result is at least 1.
func (h *Handler) wholeSeconds(d time.Duration) int {
	whole, fraction := math.Modf(d.Seconds())
	if h.cfg.Rand() < fraction {
		whole++
	}
	return max(int(whole), 1)
}

// sendAnswer forwards an answer. If the answer breaks off, the caller's stream is aborted, so that the
// caller never mistakes a truncated answer for a complete one.
func (h *Handler) sendAnswer(w http.ResponseWriter, a *answer) {
	defer a.close()
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.head); err != nil || a.rest == nil {
		return
	}
	if _, err := io.Copy(w, a.rest); err != nil {
		brokenAnswers.Inc()
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) auditEjection(v outlier.Verdict) {
	h.cfg.Trail.Record(audit.Event{Action: "eject", Target: "upstream " + v.Addr.String(), Reason: v.Reason})
}

// refusalAuditInterval is the shortest time between two audit events for refusals with the same reason. In an
// overload, one event per refusal would push all other events out of the trail.
const refusalAuditInterval = 10 * time.Second

// refusals counts refusals and records them in the audit trail, combined by reason.
type refusals struct {
	trail *audit.Trail
	// mu guards byReason.
	mu sync.Mutex
	// byReason holds the refusals by reason. Its size is bounded, since the reasons are fixed texts.
	byReason map[string]*refusalSum
}

// refusalSum is the number of refusals since the latest audit event, and the time of that event.
type refusalSum struct {
	count int
	last  time.Time
}

func newRefusals(trail *audit.Trail) *refusals {
	return &refusals{trail: trail, byReason: make(map[string]*refusalSum)}
}

func (r *refusals) add(reason string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.byReason[reason]
	if !ok {
		s = &refusalSum{}
		r.byReason[reason] = s
	}
	s.count++
	if ok && now.Sub(s.last) < refusalAuditInterval {
		return
	}
	r.trail.Record(audit.Event{Action: "refuse", Target: "requests", Reason: fmt.Sprintf("%s (%d refused since the last event)", reason, s.count)})
	s.count, s.last = 0, now
}
