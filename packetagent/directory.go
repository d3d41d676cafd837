package packetagent

import (
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

const (
	// locationMemory is how long the home of a flow remembers where the flow is.
	locationMemory = 20 * time.Second
	// locationRefresh is the time between reminders for flows that live longer.
	locationRefresh = 8 * time.Second
)

// location is where a flow is, as the agent that has it told its home.
type location struct {
	agent uint32
	at    time.Duration
}

// locate tells the homes of a flow that the flow is here.
func (a *Agent) locate(key flow.Key, homes [mesh.HomeCount]uint32) {
	for _, ip := range homes {
		switch ip {
		case 0:
		case a.cfg.IP:
			a.located(key, a.cfg.IP)
		default:
			a.tell(mesh.Located, ip, key)
		}
	}
}

// located remembers which agent has a flow.
func (a *Agent) located(key flow.Key, agent uint32) {
	shard := a.locations.Lock(key)
	defer shard.Unlock()
	l := shard.Get(key)
	if l == nil {
		l = new(location)
		shard.Put(key, l)
	}
	l.agent, l.at = agent, a.cfg.Now()
}

// whereIs returns the other agent that has a flow, 0 for unknown.
func (a *Agent) whereIs(key flow.Key) uint32 {
	shard := a.locations.Lock(key)
	defer shard.Unlock()
	l := shard.Get(key)
	if l == nil || l.agent == a.cfg.IP {
		return 0
	}
	return l.agent
}

// remind tells the homes of flows that live long where they are, and forgets old locations.
func (a *Agent) remind(now time.Duration) {
	type reminder struct {
		key   flow.Key
		homes [mesh.HomeCount]uint32
	}
	var due []reminder
	a.flows.Sweep(func(key flow.Key, r *record) bool {
		if r.phase != ended && now-r.told >= locationRefresh {
			r.told = now
			due = append(due, reminder{key, r.homes})
		}
		return true
	})
	for _, d := range due {
		a.locate(d.key, d.homes)
	}
	a.locations.Sweep(func(_ flow.Key, l *location) bool { return now-l.at < locationMemory })
}
