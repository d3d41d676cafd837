package packetagent

import (
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

const (
	// locationTTL is how long a directory agent of a flow keeps the flow's location.
	locationTTL = 20 * time.Second
	// locationRefreshInterval is the time between announcements of a flow's location to its directory agents.
	locationRefreshInterval = 8 * time.Second
)

// location is the location of a flow, as announced to its directory agents by the agent that has it.
type location struct {
	agent uint32
	at    time.Duration
}

// announceLocation notifies the directory agents of a flow that this agent has the flow.
func (a *Agent) announceLocation(key flow.Key, directories [mesh.DirectoryCount]uint32) {
	for _, ip := range directories {
		switch ip {
		case 0:
		case a.cfg.IP:
			a.recordLocation(key, a.cfg.IP)
		default:
			a.notify(mesh.KindLocated, ip, key)
		}
	}
}

// recordLocation records which agent has a flow.
func (a *Agent) recordLocation(key flow.Key, agent uint32) {
	shard := a.locations.Lock(key)
	defer shard.Unlock()
	l := shard.Get(key)
	if l == nil {
		l = new(location)
		shard.Put(key, l)
	}
	l.agent, l.at = agent, a.cfg.Now()
}

// lookUpLocation returns the other agent that has a flow, 0 if none is known.
func (a *Agent) lookUpLocation(key flow.Key) uint32 {
	shard := a.locations.Lock(key)
	defer shard.Unlock()
	l := shard.Get(key)
	if l == nil || l.agent == a.cfg.IP {
		return 0
	}
	return l.agent
}

// refreshLocations announces the locations of long-lived flows again, and removes expired locations.
func (a *Agent) refreshLocations(now time.Duration) {
	type refresh struct {
		key         flow.Key
		directories [mesh.DirectoryCount]uint32
	}
	var due []refresh
	a.flows.Sweep(func(key flow.Key, r *record) bool {
		if r.phase != ended && now-r.directoriesNotified >= locationRefreshInterval {
			r.directoriesNotified = now
			due = append(due, refresh{key, r.directories})
		}
		return true
	})
	for _, d := range due {
		a.announceLocation(d.key, d.directories)
	}
	a.locations.Sweep(func(_ flow.Key, l *location) bool { return now-l.at < locationTTL })
}
