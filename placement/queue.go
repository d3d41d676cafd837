package placement

import (
	"time"

	"endiveflow.example/endiveflow/flow"
)

// waiting is a flow that is held for a host.
type waiting struct {
	key      flow.Key
	priority uint8
	// target is the time in which the caller wants its answer, counted from
	// since, when it first asked as far as is known.
	target time.Duration
	since  time.Duration
}

// queue holds flows in order of arrival.
//
// Under a load above capacity, serving the longest-waiting flow first would
// bring every flow to its target too late. So flows that can still be
// answered in time go first, and those that can't when there is room left. In both
// groups the most urgent go first and then the oldest, whose callers give up first.
type queue []waiting

// take removes the flow to serve next; the queue isn't empty. serve is the time that an answer takes.
func (q *queue) take(now, serve time.Duration) waiting {
	best := 0
	for i, w := range (*q)[1:] {
		if w.before((*q)[best], now, serve) {
			best = i + 1
		}
	}
	return q.remove(best)
}

// before says whether w goes before an older flow.
func (w waiting) before(older waiting, now, serve time.Duration) bool {
	if a, b := w.inTime(now, serve), older.inTime(now, serve); a != b {
		return a
	}
	return w.priority < older.priority
}

// inTime says whether the flow can be expected to meet its target. The time of
// requests varies, so twice the mean must fit.
func (w waiting) inTime(now, serve time.Duration) bool {
	const margin = 2
	return now-w.since+margin*serve <= w.target
}

// inTime returns the number of flows that can be answered in time.
func (q queue) inTime(now, serve time.Duration) int {
	n := 0
	for _, w := range q {
		if w.inTime(now, serve) {
			n++
		}
	}
	return n
}

// first returns the place of the flow that has waited longest, -1 for an empty queue. Copies of opening
// packets tell that their callers have waited before, so it need not have come first.
func (q queue) first() int {
	first := -1
	for i, w := range q {
		if first < 0 || w.since < q[first].since {
			first = i
		}
	}
	return first
}

// oldest removes the flow that has waited longest if that began before a time.
func (q *queue) oldest(before time.Duration) (flow.Key, bool) {
	i := q.first()
	if i < 0 || (*q)[i].since >= before {
		return flow.Key{}, false
	}
	return q.remove(i).key, true
}

func (q *queue) remove(i int) waiting {
	w := (*q)[i]
	*q = append((*q)[:i], (*q)[i+1:]...)
	return w
}
