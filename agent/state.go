package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/upstream"
)

const (
	// stateInterval is the interval at which the state is recomputed. It is short because a drain must reach
	// the entries within 2 s and a slow start has four steps.
	stateInterval = 200 * time.Millisecond
	// slowStartSteps is the number of weights of a slow start.
	slowStartSteps = 4
)

// stateController keeps the agent's membership record up to date with the state of its upstream, a
// drain by the operator and a planned stop.
type stateController struct {
	board     *node.Board
	service   string
	announced *upstream.Announcements
	handler   *dispatch.Handler
	now       func() time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// readySince is the time at which the upstream became ready, zero while it is not ready.
	readySince time.Time
	// readyAddress is the address of the upstream since then.
	readyAddress netip.AddrPort
}

func newStateController(cfg RoleConfig, b *node.Board, announced *upstream.Announcements, h *dispatch.Handler) *stateController {
	return &stateController{
		board:     b,
		service:   cfg.Settings.Service,
		announced: announced,
		handler:   h,
		now:       time.Now,
	}
}

func (c *stateController) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(stateInterval)
		defer tick.Stop()
		for {
			c.update()
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-tick.C:
			}
		}
	}()
	return done
}

// update recomputes the record from the latest announcement and the policy.
func (c *stateController) update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	announced := c.announced.Current()
	policy := c.board.Policy(c.service)
	old := c.board.Self.Record()
	state, reason := nextState(old.State, announced.State, policy.Drain, c.board.Stopping.Load())
	slots := c.slots(announced)
	c.trackReady(announced, slots)
	weight := uint8(0)
	if state == member.StateReady {
		weight = slowStartWeight(c.now().Sub(c.readySince), policy.SlowStart)
	}
	c.board.Self.Update(func(r member.Record) member.Record {
		if r.State == state && r.Weight == weight && int(r.Slots) == slots {
			return r
		}
		r.Weight = weight
		r.Slots = uint16(slots)
		return r.WithState(state)
	})
	if state != old.State {
		c.board.Trail.Record(audit.Event{Action: state.String(), Target: "agent " + old.Peer.String(), Reason: reason})
	}
}

// trackReady passes the beginning of a slow start and the number of slots to the handler. An upstream at
// another address is another process, and therefore cold, even if the agent has not noticed the end of the
// previous one.
func (c *stateController) trackReady(a upstream.Announcement, slots int) {
	ready := a.State == upstream.StateReady
	if ready && (c.readySince.IsZero() || a.Address != c.readyAddress) {
		c.readySince = c.now()
		c.readyAddress = a.Address
		c.handler.SetSlots(slots)
		c.handler.BeginSlowStart()
	}
	if !ready {
		c.readySince = time.Time{}
	}
	if int(c.board.Self.Record().Slots) != slots {
		c.handler.SetSlots(slots)
	}
}

// slots returns the number of announced slots, limited to that which the configuration allows the host. It is 0
// when the upstream is gone.
func (c *stateController) slots(a upstream.Announcement) int {
	if a.State == upstream.StateGone {
		return 0
	}
	slots := a.Slots
	if allowed := c.allowedSlots(c.board.Host()); allowed > 0 {
		slots = min(slots, allowed)
	}
	return slots
}

// allowedSlots returns the number of slots that the configuration allows the host, the largest one if several
// objects apply, or 0 if it sets no limit.
func (c *stateController) allowedSlots(host netip.Addr) int {
	allowed := 0
	for _, o := range c.board.Config.ObjectsFor(config.TagOf(c.service)) {
		if o.Deleted || o.Upstream == nil {
			continue
		}
		for _, n := range o.Upstream.Networks {
			if n.Contains(host) {
				allowed = max(allowed, o.Upstream.Slots)
			}
		}
	}
	return allowed
}

// nextState returns the agent's state and the reason for it.
func nextState(old member.State, up upstream.State, drain, stopping bool) (member.State, string) {
	switch {
	case stopping:
		return member.StateDraining, "planned stop"
	case drain:
		return member.StateDraining, "drained by an operator's exception"
	case up == upstream.StateReady:
		return member.StateReady, "upstream announced itself ready"
	case up == upstream.StateStarting:
		return member.StateStarting, "upstream announced itself starting"
	case old == member.StateStarting:
		return member.StateStarting, "upstream has not announced itself"
	}
	return member.StateDraining, "upstream is " + string(up)
}

// slowStartWeight returns the weight of an upstream in percent when the given time has elapsed since the
// beginning of its slow start: 25, 50, 75 and finally 100.
func slowStartWeight(elapsed, slowStart time.Duration) uint8 {
	if slowStart <= 0 || elapsed >= slowStart {
		return member.FullWeight
	}
	step := int(elapsed*slowStartSteps/slowStart) + 1
	return uint8(step * int(member.FullWeight) / slowStartSteps)
}
