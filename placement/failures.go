package placement

import (
	"math"
	"time"
)

const (
	// failureSamples is the window of the moving average of failures, in requests.
	failureSamples = 16
	// faultyThreshold is the failure rate from which a host counts as faulty; it recovers below a third of
	// it. A healthy host resets no request.
	faultyThreshold = 0.15
	// failureHalfLife is the time in which the failure rate halves while no requests end, so that a faulty
	// host that gets no flows is used again after some seconds.
	failureHalfLife = 5 * time.Second
	// failureCostTargets is the cost of a failure to a caller, in multiples of the route's target: the time until
	// the caller has retried, or the loss of a request that may not be repeated.
	failureCostTargets = 4
	// hungRequestFactor is how many times the mean service time a request must have run for its abandonment
	// by the caller to count as a failure of the host.
	hungRequestFactor = 10
)

// failureStats tracks the share of requests that a host fails, as observed by its agent: the host reset the
// flow or did not answer before the caller left. The health that the host itself reports is not used.
type failureStats struct {
	rate float64
	// updated is when the last request ended.
	updated time.Duration
	faulty  bool
}

func (f *failureStats) record(failed bool, now time.Duration) {
	rate, outcome := f.rateAt(now), 0.0
	if failed {
		outcome = 1
	}
	f.rate, f.updated = rate+(outcome-rate)/failureSamples, now
	f.updateFaulty(now)
}

func (f *failureStats) rateAt(now time.Duration) float64 {
	return f.rate * math.Exp2(-float64(now-f.updated)/float64(failureHalfLife))
}

// updateFaulty sets faulty. Hysteresis keeps a host near the threshold from changing its state with each
// request.
func (f *failureStats) updateFaulty(now time.Duration) {
	rate := f.rateAt(now)
	f.faulty = rate >= faultyThreshold || f.faulty && rate >= faultyThreshold/3
}

// expectedCost returns the mean time that the failures of a faulty host cost the caller of a flow. A faulty
// host is used once the others would take longer by that time. No limit on the number of faulty hosts is
// needed: if all are faulty, all are used.
func (f *failureStats) expectedCost(target, now time.Duration) time.Duration {
	if !f.faulty {
		return 0
	}
	return time.Duration(failureCostTargets * f.rateAt(now) * float64(target))
}
