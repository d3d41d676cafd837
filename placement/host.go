package placement

import (
	"sync"
	"time"

	"endiveflow.example/endiveflow/mesh"
)

// Defaults of HostConfig.
const (
	// DefaultSlots is the number of slots assumed before the host's first report.
	DefaultSlots = 2
	// DefaultServiceTime is the time of a request assumed before one was measured.
	DefaultServiceTime = 30 * time.Millisecond
	// DefaultTargetShare is the part of a route's target that the expected wait
	// and service time of a flow may fill. The rest is for round trips and variance.
	DefaultTargetShare = 0.6
	// DefaultSlowFactor is how many times the usual time a host may take
	// before other hosts with a free slot are asked first.
	DefaultSlowFactor = 2.0
	// serviceSamples is the number of requests that the mean time mostly rests on.
	serviceSamples = 16
)

// HostConfig configures a Host; zero fields take the defaults.
type HostConfig struct {
	Slots       int
	ServiceTime time.Duration
	TargetShare float64
	SlowFactor  float64
}

// Host is the load of the host beside an agent and the decision on offers to
// it. It is safe for concurrent use.
type Host struct {
	cfg HostConfig

	mu sync.Mutex
	// All below is guarded by mu. busy counts flows that were taken and have a
	// request in the host or are expected to send one; it is never negative.
	busy  int
	slots int
	open  bool
	mean  time.Duration
}

// NewHost returns the load of a host that takes flows and has none.
func NewHost(cfg HostConfig) *Host {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.ServiceTime <= 0 {
		cfg.ServiceTime = DefaultServiceTime
	}
	if cfg.TargetShare <= 0 {
		cfg.TargetShare = DefaultTargetShare
	}
	if cfg.SlowFactor <= 0 {
		cfg.SlowFactor = DefaultSlowFactor
	}
	return &Host{cfg: cfg, slots: cfg.Slots, open: true, mean: cfg.ServiceTime}
}

// Action is what an agent does with an offer.
type Action uint8

// Actions on an offer.
const (
	// Take gives the flow to the agent's host.
	Take Action = iota + 1
	// Pass sends the offer to the next candidate.
	Pass
	// Return sends the offer to the best candidate, which must take it.
	Return
	// Refuse resets the flow: no candidate can serve it in time.
	Refuse
)

// String returns the name of the action.
func (a Action) String() string {
	names := [...]string{"none", "take", "pass", "return", "refuse"}
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

// Decide answers an offer with count candidates. Take counts the flow as busy
// until Done.
func (h *Host) Decide(t mesh.Terms, count uint8) Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := Decision{Terms: t, Expected: h.expected(), Load: h.load()}
	if h.open && (t.MustTake || h.takesAtOnce(t)) {
		h.busy++
		d.Action = Take
		return d
	}
	if t.MustTake {
		d.Action = Refuse
		return d
	}
	if h.open && (t.Best == mesh.NoCandidate || mesh.WaitOf(d.Expected) < t.BestWait) {
		d.Terms.Best, d.Terms.BestWait = t.At, mesh.WaitOf(d.Expected)
	}
	d.Action = h.afterVisit(&d.Terms, count)
	return d
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

// takesAtOnce says whether a slot is free for the flow and no other host would be
// clearly faster.
func (h *Host) takesAtOnce(t mesh.Terms) bool {
	slow := t.Usual > 0 && h.mean > time.Duration(h.cfg.SlowFactor*float64(t.Usual.Duration()))
	return h.busy < h.slots && !slow
}

// afterVisit decides about a flow that this host did not take at once.
func (h *Host) afterVisit(t *mesh.Terms, count uint8) Action {
	if t.At+1 < count {
		t.At++
		return Pass
	}
	limit := time.Duration(h.cfg.TargetShare * float64(t.Target.Duration()))
	if t.Best == mesh.NoCandidate || t.Target > 0 && t.BestWait.Duration() > limit {
		return Refuse
	}
	t.MustTake = true
	if t.Best == t.At {
		h.busy++
		return Take
	}
	t.At = t.Best
	return Return
}

// expected is the time until a request that comes now is answered.
func (h *Host) expected() time.Duration {
	waiting := h.busy - h.slots + 1
	if waiting <= 0 {
		return h.mean
	}
	return h.mean + h.mean*time.Duration(waiting)/time.Duration(h.slots)
}

func (h *Host) load() mesh.Load {
	return mesh.Load{Busy: uint16(h.busy), Slots: uint16(h.slots), Service: mesh.WaitOf(h.mean), Open: h.open}
}

// Load returns the present load.
func (h *Host) Load() mesh.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.load()
}

// Began counts a request on a flow that was not busy.
func (h *Host) Began() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy++
}

// Answered ends a busy flow whose request was answered after the given time.
func (h *Host) Answered(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy = max(h.busy-1, 0)
	h.mean += (took - h.mean) / serviceSamples
}

// Ended ends a busy flow without an answer.
func (h *Host) Ended() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy = max(h.busy-1, 0)
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
	h.busy, h.mean = 0, h.cfg.ServiceTime
}
