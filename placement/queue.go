package placement

import (
	"time"

	"endiveflow.example/endiveflow/flow"
)

// heldFlow is a flow that is held for a host.
type heldFlow struct {
	key      flow.Key
	priority uint8
	// target is the time within which the caller wants its answer, counted from since: when it sent its first
	// opening packet, as far as is known.
	target time.Duration
	since  time.Duration
	// work is the expected time of its request when the flow was queued.
	work time.Duration
	// handedOver reports whether another agent held the flow before.
	handedOver bool
}

// queue holds flows in order of arrival.
//
// Under a load above capacity, serving the longest-waiting flow first would serve every flow too late for its
// target. So flows that can still meet their target are served first, and the others when there is room left.
// Among the first, the newest of the same priority is served first: it has the most time left for a service time
// above the mean. Among the others, it is the oldest, whose caller gives up first.
//
// A flow that another agent has handed over is served before all others: how long it was held there isn't known here, and its caller would
// give up while it waits again for its turn.
type queue []heldFlow

// dequeue removes the flow to serve next; the queue must not be empty. requestDelay is the expected time
// until its request arrives.
func (q *queue) dequeue(now, requestDelay time.Duration) heldFlow {
	best := 0
	for i, f := range (*q)[1:] {
		if f.precedes((*q)[best], now, requestDelay) {
			best = i + 1
		}
	}
	return q.removeAt(best)
}

// precedes reports whether f is served before a flow that was queued earlier.
func (f heldFlow) precedes(older heldFlow, now, requestDelay time.Duration) bool {
	meets, olderMeets := f.meetsTarget(now, requestDelay), older.meetsTarget(now, requestDelay)
	switch {
	case f.handedOver != older.handedOver:
		return f.handedOver
	case meets != olderMeets:
		return meets
	case f.priority != older.priority:
		return f.priority < older.priority
	}
	return meets && f.since > older.since
}

// meetsTarget reports whether the flow can be expected to meet its target.
func (f heldFlow) meetsTarget(now, requestDelay time.Duration) bool {
	return now-f.since+requestDelay+f.work <= f.target
}

// meetingTarget returns the number and the work of flows that can be expected to meet their target.
func (q queue) meetingTarget(now, requestDelay time.Duration) (n int, work time.Duration) {
	for _, f := range q {
		if f.meetsTarget(now, requestDelay) {
			n++
			work += f.work
		}
	}
	return n, work
}

// work returns the expected time of the requests of all flows.
func (q queue) work() (work time.Duration) {
	for _, f := range q {
		work += f.work
	}
	return work
}

// oldestIndex returns the index of the flow that has waited longest, -1 for an empty queue. It isn't always
// the first in the queue: retransmitted opening packets show that their callers had waited before they were
// queued.
func (q queue) oldestIndex() int {
	oldest := -1
	for i, f := range q {
		if oldest < 0 || f.since < q[oldest].since {
			oldest = i
		}
	}
	return oldest
}

// removeOldest removes the flow that has waited longest if its wait began before cutoff.
func (q *queue) removeOldest(cutoff time.Duration) (flow.Key, bool) {
	i := q.oldestIndex()
	if i < 0 || (*q)[i].since >= cutoff {
		return flow.Key{}, false
	}
	return q.removeAt(i).key, true
}

func (q *queue) removeAt(i int) heldFlow {
	f := (*q)[i]
	*q = append((*q)[:i], (*q)[i+1:]...)
	return f
}
