package admit

import (
	"slices"
	"time"
)

// meanWeight is the weight of a new run time in the mean. At 1/32 the mean follows a
// change of the upstream within about 100 requests.
const meanWeight = 1.0 / 32

// usefulShare is the share of the mean run time that must remain before the deadline for a
// start to be useful. Run times vary, and half the mean is met by a large part of them.
const usefulShare = 0.5

// minRetryAfter is the shortest Retry-After.
const minRetryAfter = 100 * time.Millisecond

// maxRetryAfter is the longest Retry-After, so that a stalled upstream does not send callers away for long.
const maxRetryAfter = 30 * time.Second

// waiting is a request in a queue.
type waiting struct {
	id       uint64
	deadline time.Time
	// end is the end of the bounded queue time.
	end time.Time
}

// lane is the queue and the measurements of one class. The queue is first in, first
// out: a newcomer never makes an admitted request miss its deadline.
type lane struct {
	class Class
	queue []waiting
	inUse int
	// mean is the mean run time, more than 0.
	mean time.Duration
	// samples is the number of measured run times.
	samples int
	// gap is the mean time between two ends while slots were busy; 0 when not yet measured.
	gap time.Duration
	// lastEnd is the time of the latest end.
	lastEnd time.Time
	// share is the class's share of slot time while both classes wait.
	share float64
	// finish is the finish tag of the latest start, in seconds of slot time over share.
	finish float64
}

func newLane(c Class, share float64, mean time.Duration) *lane {
	return &lane{class: c, share: share, mean: mean}
}

func (l *lane) tag(virtual float64) float64 { return max(virtual, l.finish) }

// activate brings the lane up to the present when its queue fills, so that idle time earns no credit.
func (l *lane) activate(virtual float64) { l.finish = l.tag(virtual) }

// charge accounts for a start and returns the new virtual time.
func (l *lane) charge(virtual float64) float64 {
	start := l.tag(virtual)
	l.finish = start + l.mean.Seconds()/l.share
	return start
}

func (l *lane) measure(d time.Duration, now time.Time) {
	d = max(d, time.Microsecond)
	l.samples++
	// The first run times count equally, so that the assumed one has no part in the mean.
	l.mean += time.Duration(float64(d-l.mean) * max(meanWeight, 1/float64(l.samples)))
	if len(l.queue) > 0 && !l.lastEnd.IsZero() {
		gap := now.Sub(l.lastEnd)
		if l.gap == 0 {
			l.gap = gap
		}
		l.gap += time.Duration(float64(gap-l.gap) * meanWeight)
	}
	l.lastEnd = now
}

func (l *lane) remove(id uint64) {
	l.queue = slices.DeleteFunc(l.queue, func(w waiting) bool { return w.id == id })
}

// shortestUseful is the shortest time before a deadline at which a start is useful.
func (l *lane) shortestUseful() time.Duration {
	return time.Duration(float64(l.mean) * usefulShare)
}

// expectedWait returns the queue time of a request with ahead others before it.
func (s *Scheduler) expectedWait(l *lane, ahead int) time.Duration {
	slots := s.servingSlots(l)
	return time.Duration(float64(l.mean) * float64(ahead+1) / float64(slots))
}

// servingSlots returns the number of slots whose ends serve a lane's queue: what the other
// class does not hold, at least 1.
func (s *Scheduler) servingSlots(l *lane) int {
	if l.class == Short {
		return max(s.slots-s.long.inUse, 1)
	}
	guaranteed := int(float64(s.slots) * l.share)
	return max(l.inUse, guaranteed, 1)
}

// maxWait is the bound of the queue time of a lane. During the slow start it allows the
// queue length that the warm upstream may have, since one slot of four reaches the
// bound at a quarter of that length.
func (s *Scheduler) maxWait(l *lane) time.Duration {
	floor := queueFloor
	if l.samples < minMeasured {
		floor = unmeasuredFloor
	}
	bound := max(time.Duration(float64(l.mean)*s.cfg.QueueFactor), floor)
	if s.warmSlots > s.slots && s.slots > 0 {
		bound = bound * time.Duration(s.warmSlots) / time.Duration(s.slots)
	}
	return bound
}

// late says whether a request that waits for another wait misses its deadline.
func (s *Scheduler) late(l *lane, w waiting, wait time.Duration, now time.Time) bool {
	if w.deadline.IsZero() {
		return false
	}
	return !now.Add(wait + l.shortestUseful()).Before(w.deadline)
}

// giveUp is the time at which a queued request is refused at the latest.
func (s *Scheduler) giveUp(l *lane, w waiting) time.Time {
	if w.deadline.IsZero() {
		return w.end
	}
	last := w.deadline.Add(-l.shortestUseful())
	if last.Before(w.end) {
		return last
	}
	return w.end
}

// dropLate refuses queued requests that can no longer meet their deadline or have waited too long.
func (s *Scheduler) dropLate(l *lane, out []Decision, now time.Time) []Decision {
	kept := l.queue[:0]
	for _, w := range l.queue {
		reason := s.lateReason(l, w, len(kept), now)
		if reason == "" {
			kept = append(kept, w)
			continue
		}
		out = append(out, s.refuse(w.id, l, reason, now))
	}
	l.queue = kept
	return out
}

func (s *Scheduler) lateReason(l *lane, w waiting, ahead int, now time.Time) string {
	if s.slots == 0 {
		return ReasonNoSlots
	}
	// The first in the queue may get a slot at any moment, so only its run time counts.
	wait := time.Duration(0)
	if ahead > 0 {
		wait = s.expectedWait(l, ahead-1)
	}
	if s.late(l, w, wait, now) {
		return ReasonLostDeadline
	}
	if !now.Before(w.end) {
		return ReasonWaited
	}
	return ""
}

func (s *Scheduler) refuse(id uint64, l *lane, reason string, now time.Time) Decision {
	return Decision{ID: id, Verdict: Refuse, Reason: reason, RetryAfter: s.retryAfter(l, now)}
}

// retryAfter is the time in which the queue drains at the measured rate, times 1 to 2 so
// that refused callers do not return together.
func (s *Scheduler) retryAfter(l *lane, now time.Time) time.Duration {
	gap := l.gap
	if gap == 0 {
		gap = l.mean / time.Duration(s.servingSlots(l))
	}
	// A stall makes the time since the latest end the better estimate.
	if l.inUse > 0 && !l.lastEnd.IsZero() {
		gap = max(gap, now.Sub(l.lastEnd))
	}
	drain := gap * time.Duration(len(l.queue)+1)
	drain = min(max(drain, minRetryAfter), maxRetryAfter/2)
	return time.Duration(float64(drain) * (1 + s.cfg.Rand()))
}
