package placement

import (
	"cmp"
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

// Candidate is what an entry knows of an agent that may take a flow.
type Candidate struct {
	IP uint32
	// Near says that the agent is in the entry's availability zone.
	Near bool
	// Load is the load that the agent told last, Age how long ago.
	Load mesh.Load
	Age  time.Duration
	// Sent is the number of offers sent to it since.
	Sent int
	// Cold says that the host is within its warm-up.
	Cold bool

	// rank is the score for the flow at hand.
	rank float64
}

// loadHalfLife is the age at which a load report counts half. It is about the
// time in which a request ends, so that an old report says little.
const loadHalfLife = 50 * time.Millisecond

// farPenalty is the load, as a share of the slots, that a host of another zone must be
// below to be asked first. It keeps traffic within a zone between equals.
const farPenalty = 0.05

// coldPenalty is the same for hosts within their warm-up.
const coldPenalty = 0.25

// faultyPenalty is the same for hosts that fail part of their requests: they come behind hosts that are full.
const faultyPenalty = 1.0

// Order writes the addresses of the agents to ask into out, the most promising
// first, and returns their number. Of many candidates, a sample that depends on the
// flow is weighed. candidates is reordered.
func Order(key flow.Key, candidates []Candidate, out *[mesh.MaxCandidates]uint32) uint8 {
	seed := key.Hash()
	if n := 2 * mesh.MaxCandidates; len(candidates) > n {
		for i := range n {
			seed = flow.Mix(seed + 1)
			j := i + int(seed%uint64(len(candidates)-i))
			candidates[i], candidates[j] = candidates[j], candidates[i]
		}
		candidates = candidates[:n]
	}
	for i := range candidates {
		candidates[i].rank = candidates[i].score(seed)
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.rank, b.rank) })
	count := min(len(candidates), mesh.MaxCandidates)
	for i := range count {
		out[i] = candidates[i].IP
	}
	return uint8(count)
}

// score is the expected share of busy slots, with a small part that differs by
// flow, so that entries with the same knowledge don't all ask the same agent first.
func (c Candidate) score(seed uint64) float64 {
	known := 1 / (1 + float64(c.Age)/float64(loadHalfLife))
	slots := max(float64(c.Load.Slots), 1)
	s := (known*float64(c.Load.Busy) + float64(c.Sent)) / slots
	if !c.Near {
		s += farPenalty
	}
	if c.Cold {
		s += coldPenalty
	}
	if c.Load.Faulty {
		s += faultyPenalty
	}
	const spread = 0.25
	return s + spread*float64(flow.Mix(seed^uint64(c.IP))>>11)/(1<<53)/slots
}
