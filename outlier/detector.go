package outlier

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Defaults of a Config.
const (
	DefaultSlowStart  = 10 * time.Second
	DefaultMaxEjected = 0.3
	DefaultEjectFor   = 5 * time.Second
)

const (
	// fullWeight is the weight, in percent, of an upstream that is neither in slow start nor unhealthy.
	fullWeight = 100
	// lowestWeight is the weight at the beginning of a slow start, and that of an unhealthy upstream that is not
	// ejected because of the limit on ejections.
	lowestWeight = 25
	// slowStartSteps is the number of equal steps of a slow start: 25, 50, 75, 100%.
	slowStartSteps = 4
)

const (
	// maxConsecutiveFailures is the number of consecutive failures from which an upstream is unhealthy.
	maxConsecutiveFailures = 5
	// maxFailedShare is the share of failures among the results in the window from which an upstream is unhealthy.
	maxFailedShare = 0.5
	// minResults is the number of results in the window from which the share of failures and the mean
	// latency are evaluated.
	minResults = 10
	// slowFactor is the multiple of the service's median latency above which an upstream is unhealthy.
	slowFactor = 5
	// maxEjectFactor bounds the growth of the ejection time of an upstream that is ejected repeatedly.
	maxEjectFactor = 8
	// healthReportTTL is the age from which a health report is ignored.
	healthReportTTL = 10 * time.Second
	// resultsPrecedence is how long measured results take precedence over health reports. Endpoints lag by up to
	// 30 s, so a report made within that time may describe a fault that is over.
	resultsPrecedence = time.Minute
)

// Config configures a Detector.
type Config struct {
	// SlowStart is the time in which the weight of a cold upstream rises to 100%; 0 means DefaultSlowStart.
	SlowStart time.Duration
	// MaxEjected is the largest share of the upstreams that may be ejected, 0 to 1; 0 means DefaultMaxEjected.
	MaxEjected float64
	// EjectFor is the duration of a first ejection; 0 means DefaultEjectFor.
	EjectFor time.Duration
}

// Result is the measured result of one request.
type Result struct {
	Addr netip.AddrPort
	// Failed reports whether the upstream failed to serve the request: no answer, an incomplete one, a
	// 5xx status, or an answer that it shed the request.
	Failed bool
	// Latency is the run time of an answered request. It is 0, and is ignored, for long work: a few long
	// requests among short ones would make any upstream look slow.
	Latency time.Duration
}

// HealthReport is the health that an upstream's health or load endpoint reports.
type HealthReport struct {
	Addr    netip.AddrPort
	Healthy bool
}

// Verdict is the assessment of one upstream.
type Verdict struct {
	Addr    netip.AddrPort
	Ejected bool
	// Unhealthy reports whether the upstream is unhealthy, even if it is not ejected.
	Unhealthy bool
	// Weight is 0 when ejected, else 25 to 100 percent.
	Weight int
	// Reason is a fixed text, so it can be used as a metric label.
	Reason string
}

// Reasons for verdicts.
const (
	ReasonHealthy             = "good"
	ReasonSlowStart           = "slow start"
	ReasonConsecutiveFailures = "failures in a row"
	ReasonFailedShare         = "share of failures"
	ReasonLatency             = "latency above the others"
	ReasonReportedUnhealthy   = "endpoint claims unhealthy"
	ReasonEjected             = "ejection time runs"
	ReasonEjectionLimit       = "bad, but the share of ejections is reached"
	ReasonAllUnhealthy        = "all look bad"
)

// Detector detects the unhealthy upstreams of one service. It is safe for concurrent use.
type Detector struct {
	// mu guards the fields below.
	mu      sync.Mutex
	cfg     Config
	targets map[netip.AddrPort]*target
}

// New returns a detector without any results or health reports.
func New(cfg Config) *Detector {
	d := &Detector{targets: make(map[netip.AddrPort]*target)}
	d.Configure(cfg)
	return d
}

// Configure replaces the configuration.
func (d *Detector) Configure(cfg Config) {
	if cfg.SlowStart <= 0 {
		cfg.SlowStart = DefaultSlowStart
	}
	if cfg.MaxEjected <= 0 {
		cfg.MaxEjected = DefaultMaxEjected
	}
	if cfg.EjectFor <= 0 {
		cfg.EjectFor = DefaultEjectFor
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg = cfg
}

// Record adds the measured result of a request.
func (d *Detector) Record(r Result, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.target(r.Addr).record(r, now)
}

// RecordHealth records a report of a health or load endpoint.
func (d *Detector) RecordHealth(r HealthReport, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.target(r.Addr)
	t.lastReport, t.healthy = now, r.Healthy
}

// BeginSlowStart begins the slow start of an upstream. Its previous results are dropped, and an ejection ends.
func (d *Detector) BeginSlowStart(addr netip.AddrPort, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.target(addr)
	t.reset()
	t.slowStartBegin = now
}

// RetainOnly drops the data of all upstreams except those listed.
func (d *Detector) RetainOnly(addrs []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr := range d.targets {
		if !slices.Contains(addrs, addr) {
			delete(d.targets, addr)
		}
	}
}

// Assess assesses the listed upstreams of a service and returns the verdicts in the same order. The
// limit on ejections is a share of the listed upstreams.
func (d *Detector) Assess(addrs []netip.AddrPort, now time.Time) []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Verdict, len(addrs))
	latencies := d.meanLatencies(addrs, now)
	for i, addr := range addrs {
		out[i] = d.assessOne(addr, latencies, now)
	}
	d.ejectUnhealthy(out, now)
	return out
}

// target returns the data of an upstream, adding it if need be.
func (d *Detector) target(addr netip.AddrPort) *target {
	t, ok := d.targets[addr]
	if !ok {
		t = &target{}
		d.targets[addr] = t
	}
	return t
}

// meanLatencies returns, in ascending order, the mean latencies of the upstreams with enough results.
func (d *Detector) meanLatencies(addrs []netip.AddrPort, now time.Time) []time.Duration {
	var out []time.Duration
	for _, addr := range addrs {
		if t, ok := d.targets[addr]; ok {
			if w := t.window(now); w.timed >= minResults {
				out = append(out, w.mean())
			}
		}
	}
	slices.Sort(out)
	return out
}

func (d *Detector) assessOne(addr netip.AddrPort, latencies []time.Duration, now time.Time) Verdict {
	t := d.target(addr)
	v := Verdict{Addr: addr, Weight: fullWeight, Reason: ReasonHealthy}
	t.endEjection(now)
	if now.Before(t.ejectedUntil) {
		v.Unhealthy, v.Reason = true, ReasonEjected
		return v
	}
	if reason := t.unhealthyReason(latencies, now); reason != "" {
		v.Unhealthy, v.Reason = true, reason
		return v
	}
	if w := d.slowStartWeight(t, now); w < fullWeight {
		v.Weight, v.Reason = w, ReasonSlowStart
		return v
	}
	t.ejections = 0
	return v
}

// slowStartWeight returns the weight of an upstream according to its slow start.
func (d *Detector) slowStartWeight(t *target, now time.Time) int {
	if t.slowStartBegin.IsZero() {
		return fullWeight
	}
	step := int(now.Sub(t.slowStartBegin) * slowStartSteps / d.cfg.SlowStart)
	return min(lowestWeight*(max(step, 0)+1), fullWeight)
}

// ejectUnhealthy turns unhealthy verdicts into ejections, up to the limit on ejections. Ejections that have
// not ended yet have precedence over new ones. If all upstreams are unhealthy, none is ejected.
func (d *Detector) ejectUnhealthy(verdicts []Verdict, now time.Time) {
	unhealthy := 0
	for _, v := range verdicts {
		if v.Unhealthy {
			unhealthy++
		}
	}
	if unhealthy == len(verdicts) {
		for i := range verdicts {
			verdicts[i].Reason = ReasonAllUnhealthy
		}
		return
	}
	remaining := int(d.cfg.MaxEjected * float64(len(verdicts)))
	for _, running := range []bool{true, false} {
		for i := range verdicts {
			v := &verdicts[i]
			if !v.Unhealthy || (v.Reason == ReasonEjected) != running || v.Ejected {
				continue
			}
			if remaining == 0 {
				v.Weight, v.Reason = lowestWeight, ReasonEjectionLimit
				continue
			}
			remaining--
			v.Ejected, v.Weight = true, 0
			d.target(v.Addr).eject(d.cfg.EjectFor, now)
		}
	}
}
