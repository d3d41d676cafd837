package admit

import (
	"slices"
	"time"
)

// meanWeight is the weight of a new run time in the moving average. At 1/32 the average follows a
// change of the upstream within about 100 requests.
const meanWeight = 1.0 / 32

// minRemainingShare is the fraction of the mean run time that must remain before the deadline for a
// request to be started. Run times vary, and many requests finish within half the mean.
const minRemainingShare = 0.5

// minRetryAfter is the shortest Retry-After.
const minRetryAfter = 100 * time.Millisecond

// maxRetryAfter is the longest Retry-After, so that callers do not wait for long after an upstream has stalled.
const maxRetryAfter = 30 * time.Second

// queuedRequest is a request in the queue of a lane.
type queuedRequest struct {
	id       uint64
	deadline time.Time
	// waitLimit is the time at which the bound on its queue time is reached.
	waitLimit time.Time
}

// lane is the queue and the measurements of one class. The queue is first in, first
// out, so a new request never makes an admitted one miss its deadline.
type lane struct {
	class Class
	queue []queuedRequest
	inUse int
	// mean is the moving average of the run time, more than 0.
	mean time.Duration
	// samples is the number of measured run times.
	samples int
	// meanInterval is the mean time between two completions while requests were queued; 0 when not
	// yet measured.
	meanInterval time.Duration
	// lastCompletion is the time of the latest completion.
	lastCompletion time.Time
	// share is the class's share of the slot time while both classes have queued requests.
	share float64
	// finishTag is the finish tag, in start-time fair queueing, of the request started last: seconds
	// of slot time divided by share.
	finishTag float64
}

func newLane(c Class, share float64, mean time.Duration) *lane {
	return &lane{class: c, share: share, mean: mean}
}

// startTag returns the start tag, in start-time fair queueing, that the next request would have at the
// given virtual time.
func (l *lane) startTag(virtual float64) float64 { return max(virtual, l.finishTag) }

// activate advances finishTag to the virtual time when the queue becomes non-empty, so that a lane gets
// no credit for idle time.
func (l *lane) activate(virtual float64) { l.finishTag = l.startTag(virtual) }

// charge accounts for the start of a request and returns the new virtual time.
func (l *lane) charge(virtual float64) float64 {
	start := l.startTag(virtual)
	l.finishTag = start + l.mean.Seconds()/l.share
	return start
}

// recordRun adds the run time of a request that completed at now.
func (l *lane) recordRun(d time.Duration, now time.Time) {
	d = max(d, time.Microsecond)
	l.samples++
	// The first run times have equal weight, so that the assumed run time has no influence on the mean.
	l.mean += time.Duration(float64(d-l.mean) * max(meanWeight, 1/float64(l.samples)))
	if len(l.queue) > 0 && !l.lastCompletion.IsZero() {
		interval := now.Sub(l.lastCompletion)
		if l.meanInterval == 0 {
			l.meanInterval = interval
		}
		l.meanInterval += time.Duration(float64(interval-l.meanInterval) * meanWeight)
	}
	l.lastCompletion = now
}

func (l *lane) remove(id uint64) {
	l.queue = slices.DeleteFunc(l.queue, func(w queuedRequest) bool { return w.id == id })
}

// minRemaining returns the shortest time before its deadline at which a request is still started.
func (l *lane) minRemaining() time.Duration {
	return time.Duration(float64(l.mean) * minRemainingShare)
}

// expectedWait returns the expected queue time of a request with the given number of others ahead.
func (s *Scheduler) expectedWait(l *lane, ahead int) time.Duration {
	slots := s.servingSlots(l)
	return time.Duration(float64(l.mean) * float64(ahead+1) / float64(slots))
}

// servingSlots returns the number of slots that serve a lane's queue when they become free. For short
// work these are the slots that long work does not hold, for long work the slots that it holds or its
// share guarantees. It is at least 1.
func (s *Scheduler) servingSlots(l *lane) int {
	if l.class == Short {
		return max(s.slots-s.long.inUse, 1)
	}
	guaranteed := int(float64(s.slots) * l.share)
	return max(l.inUse, guaranteed, 1)
}

// maxWait returns the bound on the expected queue time of a lane. During a slow start the bound is
// raised in proportion, so that the queue may be as long as with all slots: with one slot of four, the
// unchanged bound would be reached at a quarter of that length.
func (s *Scheduler) maxWait(l *lane) time.Duration {
	minBound := minQueueBound
	if l.samples < minMeasuredRuns {
		minBound = minQueueBoundUnmeasured
	}
	bound := max(time.Duration(float64(l.mean)*s.cfg.QueueFactor), minBound)
	if s.warmSlots > s.slots && s.slots > 0 {
		bound = bound * time.Duration(s.warmSlots) / time.Duration(s.slots)
	}
	return bound
}

// missesDeadline reports whether a request misses its deadline after a further queue time of wait.
func (s *Scheduler) missesDeadline(l *lane, queued queuedRequest, wait time.Duration, now time.Time) bool {
	if queued.deadline.IsZero() {
		return false
	}
	return !now.Add(wait + l.minRemaining()).Before(queued.deadline)
}

// expiresAt returns the time by which a queued request is refused unless it has got a slot.
func (s *Scheduler) expiresAt(l *lane, queued queuedRequest) time.Time {
	if queued.deadline.IsZero() {
		return queued.waitLimit
	}
	last := queued.deadline.Add(-l.minRemaining())
	if last.Before(queued.waitLimit) {
		return last
	}
	return queued.waitLimit
}

// refuseOverdue refuses the queued requests that can no longer meet their deadline or have waited too
// long, and appends the decisions to out.
func (s *Scheduler) refuseOverdue(l *lane, out []Decision, now time.Time) []Decision {
	kept := l.queue[:0]
	for _, queued := range l.queue {
		reason := s.overdueReason(l, queued, len(kept), now)
		if reason == "" {
			kept = append(kept, queued)
			continue
		}
		out = append(out, s.refuse(queued.id, l, reason, now))
	}
	l.queue = kept
	return out
}

// overdueReason returns the reason for refusing a queued request with the given number of others ahead,
// or "" if it may stay queued.
func (s *Scheduler) overdueReason(l *lane, queued queuedRequest, ahead int, now time.Time) string {
	if s.slots == 0 {
		return ReasonNoSlots
	}
	// The first request in the queue may get a slot at any moment, so it has no expected wait.
	wait := time.Duration(0)
	if ahead > 0 {
		wait = s.expectedWait(l, ahead-1)
	}
	if s.missesDeadline(l, queued, wait, now) {
		return ReasonDeadlineUnreachable
	}
	if !now.Before(queued.waitLimit) {
		return ReasonQueueTimeExceeded
	}
	return ""
}

func (s *Scheduler) refuse(id uint64, l *lane, reason string, now time.Time) Decision {
	return Decision{ID: id, Verdict: Refuse, Reason: reason, RetryAfter: s.retryAfter(l, now)}
}

// retryAfter returns the time in which the queue drains at the measured rate, multiplied by a random
// factor from 1 to 2 so that refused callers do not retry at the same time.
func (s *Scheduler) retryAfter(l *lane, now time.Time) time.Duration {
	interval := l.meanInterval
	if interval == 0 {
		interval = l.mean / time.Duration(s.servingSlots(l))
	}
	// While the upstream is stalled, the time since the latest completion is the better estimate.
	if l.inUse > 0 && !l.lastCompletion.IsZero() {
		interval = max(interval, now.Sub(l.lastCompletion))
	}
	drain := interval * time.Duration(len(l.queue)+1)
	drain = min(max(drain, minRetryAfter), maxRetryAfter/2)
	return time.Duration(float64(drain) * (1 + s.cfg.Rand()))
}
