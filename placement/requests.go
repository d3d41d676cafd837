package placement

import (
	"time"

	"endiveflow.example/endiveflow/cost"
	"endiveflow.example/endiveflow/flow"
)

// Request is a request in a host.
type Request struct {
	// started is when the request began to run; negative while it waits.
	started time.Duration
	class   cost.Class
	// expected is the expected service time, typical the fleet's value of the route, 0 if unknown, both when the request arrived.
	expected, typical time.Duration
}

// removePending removes a pending flow. Which one it is doesn't matter, as their requests are soon to arrive.
func (h *Host) removePending() {
	if h.pendingFlows > 0 {
		h.pendingWork -= h.pendingWork / time.Duration(h.pendingFlows)
		h.pendingFlows--
	}
}

// RouteCost is what a host has learned of a route.
type RouteCost struct {
	// ServiceTime is the measured time of a request, 0 if none was answered.
	ServiceTime time.Duration
	// LongFlows reports whether flows may carry several requests.
	LongFlows bool
}

// RouteCost returns what the host has learned of the route of a service endpoint.
func (h *Host) RouteCost(at flow.Endpoint, now time.Duration) RouteCost {
	h.mu.Lock()
	defer h.mu.Unlock()
	return RouteCost{ServiceTime: h.costs.Measured(at, now), LongFlows: h.costs.HasLongFlows(at)}
}

// RelativeCost returns the service time of the host's requests as a multiple of the fleet's values for the same requests,
// 0 if unknown.
func (h *Host) RelativeCost() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.costs.Relative()
}

// FlowOpened counts an open flow, from its first request on; FlowClosed ends it. single reports whether its caller
// closed it after one request.
func (h *Host) FlowOpened(at flow.Endpoint, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.costs.FlowOpened(at, now)
}

// FlowClosed ends a flow that FlowOpened counted.
func (h *Host) FlowClosed(at flow.Endpoint, single bool, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.costs.FlowClosed(at, single, now)
}

// Reassess updates and returns whether the host is faulty, with its failure rate. A host that gets no flows
// is reassessed only here.
func (h *Host) Reassess(now time.Duration) (faulty bool, failureRate float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures.updateFaulty(now)
	return h.failures.faulty, h.failures.rateAt(now)
}

// RequestArrived records a request of no particular route that arrived at the host. pending reports whether its flow was
// counted as pending, and delay is the time since the flow was given to the host.
func (h *Host) RequestArrived(now time.Duration, pending bool, delay time.Duration) *Request {
	return h.ClassRequestArrived(cost.Class{}, now, pending, delay)
}

// ClassRequestArrived records a request of a class that arrived at the host, as RequestArrived does.
func (h *Host) ClassRequestArrived(c cost.Class, now time.Duration, pending bool, delay time.Duration) *Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	if pending {
		h.removePending()
		h.requestDelay += (delay - h.requestDelay) / serviceSamples
	}
	if c.Later {
		h.costs.LaterRequest(c.Route, now)
	}
	r := &Request{started: -1, class: c, expected: h.costs.Expected(c, now, h.serviceTime), typical: h.costs.Typical(c.Route)}
	h.requests = append(h.requests, r)
	h.startRequests(now)
	return r
}

// startRequests sets the start time of requests that now have a slot.
func (h *Host) startRequests(now time.Duration) {
	for _, r := range h.requests[:min(len(h.requests), h.slots)] {
		if r.started < 0 {
			r.started = now
		}
	}
}

// RequestAnswered ends a request that was answered.
func (h *Host) RequestAnswered(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.remove(r, now) || r.started < 0 {
		return
	}
	h.failures.record(false, now)
	took := h.costs.Observe(r.class, now-r.started, now)
	h.samples = min(h.samples+1, serviceSamples)
	weight := time.Duration(h.samples + 1)
	h.serviceTime += (took - h.serviceTime) / weight
	switch {
	case r.typical == 0:
	case h.typicalTime == 0:
		h.typicalTime = r.typical
	default:
		h.typicalTime += (r.typical - h.typicalTime) / weight
	}
}

// RequestFailed ends a request whose flow the host reset.
func (h *Host) RequestFailed(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remove(r, now) {
		h.failures.record(true, now)
	}
}

// RequestAbandoned ends a request whose caller left without an answer. It counts as a failure if the host had
// far more time than usual.
func (h *Host) RequestAbandoned(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remove(r, now) && r.started >= 0 && now-r.started > hungRequestFactor*max(h.serviceTime, r.expected) {
		h.failures.record(true, now)
	}
}

// RequestEnded ends a request without an answer or, if r is nil, a pending flow without a request.
func (h *Host) RequestEnded(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r == nil {
		h.removePending()
		return
	}
	h.remove(r, now)
}

func (h *Host) remove(r *Request, now time.Duration) bool {
	for i, other := range h.requests {
		if other == r {
			h.requests = append(h.requests[:i], h.requests[i+1:]...)
			h.startRequests(now)
			return true
		}
	}
	return false
}
