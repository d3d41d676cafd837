package packettest

import (
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
)

// Class is a kind of request of a Load.
type Class struct {
	// PerSecond is the mean number of requests that begin per second, as a function of time.
	// It must be positive.
	PerSecond func(now time.Duration) float64
	// Target and Deadline are counted from the start of a request; an answer after Target is worth LateCredit.
	Target, Deadline time.Duration
	LateCredit       float64
	// Retries is the number of further attempts. Repeatable reports whether a request whose flow had opened may
	// be attempted again.
	Retries    int
	Repeatable bool
	// RequestBytes is the size of a request.
	RequestBytes int
}

// Load is a load of independent requests through a fabric that spreads flows over the entries in rotation. Each
// attempt of a request is a flow of its own, as for the platform's callers.
type Load struct {
	// Results holds the results of all requests that have ended.
	Results []Result

	fleet    *Fleet
	attempts map[flow.Key]*attempt
	// flows is the number of flows so far.
	flows    int
	rotation []*Entry
	misses   map[*Entry]int
}

// Result is the result of one request.
type Result struct {
	// Started is when the request began, Latency the time to its answer; 0 if it failed.
	Started, Latency time.Duration
	// Credit is 1 for an answer within the target, the class's LateCredit for a later one, and 0 for none.
	Credit float64
	// Attempts is the number of attempts.
	Attempts int
}

// Timing of callers and routers, as the platform defines it.
const (
	secondOpening  = 200 * time.Millisecond
	thirdOpening   = 600 * time.Millisecond
	openingTimeout = 1400 * time.Millisecond
	retryPause     = 2 * time.Millisecond
	maxRetransmit  = 1600 * time.Millisecond
	probeInterval  = 500 * time.Millisecond
	missesToLeave  = 2
)

// request is one request of a load.
type request struct {
	class   *Class
	started time.Duration
	// attempts is the number of attempts so far.
	attempts int
	done     bool
}

// attempt is one attempt of a request, on a flow of its own.
type attempt struct {
	request *request
	key     flow.Key
	// initialSeq is the host's initial sequence number; valid once open.
	initialSeq  uint32
	open, ended bool
}

// StartLoad starts a load on a fleet.
func StartLoad(f *Fleet, classes ...*Class) *Load {
	l := &Load{fleet: f, attempts: make(map[flow.Key]*attempt), misses: make(map[*Entry]int)}
	f.ToCaller = func(s flow.Segment, _ uint32) {
		if a := l.attempts[s.Key]; a != nil && !a.ended {
			l.receive(a, s)
		}
	}
	f.every(probeInterval, l.probe)
	l.probe()
	for _, c := range classes {
		l.arrive(c)
	}
	return l
}

// arrive begins requests of a class at random times, at the class's rate.
func (l *Load) arrive(c *Class) {
	gap := time.Duration(l.fleet.Random.ExpFloat64() / c.PerSecond(l.fleet.now) * float64(time.Second))
	l.fleet.After(gap, func() {
		l.begin(c)
		l.arrive(c)
	})
}

// probe checks the readiness of the entries. If fewer than half of them are in rotation, all are used.
func (l *Load) probe() {
	l.rotation = l.rotation[:0]
	for _, e := range l.fleet.Entries {
		ready := e.Up && l.fleet.now >= e.pausedUntil
		if ready {
			ready, _ = e.Ready()
		}
		l.misses[e]++
		if ready {
			l.misses[e] = 0
		}
		if l.misses[e] < missesToLeave {
			l.rotation = append(l.rotation, e)
		}
	}
	if 2*len(l.rotation) < len(l.fleet.Entries) {
		l.rotation = append(l.rotation[:0], l.fleet.Entries...)
	}
}

// InRotation reports whether the fabric sends packets to an entry.
func (l *Load) InRotation(e *Entry) bool { return slices.Contains(l.rotation, e) }

func (l *Load) send(a *attempt, packet []byte) {
	l.fleet.FromCaller(l.rotation[a.key.Hash()%uint64(len(l.rotation))], packet)
}

func (l *Load) begin(c *Class) {
	r := &request{class: c, started: l.fleet.now}
	l.fleet.After(c.Deadline, func() { l.finish(r, 0) })
	l.attempt(r)
}

func (l *Load) finish(r *request, latency time.Duration) {
	if r.done {
		return
	}
	r.done = true
	result := Result{Started: r.started, Latency: latency, Attempts: r.attempts}
	switch {
	case latency == 0:
	case latency <= r.class.Target:
		result.Credit = 1
	default:
		result.Credit = r.class.LateCredit
	}
	l.Results = append(l.Results, result)
}

func (l *Load) attempt(r *request) {
	if r.done || r.attempts > r.class.Retries {
		return
	}
	r.attempts++
	l.flows++
	a := &attempt{request: r, key: Key(l.flows)}
	l.attempts[a.key] = a
	for n, delay := range []time.Duration{0, secondOpening, thirdOpening} {
		l.fleet.After(delay, func() {
			if !a.open && !a.ended && !r.done {
				l.send(a, Open(a.key, uint32(n)))
			}
		})
	}
	l.fleet.After(openingTimeout, func() {
		if !a.open && !a.ended {
			l.endAttempt(a, true)
		}
	})
}

func (l *Load) endAttempt(a *attempt, again bool) {
	a.ended = true
	delete(l.attempts, a.key)
	if again {
		l.fleet.After(retryPause, func() { l.attempt(a.request) })
	}
}

func (l *Load) receive(a *attempt, s flow.Segment) {
	switch {
	case s.IsRST && a.open && !isValidReset(s, a.initialSeq):
		// A reset with another number is void on an open flow.
	case s.IsRST:
		l.endAttempt(a, !a.open || a.request.class.Repeatable)
	case s.IsSYN && !a.open:
		a.open, a.initialSeq = true, s.Seq
		l.sendRequest(a, secondOpening)
	case s.DataBytes > 0 && a.open && s.Seq == a.initialSeq+1:
		l.finish(a.request, l.fleet.now-a.request.started)
		l.send(a, Packet{Flow: a.key, Flags: ACK | FIN, Seq: 1001 + uint32(a.request.class.RequestBytes), Ack: s.Seq + uint32(s.DataBytes)}.Bytes())
		l.endAttempt(a, false)
	}
}

// sendRequest sends a request until it is answered or its deadline has passed, with growing pauses.
func (l *Load) sendRequest(a *attempt, pause time.Duration) {
	if a.ended || a.request.done {
		return
	}
	l.send(a, Request(a.key, a.initialSeq+1, a.request.class.RequestBytes))
	l.fleet.After(pause, func() { l.sendRequest(a, min(2*pause, maxRetransmit)) })
}

// Share returns the credit of the requests that began in a time span, as a share of what was owed, and their
// number.
func (l *Load) Share(from, to time.Duration) (share float64, requests int) {
	credit := 0.0
	for _, r := range l.Results {
		if r.Started >= from && r.Started < to {
			credit += r.Credit
			requests++
		}
	}
	return credit / float64(max(requests, 1)), requests
}
