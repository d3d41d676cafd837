package route

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"endiveflow.example/endiveflow/member"
)

// Candidate is an agent that may get new flows.
type Candidate struct {
	// ID is an input of the hash that assigns flows to candidates. It is unique within a table.
	ID member.ID
	// Tunnel receives the flow's packets.
	Tunnel netip.AddrPort
	// Incarnation is the tag of the agent's incarnation.
	Incarnation uint16
	// Weight is the candidate's share of the flows relative to the other candidates; a candidate of weight 0
	// gets none.
	Weight uint8
}

// Table is an immutable set of candidates. The zero value is empty.
type Table struct {
	// candidates all have a weight above 0.
	candidates []Candidate
	// seeds and inverseWeights are indexed like candidates. Choose reads only these for candidates that can't
	// win.
	seeds          []uint64
	inverseWeights []float64
}

// NewTable returns a table of the candidates. Their order does not matter.
func NewTable(candidates []Candidate) Table {
	var t Table
	for _, c := range candidates {
		if c.Weight == 0 {
			continue
		}
		t.candidates = append(t.candidates, c)
		t.seeds = append(t.seeds, mix(uint64(c.ID)))
		t.inverseWeights = append(t.inverseWeights, 1/float64(c.Weight))
	}
	return t
}

// Len returns the number of candidates with a weight.
func (t Table) Len() int { return len(t.candidates) }

// Choose returns the first and the second choice for a flow; the second is the zero Candidate in a table of
// one. ok is false for an empty table. Choose does not allocate.
func (t Table) Choose(id []byte) (first, second Candidate, ok bool) {
	if len(t.candidates) == 0 {
		return Candidate{}, Candidate{}, false
	}
	flowHash := xxhash.Sum64(id)
	best, next := -1, -1
	bestScore, nextScore := math.Inf(1), math.Inf(1)
	for i, seed := range t.seeds {
		u := unitInterval(mix(flowHash ^ seed))
		// 1-u is below -ln(u), so most candidates are ruled out without a logarithm.
		if (1-u)*t.inverseWeights[i] > nextScore {
			continue
		}
		score := -math.Log(u) * t.inverseWeights[i]
		switch {
		case t.less(score, i, bestScore, best):
			next, nextScore = best, bestScore
			best, bestScore = i, score
		case t.less(score, i, nextScore, next):
			next, nextScore = i, score
		}
	}
	if next >= 0 {
		second = t.candidates[next]
	}
	return t.candidates[best], second, true
}

// less reports whether candidate i precedes candidate j: candidates are ordered by score, and by ID if the
// scores are equal, so that the order of the table does not matter. j is -1 for no candidate.
func (t Table) less(score float64, i int, other float64, j int) bool {
	if j < 0 || score != other {
		return j < 0 || score < other
	}
	return t.candidates[i].ID < t.candidates[j].ID
}

// mix is the finalizer of MurmurHash3. It spreads every input bit over the output.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// unitInterval maps a hash to the open interval (0, 1).
func unitInterval(h uint64) float64 {
	return (float64(h>>11) + 0.5) / (1 << 53)
}
