package placement

import (
	"math"
	"time"
)

const (
	// failingSamples is the number of requests that the share of failures mostly rests on.
	failingSamples = 16
	// faultyShare is the share of failures from which a host counts as faulty. A host
	// that is well resets no request; a third of it ends the state again.
	faultyShare = 0.15
	// failingHalfLife is the time without any request in which the share halves, so that a faulty host
	// that gets no flows is tried again after some seconds.
	failingHalfLife = 5 * time.Second
	// failureTargets is what a failure costs a caller, in targets of its route: the time until it
	// has tried again, and for a request that may not be repeated all of it.
	failureTargets = 4
	// hungFactor is how many times the mean time a request must have run
	// for its caller's leaving to count as a failure of the host.
	hungFactor = 10
)

// failing is the share of requests that a host fails, as its agent sees it: the host reset the flow
// or let the caller wait in vain. What the host says of its own health plays no part.
type failing struct {
	share float64
	// at is when the last request ended.
	at     time.Duration
	faulty bool
}

func (f *failing) note(failed bool, now time.Duration) {
	share, outcome := f.current(now), 0.0
	if failed {
		outcome = 1
	}
	f.share, f.at = share+(outcome-share)/failingSamples, now
	f.judge(now)
}

func (f *failing) current(now time.Duration) float64 {
	return f.share * math.Exp2(-float64(now-f.at)/float64(failingHalfLife))
}

// judge updates faulty. Hysteresis keeps a host near the limit from changing its state with each request.
func (f *failing) judge(now time.Duration) {
	share := f.current(now)
	f.faulty = share >= faultyShare || f.faulty && share >= faultyShare/3
}

// cost is the time that the failures of a faulty host cost the caller of a flow on average. A faulty host is
// used when others would take longer by that, so that no cap on faulty hosts is needed: when all are, all are used.
func (f *failing) cost(target, now time.Duration) time.Duration {
	if !f.faulty {
		return 0
	}
	return time.Duration(failureTargets * f.current(now) * float64(target))
}
