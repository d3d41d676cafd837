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
	// ejections counts ejections since the upstream last stayed good.
	ejections int
	// claimed is the time of the latest claim, zero when there is none.
	claimed time.Time
	healthy bool
}

// bucket sums the results of one second.
type bucket struct {
	second           int64
	answered, failed int
	latency          time.Duration
}

func (b bucket) mean() time.Duration { return b.latency / time.Duration(max(b.answered, 1)) }

func secondOf(t time.Time) int64 { return t.UnixNano() / int64(bucketSpan) }

func (t *target) record(r Result, now time.Time) {
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
	b.answered++
	b.latency += r.Latency
	t.inRow = 0
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
	case w.answered >= minResults && len(latencies) > 2 && w.mean() > slowFactor*latencies[(len(latencies)-1)/2]:
		return ReasonLatency
	case n == 0 && !t.claimed.IsZero() && now.Sub(t.claimed) < claimExpires && !t.healthy:
		return ReasonClaim
	}
	return ""
}

func (t *target) ejected() bool { return !t.ejectedUntil.IsZero() }

func (t *target) eject(base time.Duration, now time.Time) {
	if now.Before(t.ejectedUntil) {
		return
	}
	t.ejections = min(t.ejections+1, maxEjectFactor)
	t.ejectedUntil = now.Add(base * time.Duration(t.ejections))
}

// comeBack ends an ejection: the results from before say nothing about the present, and
// the upstream starts like a cold one.
func (t *target) comeBack() {
	until := t.ejectedUntil
	t.reset()
	t.started = until
}

func (t *target) reset() {
	t.ring = [buckets]bucket{}
	t.inRow = 0
	t.ejectedUntil = time.Time{}
}
