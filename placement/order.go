package placement

import (
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

// Candidate is an entry's view of an agent that may take a flow.
type Candidate struct {
	IP uint32
	// SameZone reports whether the agent is in the entry's availability zone.
	SameZone bool
	// Load is the load that the agent last reported, LoadAge the time since then.
	Load    mesh.Load
	LoadAge time.Duration
	// OffersSinceLoad is the number of offers sent to the agent since then.
	OffersSinceLoad int
	// WarmingUp reports whether the host is within its warm-up.
	WarmingUp bool
	// RelativeCost is the time that the host works on its requests as a multiple of the fleet's, 0 if unknown.
	RelativeCost float64

	// rank is the rank for the current flow; the lowest is first.
	rank float64
}

// loadHalfLife is the age at which a load report has half its weight. It is about the time in which a request
// ends, since the report becomes obsolete then.
const loadHalfLife = 50 * time.Millisecond

// otherZonePenalty is the load, as a share of the slots, by which a host of another zone must be lower to be
// preferred. It is above the random part of ranks, so that of hosts of equal load one of the own zone is first for nearly all
// flows, and below the load of one request, so that a zone that has lost hosts isn't flooded.
const otherZonePenalty = 0.45

// warmupPenalty is the corresponding value for hosts within their warm-up.
const warmupPenalty = 0.25

// faultyPenalty is the corresponding value for hosts that fail part of their requests: they rank behind full
// hosts.
const faultyPenalty = 1.0

// Order writes the addresses of the candidates to out, best first, and returns their number. The candidates are those that
// rendezvous hashing draws for the flow; of more than mesh.MaxCandidates, the best are written. It
// sets the ranks of the candidates.
func Order(key flow.Key, candidates []Candidate, out *[mesh.MaxCandidates]uint32) uint8 {
	return OrderByCost(key, RouteCost{}, candidates, out)
}

// OrderByCost orders like Order, for a flow of a route with a known cost.
func OrderByCost(key flow.Key, route RouteCost, candidates []Candidate, out *[mesh.MaxCandidates]uint32) uint8 {
	seed := key.Hash()
	setRanks(seed, route, candidates)
	// Only addresses are sorted: moving whole candidates takes most of the time of a decision.
	var ranks [mesh.MaxCandidates]float64
	count := 0
	for _, c := range candidates {
		at := count
		if count == len(out) {
			if at--; c.rank >= ranks[at] {
				continue
			}
		} else {
			count++
		}
		for ; at > 0 && ranks[at-1] > c.rank; at-- {
			ranks[at], out[at] = ranks[at-1], out[at-1]
		}
		ranks[at], out[at] = c.rank, c.IP
	}
	return uint8(count)
}

// score returns the expected share of busy slots; lower is better. It adds a small jitter that depends on the
// flow, so that entries with the same load reports don't all choose the same agent first.
func (c Candidate) score(seed uint64) float64 {
	freshness := 1 / (1 + float64(c.LoadAge)/float64(loadHalfLife))
	slots := max(float64(c.Load.Slots), 1)
	s := (freshness*float64(c.Load.Busy) + float64(c.OffersSinceLoad)) / slots
	if !c.SameZone {
		s += otherZonePenalty
	}
	if c.WarmingUp {
		s += warmupPenalty
	}
	if c.Load.Faulty {
		s += faultyPenalty
	}
	const jitter = 0.25
	return s + jitter*float64(flow.Mix(seed^uint64(c.IP))>>11)/(1<<53)/slots
}
