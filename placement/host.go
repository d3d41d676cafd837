package placement

import (
	"math"
	"sync"
	"time"

	"endiveflow.example/endiveflow/cost"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/warmup"
)

// Defaults of HostConfig.
const (
	// DefaultSlots is the number of slots assumed before the host's first report.
	DefaultSlots = 2
	// DefaultServiceTime is the service time assumed before a request was measured.
	DefaultServiceTime = 30 * time.Millisecond
	// DefaultSlowFactor is how many times the typical service time a host may take before the offer goes to
	// other hosts first, even if this one has a free slot.
	DefaultSlowFactor = 2.0
	// DefaultHoldLimit is how long a flow may be held. Callers abandon an attempt whose flow has not opened
	// after 1.4 s; the difference leaves time for the host's answer to travel back. Refusing earlier is no
	// better: the flow could still be served, and its caller would retry immediately.
	DefaultHoldLimit = 1380 * time.Millisecond
	// serviceSamples is the window of the moving averages of service time and request delay, in requests.
	serviceSamples = 16
)

// HostConfig configures a Host; zero fields take the defaults.
type HostConfig struct {
	Slots       int
	ServiceTime time.Duration
	SlowFactor  float64
	HoldLimit   time.Duration
	// Started is when the process started, in the time of the other calls.
	Started time.Duration
}

// Host tracks the load of the host beside an agent, decides on offers to it, and queues the flows held for
// it. It is safe for concurrent use.
//
// A flow is pending from the moment that it is given to the host until its request arrives; then the request
// runs or waits in the host. The host serves requests in order of arrival, so the time for which each one
// runs can be derived from the outside.
type Host struct {
	cfg HostConfig

	// mu guards the fields below.
	mu sync.Mutex
	// pendingFlows is the number of flows given to the host whose request has not arrived; it is never
	// negative. pendingWork is the expected time of their requests.
	pendingFlows int
	pendingWork  time.Duration
	// requests are the requests in the host, in order of arrival; as many of the first as there are slots run.
	requests []*Request
	held     queue
	slots    int
	// open reports whether the host accepts new flows, evacuated whether its zone is evacuated.
	open, evacuated bool
	// serviceTime is the mean time that a request runs; samples is the number of requests in the mean, at most
	// serviceSamples.
	serviceTime time.Duration
	samples     int
	// typicalTime is the mean of the fleet's values for the same requests, 0 if unknown.
	typicalTime time.Duration
	costs       *cost.Estimator
	// requestDelay is the mean time from giving a flow to the host until its request arrives.
	requestDelay time.Duration
	failures     failureStats
	// warmingUp reports whether the host is or may be warming up; its opening packets are limited then. It is set until the
	// host itself reports otherwise. warmup records all of them, so that those from before count.
	warmingUp bool
	warmup    warmup.Limiter
	// warmupRate is the limit of the newest configuration whose limit is known, warmupVersion the version of that one.
	warmupRate    uint16
	warmupVersion uint64
	// limited is set while the host is or may be warming up and has a limit.
	limited bool
}

// Request is a request in a host.
type Request struct {
	// started is when the request began to run; negative while it waits.
	started time.Duration
	class   cost.Class
	// expected is the expected service time, typical the fleet's value of the route, 0 if unknown, both when the request arrived.
	expected, typical time.Duration
}

// NewHost returns the state of a host that accepts flows, has none, and may be warming up.
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
	return &Host{
		cfg: cfg, slots: cfg.Slots, open: true, serviceTime: cfg.ServiceTime, costs: cost.New(cost.Config{}),
		warmingUp: true, warmup: warmup.New(cfg.Started),
	}
}

// Action is what an agent does with an offer.
type Action uint8

// Actions on an offer.
const (
	// Take gives the flow to the agent's host.
	Take Action = iota + 1
	// Hold queues the flow until the host has room for it.
	Hold
	// Pass sends the offer to the next candidate.
	Pass
	// Return sends the offer to the best candidate, which must take or hold it.
	Return
	// Refuse resets the flow: no candidate can serve it before its caller gives up.
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
	// Terms are the terms with which the offer continues.
	Terms mesh.Terms
	// ExpectedLatency is the time after which this host would have answered.
	ExpectedLatency time.Duration
	// Load is the load that the decision is based on.
	Load mesh.Load
	// WarmupWait is the time until the host may be given the flow, as it is or may be warming up; 0 if it may be now.
	WarmupWait time.Duration
}

// Decide answers an offer that has count candidates. After Take the flow is pending until RequestArrived or
// RequestEnded; a held flow is returned by one of the Dequeue methods later.
func (h *Host) Decide(key flow.Key, t mesh.Terms, count uint8, now time.Duration) Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures.updateFaulty(now)
	h.costs.SetTypical(key.Service, t.TypicalServiceTime.Duration(), now)
	work := h.costs.Expected(cost.Class{Route: key.Service}, now, h.serviceTime)
	ahead := h.workAhead(now)
	d := Decision{
		Terms: t, ExpectedLatency: h.expectedLatency(key, t, work, ahead, now), Load: h.loadOf(ahead, now), WarmupWait: h.warmupWait(len(h.held), now),
	}
	switch {
	case !t.MustTake && d.WarmupWait == 0 && h.canTakeNow(t):
		h.admit(work, now)
		d.Action = Take
	case t.MustTake:
		d.Action = h.takeOrHold(key, t, work, now)
	default:
		if h.accepts() && (t.Best == mesh.NoCandidate || mesh.MillisOf(d.ExpectedLatency) < t.BestLatency) {
			d.Terms.Best, d.Terms.BestLatency = t.Current, mesh.MillisOf(d.ExpectedLatency)
		}
		d.Action = h.nextAction(key, &d.Terms, count, work, now)
	}
	return d
}

// expectedLatency returns the time after which the host would have answered a flow of the given expected work, plus the
// expected cost of its failures and, for a route with long flows, what the standing load will cost its later requests. Those costs
// only rank the host behind others: they never raise the result above the hold limit, so that a flow is refused for lack of
// time only.
func (h *Host) expectedLatency(key flow.Key, t mesh.Terms, work time.Duration, ahead workAhead, now time.Duration) time.Duration {
	target := t.TargetLatency.Duration()
	d := h.expectedWait(target, ahead, now) + work
	later := h.failures.expectedCost(target, now)
	if h.costs.HasLongFlows(key.Service) {
		later += time.Duration(ahead.standing.Seconds() / float64(h.slots) * standingCostTargets * float64(target))
	}
	return max(d, min(d+later, h.cfg.HoldLimit))
}

// standingCostTargets is the wait that a flow's later requests expect at a host whose slots its open flows fill, in
// multiples of the route's target. With it, hosts without a free slot are compared by their standing load unless the wait
// of the first request differs by as much.
const standingCostTargets = 0.5

// canTakeNow reports whether a slot is free for the flow and the host is neither slow nor faulty compared
// with others.
func (h *Host) canTakeNow(t mesh.Terms) bool {
	return h.accepts() && h.inUse() < h.slots && len(h.held) == 0 && !h.isSlow(t) && !h.failures.faulty
}

// isSlow reports whether the host takes far longer than others for the requests that it ran. These may differ in cost from
// those of the offered flow, so that they are compared with the fleet's values for themselves, if these are known.
func (h *Host) isSlow(t mesh.Terms) bool {
	typical := h.typicalTime
	if typical == 0 {
		typical = t.TypicalServiceTime.Duration()
	}
	return typical > 0 && h.serviceTime > time.Duration(h.cfg.SlowFactor*float64(typical))
}

// removePending removes a pending flow. Which one it is doesn't matter, as their requests are soon to arrive.
func (h *Host) removePending() {
	if h.pendingFlows > 0 {
		h.pendingWork -= h.pendingWork / time.Duration(h.pendingFlows)
		h.pendingFlows--
	}
}

// accepts reports whether the host takes new flows.
func (h *Host) accepts() bool { return h.open && !h.evacuated }

// admit counts a flow of the given expected work whose opening packet is given to the host.
func (h *Host) admit(work, now time.Duration) {
	h.pendingFlows++
	h.pendingWork += work
	h.warmup.Record(now)
}

// warmupWait returns the time until the host may be given a flow before which ahead others are; 0 unless it may be warming
// up.
func (h *Host) warmupWait(ahead int, now time.Duration) time.Duration {
	if !h.limited {
		return 0
	}
	return h.warmup.Wait(ahead, now)
}

// inUse returns the number of flows with a request in the host or about to arrive there.
func (h *Host) inUse() int { return h.pendingFlows + len(h.requests) }

// admissionLimit returns the largest number of flows in use at a time. It exceeds the number of slots by the
// flows whose requests are still on their way when a slot becomes free.
func (h *Host) admissionLimit() int {
	return h.slots + int(math.Ceil(float64(h.slots)*float64(h.requestDelay)/float64(max(h.serviceTime, time.Millisecond))))
}

// takeOrHold takes or holds a flow for which no other host is better, or refuses it.
func (h *Host) takeOrHold(key flow.Key, t mesh.Terms, work, now time.Duration) Action {
	switch {
	case !h.accepts() || h.expectedWait(t.TargetLatency.Duration(), h.workAhead(now), now) > h.cfg.HoldLimit:
		return Refuse
	case h.inUse() < h.admissionLimit() && len(h.held) == 0 && h.warmupWait(0, now) == 0:
		h.admit(work, now)
		return Take
	}
	h.held = append(h.held, heldFlow{key: key, work: work, priority: t.Priority, target: t.TargetLatency.Duration(), since: now - t.Waited.Duration()})
	return Hold
}

// nextAction decides on an offer that this host did not take immediately, and updates its terms.
func (h *Host) nextAction(key flow.Key, t *mesh.Terms, count uint8, work, now time.Duration) Action {
	if t.Current+1 < count {
		t.Current++
		return Pass
	}
	if t.Best == mesh.NoCandidate || t.BestLatency.Duration() > h.cfg.HoldLimit {
		return Refuse
	}
	t.MustTake = true
	if t.Best == t.Current {
		return h.takeOrHold(key, *t, work, now)
	}
	t.Current = t.Best
	return Return
}

// Decline decides how an offer continues after its current candidate took the flow and the host did not accept
// it.
func Decline(t mesh.Terms, count uint8) Decision {
	d := Decision{Action: Refuse, Terms: t}
	if t.Best == t.Current {
		d.Terms.Best = mesh.NoCandidate
	}
	switch {
	case !t.MustTake && t.Current+1 < count:
		d.Terms.Current++
		d.Action = Pass
	case !t.MustTake && d.Terms.Best != mesh.NoCandidate:
		d.Terms.Current, d.Terms.MustTake = d.Terms.Best, true
		d.Action = Return
	}
	return d
}

// RestartWithout removes an agent that had to take an offer and can't from its candidates, and restarts the
// offer with the first of the others. It returns false if no candidate is left. Each restart has fewer
// candidates, so an offer always terminates.
func RestartWithout(m *mesh.Message, self uint32) bool {
	kept := uint8(0)
	for _, ip := range m.Candidates[:m.Count] {
		if ip != self {
			m.Candidates[kept] = ip
			kept++
		}
	}
	if kept == m.Count {
		// The agent isn't a candidate; drop another one so that the offer still terminates.
		kept--
	}
	m.Count = kept
	m.Terms.Current, m.Terms.Best, m.Terms.BestLatency, m.Terms.MustTake = 0, mesh.NoCandidate, 0, false
	return kept > 0
}

// expectedWait returns the time until a request that arrives now begins to run. Held flows that can't meet
// their target don't delay it, as it is served before them; each still adds a little, so that of two hosts
// the one with fewer such flows is preferred. While the host may be warming up, its limit may delay the request further.
func (h *Host) expectedWait(target time.Duration, ahead workAhead, now time.Duration) time.Duration {
	meetingTarget, heldWork := h.held.meetingTarget(now, h.requestDelay)
	wait := time.Duration(len(h.held)-meetingTarget) * time.Millisecond
	delay := h.warmupDelay(target, meetingTarget, now)
	if h.inUse()+meetingTarget < h.slots {
		return max(wait, delay)
	}
	slots := time.Duration(h.slots)
	// The first slot becomes free after a slots' part of what runs in all of them.
	return max(wait+(ahead.running/slots+ahead.waiting+heldWork)/slots, delay)
}

// warmupDelay returns the time for which the limit of a host that may be warming up delays a request that arrives now, of
// which meetingTarget held flows can meet their target.
func (h *Host) warmupDelay(target time.Duration, meetingTarget int, now time.Duration) time.Duration {
	if !h.limited {
		return 0
	}
	wait := h.warmupWait(meetingTarget, now)
	if wait+h.serviceTime > target {
		// It doesn't meet its target either, so that it is served after the others.
		wait = h.warmupWait(len(h.held), now)
	}
	return wait
}

// minRemaining is the least remaining time of a running request, as a part of its expected time. Service times have a long
// tail, so that a request that has run for longer than expected is not about to end.
const minRemaining = 2

// workAhead is the work of a host at a moment.
type workAhead struct {
	// running is the expected remaining time of the requests that occupy slots, pending ones included, waiting that of those
	// that wait for a slot, and standing the standing load of a second.
	running, waiting, standing time.Duration
}

func (h *Host) workAhead(now time.Duration) (w workAhead) {
	for i, r := range h.requests {
		switch {
		case i >= h.slots:
			w.waiting += r.expected
		case r.started < 0:
			w.running += r.expected
		default:
			w.running += max(r.expected-(now-r.started), r.expected/minRemaining)
		}
	}
	w.standing = h.costs.StandingLoad(now, h.serviceTime)
	free := max(h.slots-len(h.requests), 0)
	if h.pendingFlows <= free {
		w.running += h.pendingWork
		return w
	}
	inSlots := h.pendingWork * time.Duration(free) / time.Duration(h.pendingFlows)
	w.running += inSlots
	w.waiting += h.pendingWork - inSlots
	return w
}

// loadOf returns the load. A host that may not be given a flow yet counts as so busy that Order ranks it as full until it
// may, although the reported load loses weight with its age.
func (h *Host) loadOf(w workAhead, now time.Duration) mesh.Load {
	busy, work := h.inUse()+len(h.held), w.running+w.waiting+h.held.work()+w.standing
	if h.limited {
		if wait := h.warmupWait(len(h.held), now); wait > 0 {
			full := h.slots + int(math.Ceil(float64(h.slots)*float64(wait)/float64(loadHalfLife)))
			busy = min(max(busy, full), math.MaxUint16)
			work = max(work, w.standing+time.Duration(full)*h.serviceTime)
		}
	}
	return mesh.Load{
		Busy: uint16(busy), Slots: uint16(h.slots), ServiceTime: mesh.MillisOf(h.serviceTime),
		Open: h.accepts(), Faulty: h.failures.faulty,
		WorkMs:     uint16(max(mesh.MillisOf(work), 1)),
		StandingMs: uint16(mesh.MillisOf(w.standing)),
	}
}

// RouteCost is what a host has learned of a route.
type RouteCost struct {
	// ServiceTime is the measured time of a request, 0 if none was answered.
	ServiceTime time.Duration
	// LongFlows reports whether flows may carry several requests.
	LongFlows bool
}

// RouteCost returns what the host has learned of the route of a service endpoint.
func (h *Host) RouteCost(at flow.Endpoint, now time.Duration) RouteCost {
	h.mu.Lock()
	defer h.mu.Unlock()
	return RouteCost{ServiceTime: h.costs.Measured(at, now), LongFlows: h.costs.HasLongFlows(at)}
}

// RelativeCost returns the service time of the host's requests as a multiple of the fleet's values for the same requests,
// 0 if unknown.
func (h *Host) RelativeCost() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.costs.Relative()
}

// FlowOpened counts an open flow, from its first request on; FlowClosed ends it. single reports whether its caller
// closed it after one request.
func (h *Host) FlowOpened(at flow.Endpoint, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.costs.FlowOpened(at, now)
}

// FlowClosed ends a flow that FlowOpened counted.
func (h *Host) FlowClosed(at flow.Endpoint, single bool, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.costs.FlowClosed(at, single, now)
}

// Reassess updates and returns whether the host is faulty, with its failure rate. A host that gets no flows
// is reassessed only here.
func (h *Host) Reassess(now time.Duration) (faulty bool, failureRate float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures.updateFaulty(now)
	return h.failures.faulty, h.failures.rateAt(now)
}

// Load returns the current load.
func (h *Host) Load(now time.Duration) mesh.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loadOf(h.workAhead(now), now)
}

// Dequeue returns the next held flow if the host has room for it, and counts the flow as pending. It returns
// false if there is none.
func (h *Host) Dequeue(now time.Duration) (flow.Key, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasRoomForHeld() || h.warmupWait(0, now) > 0 {
		return flow.Key{}, false
	}
	f := h.held.dequeue(now, h.requestDelay)
	h.admit(f.work, now)
	return f.key, true
}

// hasRoomForHeld reports whether a held flow could be given to the host if it weren't warming up.
func (h *Host) hasRoomForHeld() bool {
	return h.accepts() && len(h.held) > 0 && h.inUse() < h.admissionLimit()
}

// NextAdmission returns the time until Dequeue returns a flow if nothing changes. It returns false if no flow is held for the
// limit on a host that may be warming up only.
func (h *Host) NextAdmission(now time.Duration) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.limited || !h.hasRoomForHeld() {
		return 0, false
	}
	return h.warmupWait(0, now), true
}

// AdmitCopy reports whether the host may be given a copy of the opening packet of a flow that it has been given, and records
// the packet.
func (h *Host) AdmitCopy(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.warmupWait(0, now) > 0 {
		return false
	}
	h.warmup.Record(now)
	return true
}

// DequeueExpired returns a held flow that has waited for longer than the hold limit.
func (h *Host) DequeueExpired(now time.Duration) (flow.Key, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held.removeOldest(now - h.cfg.HoldLimit)
}

// NextExpiry returns the time until DequeueExpired returns a flow if nothing changes; 0 means never.
func (h *Host) NextExpiry(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.held.oldestIndex()
	if i < 0 {
		return 0
	}
	return max(h.held[i].since+h.cfg.HoldLimit-now, 0) + time.Millisecond
}

// DequeueAny returns any held flow, for a host that no longer accepts flows.
func (h *Host) DequeueAny() (flow.Key, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held.removeOldest(math.MaxInt64)
}

// RequestArrived records a request of no particular route that arrived at the host. pending reports whether its flow was
// counted as pending, and delay is the time since the flow was given to the host.
func (h *Host) RequestArrived(now time.Duration, pending bool, delay time.Duration) *Request {
	return h.ClassRequestArrived(cost.Class{}, now, pending, delay)
}

// ClassRequestArrived records a request of a class that arrived at the host, as RequestArrived does.
func (h *Host) ClassRequestArrived(c cost.Class, now time.Duration, pending bool, delay time.Duration) *Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	if pending {
		h.removePending()
		h.requestDelay += (delay - h.requestDelay) / serviceSamples
	}
	if c.Later {
		h.costs.LaterRequest(c.Route, now)
	}
	r := &Request{started: -1, class: c, expected: h.costs.Expected(c, now, h.serviceTime), typical: h.costs.Typical(c.Route)}
	h.requests = append(h.requests, r)
	h.startRequests(now)
	return r
}

// startRequests sets the start time of requests that now have a slot.
func (h *Host) startRequests(now time.Duration) {
	for _, r := range h.requests[:min(len(h.requests), h.slots)] {
		if r.started < 0 {
			r.started = now
		}
	}
}

// RequestAnswered ends a request that was answered.
func (h *Host) RequestAnswered(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.remove(r, now) || r.started < 0 {
		return
	}
	h.failures.record(false, now)
	took := h.costs.Observe(r.class, now-r.started, now)
	h.samples = min(h.samples+1, serviceSamples)
	weight := time.Duration(h.samples + 1)
	h.serviceTime += (took - h.serviceTime) / weight
	switch {
	case r.typical == 0:
	case h.typicalTime == 0:
		h.typicalTime = r.typical
	default:
		h.typicalTime += (r.typical - h.typicalTime) / weight
	}
}

// RequestFailed ends a request whose flow the host reset.
func (h *Host) RequestFailed(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remove(r, now) {
		h.failures.record(true, now)
	}
}

// RequestAbandoned ends a request whose caller left without an answer. It counts as a failure if the host had
// far more time than usual.
func (h *Host) RequestAbandoned(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remove(r, now) && r.started >= 0 && now-r.started > hungRequestFactor*max(h.serviceTime, r.expected) {
		h.failures.record(true, now)
	}
}

// RequestEnded ends a request without an answer or, if r is nil, a pending flow without a request.
func (h *Host) RequestEnded(r *Request, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r == nil {
		h.removePending()
		return
	}
	h.remove(r, now)
}

func (h *Host) remove(r *Request, now time.Duration) bool {
	for i, other := range h.requests {
		if other == r {
			h.requests = append(h.requests[:i], h.requests[i+1:]...)
			h.startRequests(now)
			return true
		}
	}
	return false
}

// SetOpen sets whether the host accepts new flows.
func (h *Host) SetOpen(open bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open = open
}

// IsOpen reports whether the host itself accepts new flows, which it may do although its zone is evacuated.
func (h *Host) IsOpen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// SetEvacuated sets whether the host's zone is evacuated, so that it is given no new flows. When the evacuation ends, the host may
// have begun to warm up without having reported it yet.
func (h *Host) SetEvacuated(evacuated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.warmingUp = h.warmingUp || h.evacuated && !evacuated
	h.evacuated = evacuated
	h.updateLimited()
}

// SetWarmingUp sets whether the host is warming up, as it reports, or may be, as it may have restarted since its last report.
func (h *Host) SetWarmingUp(warmingUp bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.warmingUp = warmingUp
	h.updateLimited()
}

func (h *Host) updateLimited() { h.limited = h.warmingUp && h.warmupRate > 0 }

// SetWarmupRate sets the limit on a host that is warming up, in opening packets per second; 0 means no limit. version is that
// of the configuration. Limits of older ones are ignored, and so is 0 from a process of an earlier version, which has the
// same configuration but doesn't know of limits. It reports whether the limit changed.
func (h *Host) SetWarmupRate(version uint64, rate uint16) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version < h.warmupVersion || version == h.warmupVersion && rate <= h.warmupRate {
		return false
	}
	changed := rate != h.warmupRate
	h.warmupVersion, h.warmupRate = version, rate
	h.warmup.SetLimit(rate)
	h.updateLimited()
	return changed
}

// SetSlots sets the number of requests that the host runs at a time.
func (h *Host) SetSlots(slots int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slots = max(slots, 1)
}

// Reset discards the requests and measurements of the host's previous incarnation.
func (h *Host) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingFlows, h.requests, h.serviceTime, h.samples, h.failures = 0, nil, h.cfg.ServiceTime, 0, failureStats{}
	h.pendingWork, h.typicalTime = 0, 0
	h.costs.Reset()
}
