package cost

import (
	"math"
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
)

const (
	// DefaultMaxRoutes bounds the routes with estimates of their own. A service rarely has more than some routes; the
	// bound keeps a configuration with very many from growing the process.
	DefaultMaxRoutes = 32
	// window is the window of the moving averages, in requests. A request moves an estimate by at most a window's
	// part of the bound.
	window = 16
	// relativeWindow is the window of Relative. It is longer, as the value tells the speed of a host, which rarely changes.
	relativeWindow = 64
	// bound limits a measured time to the fleet's value multiplied by it.
	bound = 8
	// implausibleSpeed is how many times faster than the fleet's value an answer must come to say nothing about the speed of the
	// host: one that fails all requests answers at once.
	implausibleSpeed = 4
	// unusedHalfLife is the time in which an estimate moves half way to the fleet's value while no request confirms
	// it. A host that gets no flows for its cost is tried again after some of these.
	unusedHalfLife = 10 * time.Second
	// rateHalfLife is the half-life of the counts that the request rate of open flows is computed from. Flows pause
	// for seconds between requests.
	rateHalfLife = 10 * time.Second
	// priorFlowSeconds and priorRate are the weight and the value of the request rate of an open flow before any was
	// measured, in requests per second.
	priorFlowSeconds = 2.0
	priorRate        = 0.5
	// kindHalfLife is the half-life of the counts by which flows of one request are told from long ones.
	kindHalfLife = time.Minute
	// maxCredit limits how much faster than the fleet a host may appear to the placement. A host that answers at once
	// without working, as with errors, would get all flows otherwise.
	maxCredit = 2
)

// Config configures an Estimator; zero fields take the defaults.
type Config struct {
	MaxRoutes int
}

// Class is a class of requests with a common estimate.
type Class struct {
	// Route is the service endpoint of the flow.
	Route flow.Endpoint
	// Later reports whether the request isn't the first one of its flow.
	Later bool
}

// Estimator holds the estimates of one host. It isn't safe for concurrent use.
type Estimator struct {
	cfg Config
	// routes are in order of their first use; at most Config.MaxRoutes. Linear search is faster than a map for the few
	// routes of a service.
	routes []*route
	// other holds the estimates of all routes beyond the bound.
	other route
	// measured and typical are moving averages of the times of requests and of the fleet's values for the same requests,
	// over relativeWindow requests, in seconds; relativeSamples is their number, at most relativeWindow.
	measured, typical float64
	relativeSamples   int
	// observed reports whether any request was answered.
	observed bool
}

// route holds the estimates of one route. Times are in seconds.
type route struct {
	endpoint flow.Endpoint
	// typical is the fleet's value, 0 if unknown.
	typical float64
	// first, later and all are the averages of the first, the later and all requests.
	first, later, all average
	// laterRequests and singleFlows are the later requests and the flows that their callers closed after one request, both
	// weighed by kindHalfLife and up to date at kindAt.
	laterRequests, singleFlows float64
	kindAt                     time.Duration
	// open is the number of open flows; never negative.
	open int
	// requests and flowSeconds are the later requests of open flows and the time for which flows were open, both
	// weighed by rateHalfLife and up to date at ratesAt.
	requests, flowSeconds float64
	ratesAt, usedAt       time.Duration
}

type average struct {
	mean    float64
	samples int
	updated time.Duration
}

// New returns an estimator without estimates.
func New(cfg Config) *Estimator {
	if cfg.MaxRoutes <= 0 {
		cfg.MaxRoutes = DefaultMaxRoutes
	}
	return &Estimator{cfg: cfg}
}

// find returns the estimates of a route, or those of all routes beyond the bound.
func (e *Estimator) find(at flow.Endpoint) *route {
	for _, r := range e.routes {
		if r.endpoint == at {
			return r
		}
	}
	return &e.other
}

// use returns the estimates of a route, and begins them if there are none. At the bound it replaces the route that was
// used least recently and has no open flows, if there is one.
func (e *Estimator) use(at flow.Endpoint, now time.Duration) *route {
	r := e.find(at)
	if r == &e.other && len(e.routes) < e.cfg.MaxRoutes {
		r = &route{endpoint: at}
		e.routes = append(e.routes, r)
	} else if r == &e.other {
		oldest := -1
		for i, other := range e.routes {
			if other.open == 0 && (oldest < 0 || other.usedAt < e.routes[oldest].usedAt) {
				oldest = i
			}
		}
		if oldest >= 0 && now-e.routes[oldest].usedAt > unusedHalfLife {
			r = e.routes[oldest]
			*r = route{endpoint: at}
		}
	}
	r.usedAt = now
	return r
}

// SetTypical takes the fleet's value of a route from an offer; 0 means that the sender knows none. Entries differ in what
// they know, so that values are averaged over as many offers as an estimate over requests.
func (e *Estimator) SetTypical(at flow.Endpoint, d, now time.Duration) {
	if d <= 0 {
		return
	}
	r := e.use(at, now)
	if r.typical == 0 {
		r.typical = seconds(d)
		return
	}
	r.typical += (seconds(d) - r.typical) / window
}

// Typical returns the fleet's value of a route, 0 if unknown.
func (e *Estimator) Typical(at flow.Endpoint) time.Duration { return duration(e.find(at).typical) }

// Observe records a request that was answered d after its service began. It returns d limited to the bounds of the fleet's
// value, for other averages of the caller.
func (e *Estimator) Observe(c Class, d, now time.Duration) time.Duration {
	r := e.use(c.Route, now)
	x := r.limit(seconds(d))
	a := &r.first
	if c.Later {
		a = &r.later
	}
	e.observed = true
	a.add(x, r.typical, now)
	r.all.add(x, r.typical, now)
	if r.typical > 0 {
		e.relativeSamples = min(e.relativeSamples+1, relativeWindow)
		e.measured += (x - e.measured) / float64(e.relativeSamples)
		e.typical += (r.typical - e.typical) / float64(e.relativeSamples)
	}
	return duration(x)
}

// add adds a sample. Without a fleet's value the first samples weigh more, as the average has no start.
func (a *average) add(x, typical float64, now time.Duration) {
	a.mean = a.at(typical, now)
	a.samples = min(a.samples+1, window)
	weight := 1.0 / window
	if typical == 0 {
		weight = 1 / float64(a.samples)
	}
	a.mean, a.updated = a.mean+(x-a.mean)*weight, now
}

// at returns the average with what it lost to the fleet's value since it was updated; 0 if neither is known.
func (a *average) at(typical float64, now time.Duration) float64 {
	switch {
	case a.samples == 0:
		return typical
	case typical == 0 || now <= a.updated:
		return a.mean
	}
	return typical + (a.mean-typical)*math.Exp2(-float64(now-a.updated)/float64(unusedHalfLife))
}

// limit limits a time to the bounds of the fleet's value. A time that is implausibly short counts as the fleet's value, so that
// a host doesn't attract requests by failing them.
func (r *route) limit(x float64) float64 {
	switch {
	case r.typical == 0:
		return x
	case x < r.typical/implausibleSpeed:
		return r.typical
	}
	return min(x, r.typical*bound)
}

// Expected returns the expected time that the host works on a request, at least the fleet's value divided by maxCredit.
// Without a value of the host's own for the route, it is the fleet's value at the speed of the host, and fallback if the
// fleet's value isn't known either.
func (e *Estimator) Expected(c Class, now, fallback time.Duration) time.Duration {
	return e.expected(e.find(c.Route), c.Later, now, fallback)
}

func (e *Estimator) expected(r *route, later bool, now, fallback time.Duration) time.Duration {
	a := &r.first
	if later {
		a = &r.later
	}
	if a.samples == 0 {
		// The other requests of the route are nearer to these than the fleet's value, as they ran at this host.
		a = &r.all
	}
	if a.samples > 0 {
		return duration(max(a.at(r.typical, now), r.typical/maxCredit))
	}
	if r.typical == 0 {
		return fallback
	}
	if relative := e.Relative(); relative > 0 {
		return duration(r.typical * max(relative, 1.0/maxCredit))
	}
	if e.observed && e.relativeSamples == 0 {
		// What the host ran can't be compared with the fleet, and may show that the host is slow.
		return max(fallback, duration(r.typical))
	}
	return duration(r.typical)
}

// Measured returns the estimate of all requests of a route for other processes, 0 if this host has answered none: the
// fleet's value must not confirm itself.
func (e *Estimator) Measured(at flow.Endpoint, now time.Duration) time.Duration {
	r := e.find(at)
	if r.all.samples == 0 || r.endpoint != at {
		return 0
	}
	return duration(r.all.at(r.typical, now))
}

// Relative returns the time that the host works on its requests as a multiple of the fleet's values for the same
// requests, 0 if unknown. It is above 1 for a slow host.
func (e *Estimator) Relative() float64 {
	if e.relativeSamples < window || e.typical <= 0 {
		return 0
	}
	return e.measured / e.typical
}

// Reset discards what was learned of the host, for its next incarnation. What was learned of the routes' callers stays.
func (e *Estimator) Reset() {
	e.measured, e.typical, e.relativeSamples, e.observed = 0, 0, 0, false
	for _, r := range append(slices.Clip(e.routes), &e.other) {
		r.first, r.later, r.all = average{}, average{}, average{}
	}
}

func duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// seconds is as d.Seconds without its integer division.
func seconds(d time.Duration) float64 { return float64(d) * (1 / float64(time.Second)) }
