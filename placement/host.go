package placement

import (
	"math"
	"sync"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

// Defaults of HostConfig.
const (
	// DefaultSlots is the number of slots assumed before the host's first report.
	DefaultSlots = 2
	// DefaultServiceTime is the time of a request assumed before one was measured.
	DefaultServiceTime = 30 * time.Millisecond
	// DefaultSlowFactor is how many times the usual time a host may take
	// before other hosts with a free slot are asked first.
	DefaultSlowFactor = 2.0
	// DefaultHoldLimit is how long a flow may be held. Callers give up an attempt
	// that has not opened after 1.4 s; the rest is for the host's answer on its way. A flow that is refused
	// earlier could still be served, and its caller is back at once.
	DefaultHoldLimit = 1380 * time.Millisecond
	// serviceSamples is the number of requests that the mean time mostly rests on.
	serviceSamples = 16
)

// HostConfig configures a Host; zero fields take the defaults.
type HostConfig struct {
	Slots       int
	ServiceTime time.Duration
	SlowFactor  float64
	HoldLimit   time.Duration
}

// Host is the load of the host beside an agent, the decision on offers to
// it, and the queue of flows held for it. It is safe for concurrent use.
//
// A flow is expected from the moment that it is given to the host until its
// request arrives, then the request runs or waits in the host. The host serves requests in
// the order of their arrival, so the time that one runs is known from the outside.
type Host struct {
	cfg HostConfig

	mu sync.Mutex
	// All below is guarded by mu. expected is never negative.
	expected int
	// requests are in the host, in order of arrival; the first slots of them run.
	requests []*Request
	held     queue
	slots    int
	open     bool
	// mean is the mean time that a request runs, from samples requests.
	mean    time.Duration
	samples int
	// gap is the mean time from the opening of a flow to its request.
	gap     time.Duration
	failing failing
}

// Request is a request in a host.
type Request struct {
	// started is when it began to run; negative while it waits.
	started time.Duration
}

// NewHost returns the load of a host that takes flows and has none.
func NewHost(cfg HostConfig) *Host {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.ServiceTime <= 0 {
		cfg.ServiceTime = DefaultServiceTime
	}
	if cfg.SlowFactor <= 0 {
		cfg.SlowFactor = DefaultSlowFactor
	}
	if cfg.HoldLimit <= 0 {
		cfg.HoldLimit = DefaultHoldLimit
	}
	return &Host{cfg: cfg, slots: cfg.Slots, open: true, mean: cfg.ServiceTime}
}

// Action is what an agent does with an offer.
type Action uint8

// Actions on an offer.
const (
	// Take gives the flow to the agent's host.
	Take Action = iota + 1
	// Hold keeps the flow until the host has room for it.
	Hold
	// Pass sends the offer to the next candidate.
	Pass
	// Return sends the offer to the best candidate, which must take or hold it.
	Return
	// Refuse resets the flow: no candidate can serve it while its caller waits.
	Refuse
)

// String returns the name of the action.
func (a Action) String() string {
	names := [...]string{"none", "take", "hold", "pass", "return", "refuse"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// Decision is the answer to an offer.
type Decision struct {
	Action Action
	// Terms are the terms with which the offer goes on.
	Terms mesh.Terms
	// Expected is the time after which this host would have answered.
	Expected time.Duration
	// Load is the load that the decision rests on.
	Load mesh.Load
}

// Decide answers an offer with count candidates. Take counts the flow as expected
// until Began or Ended; a held flow comes back from Next.
func (h *Host) Decide(key flow.Key, t mesh.Terms, count uint8, now time.Duration) Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing.judge(now)
	d := Decision{Terms: t, Expected: h.expect(t, now), Load: h.load()}
	switch {
	case !t.MustTake && h.takesAtOnce(t):
		h.expected++
		d.Action = Take
	case t.MustTake:
		d.Action = h.keep(key, t, now)
	default:
		if h.open && (t.Best == mesh.NoCandidate || mesh.WaitOf(d.Expected) < t.BestWait) {
			d.Terms.Best, d.Terms.BestWait = t.At, mesh.WaitOf(d.Expected)
		}
		d.Action = h.afterVisit(key, &d.Terms, count, now)
	}
	return d
}

// expect is the time after which the host would have answered, with what its
// failures cost. They put the host behind others; a flow is refused for lack of time only.
func (h *Host) expect(t mesh.Terms, now time.Duration) time.Duration {
	d := h.wait(now) + h.mean
	return max(d, min(d+h.failing.cost(t.Target.Duration(), now), h.cfg.HoldLimit))
}

// takesAtOnce says whether a slot is free for the flow and no other host would be
// clearly faster or better.
func (h *Host) takesAtOnce(t mesh.Terms) bool {
	slow := t.Usual > 0 && h.mean > time.Duration(h.cfg.SlowFactor*float64(t.Usual.Duration()))
	return h.open && h.inside() < h.slots && len(h.held) == 0 && !slow && !h.failing.faulty
}

// inside is the number of flows that use the host or are about to.
func (h *Host) inside() int { return h.expected + len(h.requests) }

// room is the number of flows that may be inside. It exceeds the slots by those whose requests are
// still on their way when a slot gets free.
func (h *Host) room() int {
	return h.slots + int(math.Ceil(float64(h.slots)*float64(h.gap)/float64(max(h.mean, time.Millisecond))))
}

// keep takes or holds a flow that no other host is better for.
func (h *Host) keep(key flow.Key, t mesh.Terms, now time.Duration) Action {
	switch {
	case !h.open || h.wait(now) > h.cfg.HoldLimit:
		return Refuse
	case h.inside() < h.room() && len(h.held) == 0:
		h.expected++
		return Take
	}
	h.held = append(h.held, waiting{key: key, priority: t.Priority, target: t.Target.Duration(), since: now - t.Waited.Duration()})
	return Hold
}

// afterVisit decides about a flow that this host did not take at once.
func (h *Host) afterVisit(key flow.Key, t *mesh.Terms, count uint8, now time.Duration) Action {
	if t.At+1 < count {
		t.At++
		return Pass
	}
	if t.Best == mesh.NoCandidate || t.BestWait.Duration() > h.cfg.HoldLimit {
		return Refuse
	}
	t.MustTake = true
	if t.Best == t.At {
		return h.keep(key, *t, now)
	}
	t.At = t.Best
	return Return
}

// Decline answers an offer that the host at Terms.At took and did not accept.
func Decline(t mesh.Terms, count uint8) Decision {
	d := Decision{Action: Refuse, Terms: t}
	if t.Best == t.At {
		d.Terms.Best = mesh.NoCandidate
	}
	switch {
	case !t.MustTake && t.At+1 < count:
		d.Terms.At++
		d.Action = Pass
	case !t.MustTake && d.Terms.Best != mesh.NoCandidate:
		d.Terms.At, d.Terms.MustTake = d.Terms.Best, true
		d.Action = Return
	}
	return d
}

// Rewalk takes an agent out of the candidates of an offer that it had to take and
// can't, and starts the walk anew. It is false when no candidate is left. Each walk has fewer
// candidates, so that an offer ends.
func Rewalk(m *mesh.Message, self uint32) bool {
	kept := uint8(0)
	for _, ip := range m.Candidates[:m.Count] {
		if ip != self {
			m.Candidates[kept] = ip
			kept++
		}
	}
	if kept == m.Count {
		// The agent isn't among them, which must not make a walk without end.
		kept--
	}
	m.Count = kept
	m.Offered.At, m.Offered.Best, m.Offered.BestWait, m.Offered.MustTake = 0, mesh.NoCandidate, 0, false
	return kept > 0
}

// wait is the time until a request that comes now begins to run. Held flows that
// can't be answered in time let it pass; they count a little, so that of two hosts
// the one with fewer of them is chosen.
func (h *Host) wait(now time.Duration) time.Duration {
	inTime := h.held.inTime(now, h.mean+h.gap)
	before := h.inside() + inTime - h.slots + 1
	wait := time.Duration(len(h.held)-inTime) * time.Millisecond
	if before > 0 {
		wait += h.mean * time.Duration(before) / time.Duration(h.slots)
	}
	return wait
}

func (h *Host) load() mesh.Load {
	return mesh.Load{Busy: uint16(h.inside() + len(h.held)), Slots: uint16(h.slots), Service: mesh.WaitOf(h.mean), Open: h.open, Faulty: h.failing.faulty}
}

// Reassess judges again whether the host is faulty, for a host that gets no flows,
// and returns the share of requests that it fails.
func (h *Host) Reassess(now time.Duration) (faulty bool, share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing.judge(now)
	return h.failing.faulty, h.failing.current(now)
}

// Load returns the present load.
func (h *Host) Load() mesh.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.load()
}

// Next returns the held flow that the host has room for now, which counts as
// expected from now on. It is false when there is none.
func (h *Host) Next(now time.Duration) (flow.Key, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.open || len(h.held) == 0 || h.inside() >= h.room() {
		return flow.Key{}, false
	}
	w := h.held.take(now, h.mean+h.gap)
	h.expected++
	return w.key, true
}

// Expired returns a held flow that has waited for longer than its caller does.
func (h *Host) Expired(now time.Duration) (flow.Key, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held.oldest(now - h.cfg.HoldLimit)
}

// NextExpiry returns the time until Expired returns a flow, if nothing changes; 0 means never.
func (h *Host) NextExpiry(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.held.first()
	if i < 0 {
		return 0
	}
	return max(h.held[i].since+h.cfg.HoldLimit-now, 0) + time.Millisecond
}

// TakeHeld returns any held flow, for a host that no longer takes flows.
func (h *Host) TakeHeld() (flow.Key, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held.oldest(math.MaxInt64)
}

// Began counts a request that arrived at the host. expected says that its flow
// was counted before, gap how long ago it was given to the host.
func (h *Host) Began(now time.Duration, expected bool, gap time.Duration) *Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	if expected {
		h.expected = max(h.expected-1, 0)
		h.gap += (gap - h.gap) / serviceSamples
	}
	r := &Request{started: -1}
	h.requests = append(h.requests, r)
	h.start(now)
	return r
}

// start notes which requests run now.
func (h *Host) start(now time.Duration) {
	for _, r := range h.requests[:min(len(h.requests), h.slots)] {
		if r.started < 0 {
			r.started = now
		}
	}
}

// Answered ends a request that was answered.
func (h *Host) Answered(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.remove(r, now) || r.started < 0 {
		return
	}
	h.failing.note(false, now)
	h.samples = min(h.samples+1, serviceSamples)
	h.mean += (now - r.started - h.mean) / time.Duration(h.samples+1)
}

// Failed ends a request whose flow the host reset.
func (h *Host) Failed(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remove(r, now) {
		h.failing.note(true, now)
	}
}

// Abandoned ends a request without an answer whose caller left. A host that had
// far more time than usual has failed it.
func (h *Host) Abandoned(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remove(r, now) && r.started >= 0 && now-r.started > hungFactor*h.mean {
		h.failing.note(true, now)
	}
}

// Ended ends a request without an answer, or with nil a flow that was expected to send one.
func (h *Host) Ended(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r == nil {
		h.expected = max(h.expected-1, 0)
		return
	}
	h.remove(r, now)
}

func (h *Host) remove(r *Request, now time.Duration) bool {
	for i, other := range h.requests {
		if other == r {
			h.requests = append(h.requests[:i], h.requests[i+1:]...)
			h.start(now)
			return true
		}
	}
	return false
}

// SetOpen says whether the host takes new flows.
func (h *Host) SetOpen(open bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open = open
}

// SetSlots sets the number of requests that the host runs at a time.
func (h *Host) SetSlots(slots int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slots = max(slots, 1)
}

// Restarted forgets what was measured of a former incarnation of the host.
func (h *Host) Restarted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected, h.requests, h.mean, h.samples, h.failing = 0, nil, h.cfg.ServiceTime, 0, failing{}
}
