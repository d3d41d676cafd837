package packetentry

import (
	"sync"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

const (
	// typicalStep is the share by which one notice moves the typical service time of a route. Only the side on which the
	// notice lies counts, so that the value approaches the median and one agent with false values has little effect.
	typicalStep = 1.0 / 32
	// longFlowsWindow is the window of the moving average of what notices tell about the flows of a route.
	longFlowsWindow = 8
	// maxRouteCosts bounds the routes with typical service times. Routes come from the configuration; the bound covers one that
	// replaces its routes all the time.
	maxRouteCosts = 4096
)

// routeCosts holds the cost of requests by route, as learned from agents' notices.
type routeCosts struct {
	// mu guards routes, which is keyed by service endpoint.
	mu     sync.Mutex
	routes map[flow.Endpoint]routeCost
}

type routeCost struct {
	// typical is the typical service time in milliseconds, 0 while unknown.
	typical float64
	// long is the moving average of notices that tell that flows may carry several requests.
	long float64
}

// record learns from an agent's notice about a flow. Notices of processes of earlier versions tell nothing.
func (c *routeCosts) record(m *mesh.Message) {
	if m.Load.WorkMs == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, known := c.routes[m.Flow.Service]
	switch {
	case known:
	case len(c.routes) >= maxRouteCosts:
		return
	case c.routes == nil:
		c.routes = make(map[flow.Endpoint]routeCost)
		fallthrough
	default:
		r.long = 1
	}
	told := 0.0
	if m.Terms.LongFlows {
		told = 1
	}
	r.long += (told - r.long) / longFlowsWindow
	sample := float64(m.Terms.TypicalServiceTime)
	switch {
	case sample == 0:
	case r.typical == 0:
		r.typical = sample
	case sample > r.typical:
		r.typical = min(r.typical*(1+typicalStep), sample)
	default:
		r.typical = max(r.typical*(1-typicalStep), sample)
	}
	c.routes[m.Flow.Service] = r
}

// of returns the cost of requests of a route; its service time is 0 while unknown.
func (c *routeCosts) of(at flow.Endpoint) placement.RouteCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, known := c.routes[at]
	return placement.RouteCost{ServiceTime: time.Duration(r.typical * float64(time.Millisecond)), LongFlows: !known || r.long >= 0.5}
}
