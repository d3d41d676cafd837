package routing

import (
	"iter"
	"maps"
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
)

// Kind is the kind of a route's requests. It determines whether a request may be repeated.
type Kind uint8

// Kinds of requests. Requests of an unknown kind are treated as not repeatable.
const (
	NotRepeatable Kind = iota
	Repeatable
	Download
)

// Share is the share of a route's new flows that a service gets.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route; from 0 to MaxWeight in a table.
	Weight int
}

// Route determines how new flows to an address and port are served.
type Route struct {
	Name     string
	Endpoint flow.Endpoint
	// Shares holds at least one service with a weight above 0.
	Shares []Share
	Kind   Kind
	// Timeout is the time after which a request is cancelled.
	Timeout time.Duration
	// TargetLatency is the time within which a caller wants the answer.
	TargetLatency time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
}

// Table is one version of the routes. The methods of a nil Table behave as those of a table without routes.
type Table struct {
	// Version orders tables; a process never replaces a table with one of a lower version.
	Version uint64
	// IdleTimeout is how long a flow without packets stays open, see Holder.IdleTimeout.
	IdleTimeout time.Duration

	routes map[flow.Endpoint]Route
	// warmupRates holds the limit of each service that has one, see WarmupRate. It is nil if the limits aren't known, as the
	// table comes from a process of an earlier version.
	warmupRates map[string]uint16
}

const (
	// MaxDuration is the longest duration in a table. Sums with it don't overflow.
	MaxDuration = 365 * 24 * time.Hour
	// MaxWeight is the largest weight of a share. The sum of a route's weights doesn't overflow.
	MaxWeight = 1 << 32
)

// Milliseconds returns n milliseconds, at least 0 and at most MaxDuration.
func Milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), MaxDuration.Milliseconds())) * time.Millisecond
}

// NewTable returns a table of routes. If two routes have the same address and port, the later one is used. Durations and weights
// are limited to MaxDuration and MaxWeight, negative ones count as 0.
func NewTable(version uint64, idleTimeout time.Duration, routes []Route) *Table {
	t := &Table{Version: version, IdleTimeout: min(max(idleTimeout, 0), MaxDuration), routes: make(map[flow.Endpoint]Route, len(routes))}
	for _, r := range routes {
		t.routes[r.Endpoint] = r.limited()
	}
	return t
}

// limited returns the route with durations and weights within their limits.
func (r Route) limited() Route {
	r.Timeout, r.TargetLatency = min(max(r.Timeout, 0), MaxDuration), min(max(r.TargetLatency, 0), MaxDuration)
	if slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Weight < 0 || s.Weight > MaxWeight }) {
		r.Shares = slices.Clone(r.Shares)
		for i := range r.Shares {
			r.Shares[i].Weight = min(max(r.Shares[i].Weight, 0), MaxWeight)
		}
	}
	return r
}

// WithWarmupRates returns the table with limits for hosts that are warming up, see WarmupRate. Services without a limit may be
// left out.
func (t *Table) WithWarmupRates(rates map[string]uint16) *Table {
	next := *t
	next.warmupRates = make(map[string]uint16, len(rates))
	for service, rate := range rates {
		if rate > 0 {
			next.warmupRates[service] = rate
		}
	}
	return &next
}

// WarmupRate returns the requests per second that a host of a service can sustain while it is warming up, 0 for no limit.
func (t *Table) WarmupRate(service string) uint16 {
	if t == nil {
		return 0
	}
	return t.warmupRates[service]
}

// replaces reports whether the table is to be used instead of another one, which may be nil. Of two tables of one version, the
// one that has the limits of its services replaces the one that lacks them.
func (t *Table) replaces(other *Table) bool {
	return other == nil || t.Version > other.Version || t.Version == other.Version && t.warmupRates != nil && other.warmupRates == nil
}

// Find returns the route of an address and port.
func (t *Table) Find(at flow.Endpoint) (Route, bool) {
	if t == nil {
		return Route{}, false
	}
	r, ok := t.routes[at]
	return r, ok
}

// Len returns the number of routes.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}

// All returns the routes, in no particular order.
func (t *Table) All() iter.Seq[Route] {
	if t == nil {
		return func(func(Route) bool) {}
	}
	return maps.Values(t.routes)
}

// Covers reports whether the table has each route of another one, leading to all services that it leads to there.
func (t *Table) Covers(other *Table) bool {
	for r := range other.All() {
		own, exists := t.Find(r.Endpoint)
		if !exists || slices.ContainsFunc(r.Shares, func(s Share) bool { return !own.leadsTo(s.Service) }) {
			return false
		}
	}
	return true
}

// EachFormerService calls f for each service that a route of a former table led to and that the route of the same address and port
// doesn't lead to in this one. Routes that are gone are left out, as their flows end.
func (t *Table) EachFormerService(former *Table, f func(at flow.Endpoint, service string)) {
	if t == nil || former == nil {
		return
	}
	for at, before := range former.routes {
		now, exists := t.routes[at]
		if !exists || slices.Equal(now.Shares, before.Shares) {
			continue
		}
		for _, s := range before.Shares {
			if s.Weight > 0 && !now.leadsTo(s.Service) {
				f(at, s.Service)
			}
		}
	}
}

// leadsTo reports whether the route leads to a service.
func (r Route) leadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// VersionOf returns the version of a table, or 0 if t is nil.
func VersionOf(t *Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}

// Service returns the service of a new flow. It always returns the same service for the same flow.
func (r Route) Service(key flow.Key) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(key.Hash() % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}
