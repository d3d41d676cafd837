package packetentry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
)

// The agents of a service are ranked for each flow by rendezvous hashing. The first ones that take flows are the candidates of
// the flow, and the first ones of all its directory agents. Entries that know the same agents compute the same ranking, so
// that a flow can be found without a record of its placement.

// ranking holds the agents with the highest rendezvous weights of those inserted, highest first.
type ranking struct {
	agents  [mesh.MaxCandidates]*agent
	weights [mesh.MaxCandidates]uint64
	count   int
}

// admits reports whether an agent of a weight is among the highest so far.
func (k *ranking) admits(weight uint64) bool { return weight > k.weights[len(k.weights)-1] }

// insert inserts an agent whose weight is admitted.
func (k *ranking) insert(a *agent, weight uint64) {
	i := min(k.count, len(k.agents)-1)
	for ; i > 0 && k.weights[i-1] < weight; i-- {
		k.agents[i], k.weights[i] = k.agents[i-1], k.weights[i-1]
	}
	k.agents[i], k.weights[i] = a, weight
	k.count = min(k.count+1, len(k.agents))
}

// all returns the agents, highest weight first.
func (k *ranking) all() []*agent { return k.agents[:k.count] }

// directories returns the first agents as directory agents.
func (k *ranking) directories() (order directoryOrder) {
	for i, a := range k.all() {
		if i < len(order) {
			order[i] = a.report.Load().IP
		}
	}
	return order
}

// directoryOrder are agents of a service in the order in which a search asks them as directory agents of a flow; 0 for none.
type directoryOrder [mesh.DirectorySteps]uint32

// current returns the directory agents that record the flow's location.
func (o directoryOrder) current() [mesh.DirectoryCount]uint32 {
	return [mesh.DirectoryCount]uint32(o[:mesh.DirectoryCount])
}

// isDirectory reports whether an agent can be a directory agent. An agent whose host has shut down leaves with it.
func (a *agent) isDirectory(now time.Duration) bool {
	return !a.timedOut(now) && a.report.Load().HostState != host.Gone
}

// place returns the agents that a new flow may be offered to and the flow's directory agents, with one pass over the agents of
// the service. Agents that are unresponsive or excluded, or whose hosts accept no flows, are candidates only if there are no
// others; agents of evacuated zones never are.
func (r *roster) place(service string, key flow.Key, excluded func(uint32) bool) (candidates, directories ranking) {
	now, evacuated, seed := r.cfg.Now(), r.cfg.Evacuations.Current(), key.Hash()
	agents := r.serviceAgents(service)
	for _, fallback := range []bool{false, true} {
		for _, a := range agents {
			weight := flow.Mix(seed ^ a.mixedIP)
			if !fallback && directories.admits(weight) && a.isDirectory(now) {
				directories.insert(a, weight)
			}
			if !candidates.admits(weight) || a.isClosing() {
				continue
			}
			report := a.report.Load()
			if evacuated.Includes(report.Zone) {
				continue
			}
			if leastPreferred := !a.takesFlows(now) || excluded(report.IP); leastPreferred == fallback {
				candidates.insert(a, weight)
			}
		}
		if candidates.count > 0 {
			break
		}
	}
	return candidates, directories
}

// rank returns the included agents of a service with the highest weights for a flow. If agents joined recently, afterJoin is
// true, and settled are the highest of those that didn't.
func (r *roster) rank(service string, key flow.Key, includes func(a *agent, now time.Duration) bool) (current, settled ranking, afterJoin bool) {
	now, seed := r.cfg.Now(), key.Hash()
	afterJoin = r.joinedRecently(now)
	for _, a := range r.serviceAgents(service) {
		weight := flow.Mix(seed ^ a.mixedIP)
		isCurrent, isSettled := current.admits(weight), afterJoin && settled.admits(weight) && !a.joinedRecently(now)
		if !isCurrent && !isSettled || !includes(a, now) {
			continue
		}
		if isCurrent {
			current.insert(a, weight)
		}
		if isSettled {
			settled.insert(a, weight)
		}
	}
	return current, settled, afterJoin
}

// searchOrder returns the agents of a service that a search asks as directory agents of a flow. The first ones are the current
// directory agents, which are the same at all entries with records of the same agents. If agents joined recently, those follow
// that were directory agents before, as flows that opened then announced themselves to these.
func (r *roster) searchOrder(service string, key flow.Key) directoryOrder {
	current, settled, afterJoin := r.rank(service, key, (*agent).isDirectory)
	order := current.directories()
	if !afterJoin {
		return order
	}
	before, now := settled.directories(), order
	n := mesh.DirectoryCount
	for _, ip := range append(before[:mesh.DirectoryCount:mesh.DirectoryCount], now[mesh.DirectoryCount:]...) {
		if n < len(order) && !slices.Contains(order[:n], ip) {
			order[n] = ip
			n++
		}
	}
	clear(order[n:])
	return order
}

// directories returns the agents of a service that record the location of a flow.
func (r *roster) directories(service string, key flow.Key) [mesh.DirectoryCount]uint32 {
	return r.searchOrder(service, key).current()
}

// joinedRecently reports whether any agent joined recently.
func (r *roster) joinedRecently(now time.Duration) bool {
	last := time.Duration(r.lastJoin.Load())
	return last != 0 && now-last < maxFlowAge
}

// appendFirst appends to dst the agents of a service that come first for a flow, whether or not they take flows now, as they
// may have taken it before. If agents joined recently, those are appended as well that came first before.
func (r *roster) appendFirst(dst []*agent, service string, key flow.Key) []*agent {
	current, settled, afterJoin := r.rank(service, key, (*agent).mayHaveFlows)
	dst = appendMissing(dst, current.all()...)
	if afterJoin {
		dst = appendMissing(dst, settled.all()...)
	}
	return dst
}

// settledHostAge is the time for which a host must have run, by the clocks of its VM and of the entry's, to have been there before each
// open flow. It leaves minutes for clocks that differ.
const settledHostAge = 10 * time.Minute

// joiner is an agent with its place in the order in which agents joined.
type joiner struct {
	*agent
	// order is 0 for agents that have run for long, and unknownOrder for those without a member record.
	order  uint64
	weight uint64
}

const unknownOrder = math.MaxUint64

// joiners returns the agents of a service in the order in which they joined. The entry's own records don't tell for those that joined
// before it started, but the revisions of their member records do: these are written when an agent joins, and not when it restarts.
func (r *roster) joiners(service string, key flow.Key) []joiner {
	settledBefore := r.cfg.Incarnation + (r.cfg.Now() - r.started - settledHostAge).Milliseconds()
	seed, orders := key.Hash(), r.cfg.JoinOrder()
	agents := r.serviceAgents(service)
	out := make([]joiner, 0, len(agents))
	for _, a := range agents {
		report := a.report.Load()
		order, recorded := orders[report.IP]
		switch {
		case report.HostStartedAt != 0 && report.HostStartedAt < settledBefore:
			order = 0
		case !recorded:
			order = unknownOrder
		}
		out = append(out, joiner{a, order, flow.Mix(seed ^ a.mixedIP)})
	}
	slices.SortFunc(out, func(a, b joiner) int { return cmp.Compare(a.order, b.order) })
	return out
}

// appendFormerFirst appends to dst the agents of a service that may have come first for a flow when it opened: those that come first
// among the agents that joined before them, as the fleet may have had no others then, and those that do so among the ones that take
// flows, as the others may not have taken any then either.
func (r *roster) appendFormerFirst(dst []*agent, service string, key flow.Key) []*agent {
	now, evacuated := r.cfg.Now(), r.cfg.Evacuations.Current()
	var all, taking ranking
	joined := r.joiners(service, key)
	for start, end := 0, 0; start < len(joined); start = end {
		for end = start; end < len(joined) && joined[end].order == joined[start].order; end++ {
			a := joined[end]
			if all.admits(a.weight) {
				all.insert(a.agent, a.weight)
			}
			if taking.admits(a.weight) && a.isAvailable(now, evacuated) {
				taking.insert(a.agent, a.weight)
			}
		}
		for _, a := range joined[start:end] {
			isFirst := slices.Contains(all.all(), a.agent) || slices.Contains(taking.all(), a.agent)
			if isFirst && a.mayHaveFlows(now) {
				dst = appendMissing(dst, a.agent)
			}
		}
	}
	return dst
}

// appendMissing appends the agents that dst doesn't contain.
func appendMissing(dst []*agent, agents ...*agent) []*agent {
	for _, a := range agents {
		if a != nil && !slices.Contains(dst, a) {
			dst = append(dst, a)
		}
	}
	return dst
}

// mayHaveFlows reports whether the agent's host may have flows: the host of an agent that joined has none before it reports.
func (a *agent) mayHaveFlows(time.Duration) bool {
	return !a.joined || a.report.Load().HostState != host.Unknown
}

// typicalTime is the typical service time of a service, computed at a time.
type typicalTime struct {
	value mesh.Millis
	at    time.Duration
}

// typicalTimeAge is the age up to which a typical service time is used again: computing it takes a lock per agent, and agents'
// service times are means over many requests.
const typicalTimeAge = 50 * time.Millisecond

// typicalServiceTime returns the lower median of the service times that up to 64 agents of a service reported, 0 if none did.
func (r *roster) typicalServiceTime(service string) mesh.Millis {
	now := r.cfg.Now()
	r.typicalMu.Lock()
	defer r.typicalMu.Unlock()
	if last, ok := r.typicalTimes[service]; ok && now-last.at < typicalTimeAge {
		return last.value
	}
	var times [64]mesh.Millis
	n := 0
	for _, a := range r.serviceAgents(service) {
		if n == len(times) {
			break
		}
		if t := a.candidate(r.cfg.Zone, now).Load.ServiceTime; t > 0 && !a.isClosing() && a.takesFlows(now) {
			times[n] = t
			n++
		}
	}
	value := mesh.Millis(0)
	if n > 0 {
		slices.Sort(times[:n])
		value = times[(n-1)/2]
	}
	r.typicalTimes[service] = typicalTime{value, now}
	return value
}
