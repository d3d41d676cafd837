package outlier

import "time"

// The window of the results that are evaluated consists of buckets of one second.
const (
	bucketSpan = time.Second
	buckets    = 10
)

// target holds the results, health reports and ejections of one upstream.
type target struct {
	ring [buckets]bucket
	// consecutiveFailures is the number of failures since the latest success.
	consecutiveFailures int
	// slowStartBegin is the beginning of the slow start; zero means that the upstream is warm.
	slowStartBegin time.Time
	// ejectedUntil is the end of the latest ejection; zero when there is none.
	ejectedUntil time.Time
	// ejections counts the ejections since the upstream last had its full weight.
	ejections int
	// lastResult is the time of the latest result; zero when there is none.
	lastResult time.Time
	// lastReport is the time of the latest health report; zero when there is none. healthy is what it reported.
	lastReport time.Time
	healthy    bool
}

// bucket sums the results of one second.
type bucket struct {
	second           int64
	answered, failed int
	// timed is the number of answered requests whose latencies are summed up in latency.
	timed   int
	latency time.Duration
}

func (b bucket) mean() time.Duration { return b.latency / time.Duration(max(b.timed, 1)) }

func secondOf(t time.Time) int64 { return t.UnixNano() / int64(bucketSpan) }

func (t *target) record(r Result, now time.Time) {
	t.endEjection(now)
	t.lastResult = now
	second := secondOf(now)
	b := &t.ring[((second%buckets)+buckets)%buckets]
	if b.second != second {
		*b = bucket{second: second}
	}
	if r.Failed {
		b.failed++
		t.consecutiveFailures++
		return
	}
	t.consecutiveFailures = 0
	b.answered++
	if r.Latency > 0 {
		b.timed++
		b.latency += r.Latency
	}
}

// window returns the sum of the results in the window that ends at now.
func (t *target) window(now time.Time) bucket {
	var sum bucket
	oldest := secondOf(now) - buckets
	for _, b := range t.ring {
		if b.second <= oldest {
			continue
		}
		sum.answered += b.answered
		sum.failed += b.failed
		sum.timed += b.timed
		sum.latency += b.latency
	}
	return sum
}

// unhealthyReason returns the reason why the upstream is unhealthy, or "" if it is healthy. latencies
// are the mean latencies of the service's upstreams in ascending order.
func (t *target) unhealthyReason(latencies []time.Duration, now time.Time) string {
	w := t.window(now)
	n := w.answered + w.failed
	switch {
	case t.consecutiveFailures >= maxConsecutiveFailures && w.failed > 0:
		return ReasonConsecutiveFailures
	case n >= minResults && float64(w.failed) >= maxFailedShare*float64(n):
		return ReasonFailedShare
	case w.timed >= minResults && len(latencies) > 2 && w.mean() > slowFactor*latencies[(len(latencies)-1)/2]:
		return ReasonLatency
	case t.reportedUnhealthy(now):
		return ReasonReportedUnhealthy
	}
	return ""
}

// reportedUnhealthy reports whether the latest health report makes the upstream unhealthy: the report is
// recent and negative, and there has been no result for longer than health reports may lag.
func (t *target) reportedUnhealthy(now time.Time) bool {
	if t.healthy || t.lastReport.IsZero() || now.Sub(t.lastReport) >= healthReportTTL {
		return false
	}
	return t.lastResult.IsZero() || now.Sub(t.lastResult) >= resultsPrecedence
}

// eject begins an ejection unless one is in effect. Its duration is base, multiplied by the number of
// ejections since the upstream last had its full weight.
func (t *target) eject(base time.Duration, now time.Time) {
	if now.Before(t.ejectedUntil) {
		return
	}
	t.ejections = min(t.ejections+1, maxEjectFactor)
	t.ejectedUntil = now.Add(base * time.Duration(t.ejections))
}

// endEjection ends an ejection whose time is over. The previous results are dropped, since they no longer
// apply, and a slow start begins.
func (t *target) endEjection(now time.Time) {
	until := t.ejectedUntil
	if until.IsZero() || now.Before(until) {
		return
	}
	t.reset()
	t.slowStartBegin = until
}

func (t *target) reset() {
	t.ring = [buckets]bucket{}
	t.consecutiveFailures = 0
	t.ejectedUntil = time.Time{}
}
