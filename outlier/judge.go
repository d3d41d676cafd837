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
	// fullWeight is the weight of an upstream that is neither cold nor bad.
	fullWeight = 100
	// lowestWeight is the weight of a cold upstream and of a bad one that may not be ejected.
	lowestWeight = 25
	// slowStartSteps is the number of equal steps of a slow start: 25, 50, 75, 100%.
	slowStartSteps = 4
)

const (
	// failuresInRow is the number of failures in a row that make an upstream bad.
	failuresInRow = 5
	// failedShare is the share of failures among the fresh results that makes an upstream bad.
	failedShare = 0.5
	// minResults is the number of fresh results before shares and latencies count.
	minResults = 10
	// slowFactor is how many times the median latency of the others makes an upstream bad.
	slowFactor = 5
	// maxEjectFactor bounds the growth of the ejection time of an upstream that is ejected again and again.
	maxEjectFactor = 8
	// claimExpires is the age at which a claim says nothing any more.
	claimExpires = 10 * time.Second
	// resultsOutrank is how long results of our own outrank claims. Endpoints lag by up to 30 s, so a
	// claim made within that time may describe a fault that is over.
	resultsOutrank = time.Minute
)

// Config configures a Judge.
type Config struct {
	// SlowStart is the time over which a cold upstream's weight rises; 0 means DefaultSlowStart.
	SlowStart time.Duration
	// MaxEjected is the largest share of the upstreams that may be ejected, 0 to 1; 0 means DefaultMaxEjected.
	MaxEjected float64
	// EjectFor is the time of a first ejection; 0 means DefaultEjectFor.
	EjectFor time.Duration
}

// Result is one measured result of a request.
type Result struct {
	Target netip.AddrPort
	// Failed says that the upstream did not do the work: no answer, a broken one, a 5xx
	// status, or a statement that it shed the work.
	Failed bool
	// Latency is the run time of an answered request. It is 0, and does not count, for long
	// work: a few long jobs among short ones would make any upstream look slow.
	Latency time.Duration
}

// Claim is what an upstream's health or load endpoint says.
type Claim struct {
	Target  netip.AddrPort
	Healthy bool
}

// Verdict is the judgement of one upstream.
type Verdict struct {
	Target  netip.AddrPort
	Ejected bool
	// Bad says that it looks bad, whether or not it is ejected.
	Bad bool
	// Weight is 0 when ejected, else 25 to 100 percent.
	Weight int
	// Reason is a fixed text, usable as the label of a metric.
	Reason string
}

// Reasons of verdicts.
const (
	ReasonGood      = "good"
	ReasonSlowStart = "slow start"
	ReasonInRow     = "failures in a row"
	ReasonShare     = "share of failures"
	ReasonLatency   = "latency above the others"
	ReasonClaim     = "endpoint claims unhealthy"
	ReasonEjected   = "ejection time runs"
	ReasonCap       = "bad, but the share of ejections is reached"
	ReasonAllBad    = "all look bad"
)

// Judge judges the upstreams of one service. It is safe for concurrent use.
type Judge struct {
	mu sync.Mutex
	// cfg and targets are guarded by mu.
	cfg     Config
	targets map[netip.AddrPort]*target
}

// New returns a judge that knows no upstream.
func New(cfg Config) *Judge {
	j := &Judge{targets: make(map[netip.AddrPort]*target)}
	j.Configure(cfg)
	return j
}

// Configure replaces the configuration.
func (j *Judge) Configure(cfg Config) {
	if cfg.SlowStart <= 0 {
		cfg.SlowStart = DefaultSlowStart
	}
	if cfg.MaxEjected <= 0 {
		cfg.MaxEjected = DefaultMaxEjected
	}
	if cfg.EjectFor <= 0 {
		cfg.EjectFor = DefaultEjectFor
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cfg = cfg
}

// Record adds a measured result.
func (j *Judge) Record(r Result, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.target(r.Target).record(r, now)
}

// Claim notes what an endpoint says.
func (j *Judge) Claim(c Claim, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.target(c.Target)
	t.claimed, t.healthy = now, c.Healthy
}

// Started begins the slow start of an upstream.
func (j *Judge) Started(addr netip.AddrPort, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.target(addr)
	t.reset()
	t.started = now
}

// Forget drops all upstreams that are not among those listed.
func (j *Judge) Forget(except []netip.AddrPort) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for addr := range j.targets {
		if !slices.Contains(except, addr) {
			delete(j.targets, addr)
		}
	}
}

// Assess judges the listed upstreams of a service; verdicts are in their order. The
// cap of ejections is a share of the list.
func (j *Judge) Assess(addrs []netip.AddrPort, now time.Time) []Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Verdict, len(addrs))
	others := j.latencies(addrs, now)
	for i, addr := range addrs {
		out[i] = j.judge(addr, others, now)
	}
	j.limit(out, now)
	return out
}

func (j *Judge) target(addr netip.AddrPort) *target {
	t, ok := j.targets[addr]
	if !ok {
		t = &target{}
		j.targets[addr] = t
	}
	return t
}

func (j *Judge) latencies(addrs []netip.AddrPort, now time.Time) []time.Duration {
	var out []time.Duration
	for _, addr := range addrs {
		if t, ok := j.targets[addr]; ok {
			if w := t.fresh(now); w.timed >= minResults {
				out = append(out, w.mean())
			}
		}
	}
	slices.Sort(out)
	return out
}

func (j *Judge) judge(addr netip.AddrPort, latencies []time.Duration, now time.Time) Verdict {
	t := j.target(addr)
	v := Verdict{Target: addr, Weight: fullWeight, Reason: ReasonGood}
	t.comeBack(now)
	if now.Before(t.ejectedUntil) {
		v.Bad, v.Reason = true, ReasonEjected
		return v
	}
	if reason := t.bad(latencies, now); reason != "" {
		v.Bad, v.Reason = true, reason
		return v
	}
	if w := j.slowStart(t, now); w < fullWeight {
		v.Weight, v.Reason = w, ReasonSlowStart
		return v
	}
	t.ejections = 0
	return v
}

func (j *Judge) slowStart(t *target, now time.Time) int {
	if t.started.IsZero() {
		return fullWeight
	}
	step := int(now.Sub(t.started) * slowStartSteps / j.cfg.SlowStart)
	return min(lowestWeight*(max(step, 0)+1), fullWeight)
}

// limit turns bad verdicts into ejections within the cap; running ejections go first.
func (j *Judge) limit(verdicts []Verdict, now time.Time) {
	bad := 0
	for _, v := range verdicts {
		if v.Bad {
			bad++
		}
	}
	if bad == len(verdicts) {
		for i := range verdicts {
			verdicts[i].Reason = ReasonAllBad
		}
		return
	}
	left := int(j.cfg.MaxEjected * float64(len(verdicts)))
	for _, running := range []bool{true, false} {
		for i := range verdicts {
			v := &verdicts[i]
			if !v.Bad || (v.Reason == ReasonEjected) != running || v.Ejected {
				continue
			}
			if left == 0 {
				v.Weight, v.Reason = lowestWeight, ReasonCap
				continue
			}
			left--
			v.Ejected, v.Weight = true, 0
			j.target(v.Target).eject(j.cfg.EjectFor, now)
		}
	}
}
