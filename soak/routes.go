package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/platform"
)

// Addresses of the routes: one that always exists, one that is added and removed during the run, and one that is led from one service
// to the other and back.
var (
	stableRouteAddr  = packettest.Key(0).Service
	toggledRouteAddr = flow.Endpoint{IP: stableRouteAddr.IP + 1, Port: stableRouteAddr.Port}
	movedRouteAddr   = flow.Endpoint{IP: stableRouteAddr.IP + 2, Port: stableRouteAddr.Port}
)

// configuration is what changes between versions of the configuration.
type configuration struct {
	// withToggled reports whether the toggled route exists.
	withToggled bool
	// movedService is the service that the moved route leads to.
	movedService string
}

// serviceOf returns the service that the route of an address leads to.
func (c configuration) serviceOf(at flow.Endpoint) string {
	if at == movedRouteAddr {
		return c.movedService
	}
	return packettest.FirstService
}

// text returns a version of the configuration in the operator's format.
func (c configuration) text(version uint64) []byte {
	text := fmt.Sprintf(`{"version":%d,"routes":[%s,%s`, version, c.routeText("first", stableRouteAddr), c.routeText("third", movedRouteAddr))
	if c.withToggled {
		text += "," + c.routeText("second", toggledRouteAddr)
	}
	return []byte(text + `],"services":[],"limits":{"idleTimeoutMs":15000}}`)
}

func (c configuration) routeText(name string, at flow.Endpoint) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":"/%d/","type":"idempotent","timeoutMs":3000,"targetLatencyMs":250,"priority":1,"service":%q}`,
		name, at.Addr(), at.Port, c.serviceOf(at))
}

// currentConfiguration returns the configuration that the store acknowledged last.
func (r *run) currentConfiguration() configuration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configured
}

// toggle writes a configuration with or without the toggled route.
func (r *run) toggle(ctx context.Context, withToggled bool) error {
	next := r.currentConfiguration()
	next.withToggled = withToggled
	return r.configure(ctx, next)
}

// configure writes the next version of the configuration.
func (r *run) configure(ctx context.Context, next configuration) error {
	o, err := r.client.Get(ctx, platform.RoutesKey)
	base := o.Version
	if err != nil {
		base = 0
	}
	r.mu.Lock()
	version := r.configVersion + 1
	r.mu.Unlock()
	if _, err := r.client.Put(ctx, platform.RoutesKey, next.text(version), base); err != nil {
		return fmt.Errorf("writing the configuration: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	isFirst := r.configVersion == 0
	r.configVersion = version
	if next.movedService != r.configured.movedService {
		r.routeMovedAt = time.Now()
	}
	if isFirst || next.withToggled != r.configured.withToggled {
		r.routeDroppedAt = time.Time{}
		if !next.withToggled {
			r.routeDroppedAt = time.Now()
			maps.DeleteFunc(r.open, func(key flow.Key, _ *openFlow) bool { return key.Service == toggledRouteAddr })
		}
	}
	r.configured = next
	return nil
}

// meanMovePause is the mean time between two moves of the moved route.
const meanMovePause = 2500 * time.Millisecond

// injectMoves leads the moved route from one service to the other and back. Flows that are open stay where they are.
func (r *run) injectMoves(ctx context.Context) <-chan error {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 5))
	return background(func() {
		for r.pause(ctx, random, meanMovePause) {
			next := r.currentConfiguration()
			if next.movedService == packettest.FirstService {
				next.movedService = packettest.SecondService
			} else {
				next.movedService = packettest.FirstService
			}
			// A change that the store refuses has no effect.
			if r.configure(ctx, next) == nil {
				r.recordFault("third route moved to service " + next.movedService)
			}
		}
	})
}
