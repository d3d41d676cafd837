package placement

import (
	"sync"
	"time"

	"endiveflow.example/endiveflow/cost"
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
