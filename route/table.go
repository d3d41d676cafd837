package route

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"endiveflow.example/endiveflow/member"
)

// Candidate is an agent that may get new flows.
type Candidate struct {
	// ID decides which flows the candidate attracts. It is unique within a table.
	ID member.ID
	// Tunnel receives the flow's packets.
	Tunnel netip.AddrPort
	// Incarnation is the tag of the agent's incarnation.
	Incarnation uint16
	// Weight is the candidate's share of the flows relative to the other
	// candidates; 0 attracts none.
	Weight uint8
}

// Table is an immutable set of candidates. The zero value is empty.
type Table struct {
	// candidates all have a weight above 0.
	candidates []Candidate
	// seeds and inverse belong to the candidates of the same index. Choose
	// reads only these for candidates that cannot win.
	seeds   []uint64
	inverse []float64
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
		t.inverse = append(t.inverse, 1/float64(c.Weight))
	}
	return t
}

// Len returns the number of candidates with a weight.
func (t Table) Len() int { return len(t.candidates) }

// Choose returns the candidate of a flow and the one that follows it, which
// is the zero Candidate in a table of one. It is false for an empty table. It
// does not allocate.
func (t Table) Choose(id []byte) (first, second Candidate, ok bool) {
	if len(t.candidates) == 0 {
		return Candidate{}, Candidate{}, false
	}
	flow := xxhash.Sum64(id)
	best, next := -1, -1
	bestScore, nextScore := math.Inf(1), math.Inf(1)
	for i, seed := range t.seeds {
		u := unit(mix(flow ^ seed))
		// 1-u is below -ln(u), so most candidates are ruled out without a logarithm.
		if (1-u)*t.inverse[i] > nextScore {
			continue
		}
		score := -math.Log(u) * t.inverse[i]
		switch {
		case t.before(score, i, bestScore, best):
			next, nextScore = best, bestScore
			best, bestScore = i, score
		case t.before(score, i, nextScore, next):
			next, nextScore = i, score
		}
	}
	if next >= 0 {
		second = t.candidates[next]
	}
	return t.candidates[best], second, true
}

// before orders candidates by score, and by ID when the scores are equal, so
// that the order of the table does not matter. j is -1 for no candidate.
func (t Table) before(score float64, i int, other float64, j int) bool {
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

// unit maps a hash to the open interval (0, 1).
func unit(h uint64) float64 {
	return (float64(h>>11) + 0.5) / (1 << 53)
}
