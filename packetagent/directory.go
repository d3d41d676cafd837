package packetagent

import (
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

const (
	// locationTTL is how long a directory agent of a flow keeps the flow's location.
	locationTTL = 20 * time.Second
	// locationRefreshInterval is the time between announcements of a flow's location to its directory agents.
	locationRefreshInterval = 8 * time.Second
	// locationRetryInterval is the minimum time between such announcements if a search shows that the directory agents don't
	// know the location.
	locationRetryInterval = time.Second
)

// location is the location of a flow, as announced to its directory agents by the agents that took it.
type location struct {
	// agent announced the flow first, other after it; 0 for none. Two agents may have taken a flow that was offered
	// twice.
	agent, other uint32
	at           time.Duration
}

// announced returns the location after an agent's announcement that it has the flow.
func (l location) announced(agent uint32, now time.Duration) location {
	l.at = now
	if l.agent == 0 || l.agent == agent {
		l.agent = agent
	} else {
		l.other = agent
	}
	return l
}

// withdrawn returns the location after an agent's notice that it doesn't have the flow.
func (l location) withdrawn(agent uint32) location {
	if l.agent == agent {
		l.agent, l.other = l.other, 0
	}
	if l.other == agent {
		l.other = 0
	}
	return l
}

// askDirectories notifies an entry that this agent has a flow, and asks it for the flow's current directory agents. Agents that
// join change them, and an agent that learned a flow from its host has never been told.
func (a *Agent) askDirectories(entry uint32, key flow.Key) {
	m := a.newMessage(mesh.KindTaken, key)
	m.Step = mesh.TakenAsksDirectories
	a.send(entry, &m)
}

// announceLocation notifies the directory agents of a flow that this agent has the flow.
func (a *Agent) announceLocation(key flow.Key, directories [mesh.DirectoryCount]uint32) {
	a.notifyDirectories(key, directories, mesh.LocatedHere)
}

// withdrawLocation notifies the directory agents of a flow that this agent doesn't have the flow.
func (a *Agent) withdrawLocation(key flow.Key, directories [mesh.DirectoryCount]uint32) {
	a.notifyDirectories(key, directories, mesh.LocatedElsewhere)
}

// updateDirectories announces the location of a flow of this agent to its current directory agents, if these are not the ones
// that were notified last, or if they have forgotten it. Agents that join change them, restarted ones forget, and a flow that
// was learned from the host had none.
func (a *Agent) updateDirectories(key flow.Key, directories [mesh.DirectoryCount]uint32, forgotten bool) {
	if directories == ([mesh.DirectoryCount]uint32{}) {
		return
	}
	now := a.cfg.Now()
	shard := a.flows.Lock(key)
	r := shard.Get(key)
	due := r != nil && r.phase != ended && (r.directories != directories || forgotten && now-r.directoriesNotified >= locationRetryInterval)
	if due {
		r.directories, r.directoriesNotified = directories, now
	}
	shard.Unlock()
	if due {
		a.announceLocation(key, directories)
	}
}

func (a *Agent) notifyDirectories(key flow.Key, directories [mesh.DirectoryCount]uint32, step uint8) {
	for _, ip := range directories {
		switch ip {
		case 0:
		case a.cfg.IP:
			a.recordLocation(key, a.cfg.IP, step)
		default:
			m := a.newMessage(mesh.KindLocated, key)
			m.Step = step
			a.send(ip, &m)
		}
	}
}

// recordLocation records an agent's notice of whether it has a flow.
func (a *Agent) recordLocation(key flow.Key, agent uint32, step uint8) {
	shard := a.locations.Lock(key)
	defer shard.Unlock()
	l := shard.Get(key)
	switch {
	case step == mesh.LocatedElsewhere && l != nil:
		*l = l.withdrawn(agent)
	case step == mesh.LocatedHere:
		if l == nil {
			l = new(location)
			shard.Put(key, l)
		}
		*l = l.announced(agent, a.cfg.Now())
	}
}

// lookUpLocation returns the other agent that most likely has a flow, 0 if none is known.
func (a *Agent) lookUpLocation(key flow.Key) uint32 {
	shard := a.locations.Lock(key)
	defer shard.Unlock()
	l := shard.Get(key)
	switch {
	case l == nil:
		return 0
	case l.agent == a.cfg.IP:
		return l.other
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
	slices.SortFunc(due, func(x, y refresh) int { return x.key.Compare(y.key) })
	for _, d := range due {
		a.announceLocation(d.key, d.directories)
	}
	a.locations.Sweep(func(_ flow.Key, l *location) bool { return now-l.at < locationTTL })
}
