package cost

import (
	"math"
	"time"

	"endiveflow.example/endiveflow/flow"
)

// FlowOpened records that a flow of a route is open at the host, from its first request on.
func (e *Estimator) FlowOpened(at flow.Endpoint, now time.Duration) {
	r := e.use(at, now)
	r.updateRates(now)
	r.open++
}

// FlowClosed records the end of a flow for which FlowOpened was called. single reports whether its caller closed it after
// one request.
func (e *Estimator) FlowClosed(at flow.Endpoint, single bool, now time.Duration) {
	r := e.find(at)
	r.updateRates(now)
	r.open = max(r.open-1, 0)
	if single {
		r.updateKind(now)
		r.singleFlows++
	}
}

// LaterRequest records a request of an open flow other than the flow's first one.
func (e *Estimator) LaterRequest(at flow.Endpoint, now time.Duration) {
	r := e.use(at, now)
	r.updateRates(now)
	r.updateKind(now)
	r.requests++
	r.laterRequests++
}

func (r *route) updateKind(now time.Duration) {
	decay := math.Exp2(-float64(max(now-r.kindAt, 0)) / float64(kindHalfLife))
	r.laterRequests, r.singleFlows, r.kindAt = r.laterRequests*decay, r.singleFlows*decay, now
}

// HasLongFlows reports whether flows of a route may carry several requests. It is false if more flows ended after one request than
// there were later requests. Counting first requests against later ones instead would take the flows of a mass reconnection for
// short ones.
func (e *Estimator) HasLongFlows(at flow.Endpoint) bool { return e.find(at).hasLongFlows() }

func (r *route) hasLongFlows() bool { return r.singleFlows <= r.laterRequests }

// updateRates brings requests and flowSeconds up to date.
func (r *route) updateRates(now time.Duration) {
	elapsed := now - r.ratesAt
	if elapsed <= 0 {
		return
	}
	decay := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	r.requests *= decay
	r.flowSeconds = r.flowSeconds*decay + float64(r.open)*elapsed.Seconds()
	r.ratesAt = now
}

// rate returns the later requests per second of an open flow.
func (r *route) rate() float64 {
	return (r.requests + priorRate*priorFlowSeconds) / (r.flowSeconds + priorFlowSeconds)
}

// StandingLoad returns the work per second that the open flows of routes with long flows bring; a second keeps one slot busy.
func (e *Estimator) StandingLoad(now, fallback time.Duration) time.Duration {
	load := 0.0
	for _, r := range e.routes {
		if r.open > 0 && r.hasLongFlows() {
			load += float64(r.open) * r.rate() * float64(e.expected(r, true, now, fallback))
		}
	}
	return time.Duration(load)
}

// OpenFlows returns the number of open flows that have carried a request.
func (e *Estimator) OpenFlows() int {
	n := e.other.open
	for _, r := range e.routes {
		n += r.open
	}
	return n
}
