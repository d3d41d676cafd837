package routing

import (
	"time"

	"endiveflow.example/endiveflow/flow"
)

// Kind says whether a request may be repeated.
type Kind uint8

// Kinds of requests. Those of an unknown kind are treated as not repeatable.
const (
	NotRepeatable Kind = iota
	Repeatable
	Download
)

// Share is a part of a route's new flows.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route says where new flows to an address and port go.
type Route struct {
	Name string
	At   flow.Endpoint
	// Shares holds at least one service with a weight above 0.
	Shares []Share
	Kind   Kind
	// Timeout ends a request.
	Timeout time.Duration
	// Target is the time within which a caller wants the answer.
	Target time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
}

// Table is one version of the routes. Methods of a nil Table answer as one without routes.
type Table struct {
	// Version orders tables; a process never goes back.
	Version uint64
	// IdleTimeout is how long a flow without packets is open, see Holder.IdleTimeout.
	IdleTimeout time.Duration
	// Encoded is the form in which the table travels; it is what Decode took.
	Encoded []byte

	routes map[flow.Endpoint]Route
}

// NewTable returns a table of routes. Of two routes at one address and port the later holds.
func NewTable(version uint64, idleTimeout time.Duration, routes []Route, encoded []byte) *Table {
	t := &Table{Version: version, IdleTimeout: idleTimeout, Encoded: encoded, routes: make(map[flow.Endpoint]Route, len(routes))}
	for _, r := range routes {
		t.routes[r.At] = r
	}
	return t
}

// Find returns the route at an address and port.
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

// VersionOf returns the version of a table, 0 for none.
func VersionOf(t *Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}

// Service returns the service of a new flow. The same flow always gets the same one.
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
	at := int(key.Hash() % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}
