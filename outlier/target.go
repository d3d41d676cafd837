package outlier

import "time"

// window is how long a result counts; it is held in buckets of one second.
const (
	bucketSpan = time.Second
	buckets    = 10
)

// target is what is known of one upstream.
type target struct {
	ring [buckets]bucket
	// inRow is the number of failures since the latest success.
	inRow int
	// started begins the slow start; zero means that the upstream is warm.
	started time.Time
	// ejectedUntil is the end of the latest ejection; zero when there is none.
	ejectedUntil time.Time
	// ejections counts ejections since the upstream last reached its full weight.
	ejections int
	// latest is the time of the latest result, zero when there is none.
	latest time.Time
	// claimed is the time of the latest claim, zero when there is none.
	claimed time.Time
	healthy bool
}

// bucket sums the results of one second.
type bucket struct {
	second           int64
	answered, failed int
	// timed is the number of answered requests that latency sums up.
	timed   int
	latency time.Duration
}

func (b bucket) mean() time.Duration { return b.latency / time.Duration(max(b.timed, 1)) }

func secondOf(t time.Time) int64 { return t.UnixNano() / int64(bucketSpan) }

func (t *target) record(r Result, now time.Time) {
	t.comeBack(now)
	t.latest = now
	second := secondOf(now)
	b := &t.ring[((second%buckets)+buckets)%buckets]
	if b.second != second {
		*b = bucket{second: second}
	}
	if r.Failed {
		b.failed++
		t.inRow++
		return
	}
	t.inRow = 0
	b.answered++
	if r.Latency > 0 {
		b.timed++
		b.latency += r.Latency
	}
}

// fresh sums the results of the window.
func (t *target) fresh(now time.Time) bucket {
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

// bad returns the reason why the upstream looks bad, or nothing.
func (t *target) bad(latencies []time.Duration, now time.Time) string {
	w := t.fresh(now)
	n := w.answered + w.failed
	switch {
	case t.inRow >= failuresInRow && w.failed > 0:
		return ReasonInRow
	case n >= minResults && float64(w.failed) >= failedShare*float64(n):
		return ReasonShare
	case w.timed >= minResults && len(latencies) > 2 && w.mean() > slowFactor*latencies[(len(latencies)-1)/2]:
		return ReasonLatency
	case t.claimedBad(now):
		return ReasonClaim
	}
	return ""
}

// claimedBad says whether a claim of being unhealthy counts: it is recent, and there was no result of our own
// for longer than claims lag.
func (t *target) claimedBad(now time.Time) bool {
	if t.healthy || t.claimed.IsZero() || now.Sub(t.claimed) >= claimExpires {
		return false
	}
	return t.latest.IsZero() || now.Sub(t.latest) >= resultsOutrank
}

func (t *target) eject(base time.Duration, now time.Time) {
	if now.Before(t.ejectedUntil) {
		return
	}
	t.ejections = min(t.ejections+1, maxEjectFactor)
	t.ejectedUntil = now.Add(base * time.Duration(t.ejections))
}

// comeBack ends an ejection whose time is over: the results from before say nothing about
// the present, and the upstream starts like a cold one.
func (t *target) comeBack(now time.Time) {
	until := t.ejectedUntil
	if until.IsZero() || now.Before(until) {
		return
	}
	t.reset()
	t.started = until
}

func (t *target) reset() {
	t.ring = [buckets]bucket{}
	t.inRow = 0
	t.ejectedUntil = time.Time{}
}
