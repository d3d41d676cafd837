package placement

import (
	"math"
	"time"

	"endiveflow.example/endiveflow/flow"
)

// Ranks by cost.
//
// A host that reports its remaining work is ranked by it; its age counts as for the number of busy slots, except that
// the standing load of open flows changes slowly and doesn't lose weight. The random part of a rank is distributed
// exponentially with a mean in proportion to the host's relative cost: among hosts that are equally loaded, each is first with a
// probability in proportion to its speed.
const (
	// shortJitter is the mean of the random part of the rank of a flow of one request, as a share of the slots of a host of 2
	// slots. It is as wide as for ranks by busy slots.
	shortJitter = 0.125
	// longJitter is the mean of the random part of the rank of a long flow, in multiples of the candidates' mean standing
	// load. With 8 candidates, a host whose load is by a share x below the others' gets 16x more flows than these. Entries
	// learn of a load after about a second and flows live for tens of seconds, so that loads don't oscillate.
	longJitter = 0.5
	// minStandingShare is the least standing load, as a share of the slots, that counts as the mean: the loads of hosts that are
	// almost idle differ by chance.
	minStandingShare = 0.05
	// The penalties of long flows correspond to those for the share of busy slots, in multiples of the mean standing load. A host
	// of another zone must be less loaded by more than this to be preferred as often.
	longOtherZonePenalty = 0.6
	longWarmupPenalty    = 0.25
	longFaultyPenalty    = 4.0
	// longBusyWeight is the weight of the busy slots and of the offers that an agent hasn't answered yet in the rank of a long
	// flow: of hosts with about the same standing load, one with a free slot is first, and one that may be silent last.
	longBusyWeight = 0.25
	// minRelativeCost and maxRelativeCost limit the relative cost of a host that reports false values.
	minRelativeCost = 0.5
	maxRelativeCost = 8.0
)

// setRanks sets the ranks of candidates. While a candidate doesn't report its work, as processes of earlier versions, all
// are ranked by busy slots: ranks of two kinds can't be compared.
func setRanks(seed uint64, route RouteCost, candidates []Candidate) {
	standing := 0.0
	for i := range candidates {
		if candidates[i].Load.WorkMs == 0 {
			for i := range candidates {
				candidates[i].rank = candidates[i].score(seed)
			}
			return
		}
		standing += candidates[i].standingShare()
	}
	mean := max(standing/float64(max(len(candidates), 1)), minStandingShare)
	typical := max(route.ServiceTime.Seconds(), time.Millisecond.Seconds())
	if route.ServiceTime == 0 {
		typical = DefaultServiceTime.Seconds()
	}
	for i := range candidates {
		c := &candidates[i]
		if route.LongFlows {
			c.rank = c.longRank(seed, mean)
		} else {
			c.rank = c.shortRank(seed, typical)
		}
	}
}

// standingShare returns the standing load as a share of the slots.
func (c *Candidate) standingShare() float64 {
	return float64(c.Load.StandingMs) / 1000 / max(float64(c.Load.Slots), 1)
}

// relativeCost returns the limited relative cost, 1 if it is unknown.
func (c *Candidate) relativeCost() float64 {
	if c.RelativeCost == 0 {
		return 1
	}
	return min(max(c.RelativeCost, minRelativeCost), maxRelativeCost)
}

// shortRank ranks by the time until a request that arrives now begins to run, in multiples of the typical service time of
// its route, in seconds.
func (c *Candidate) shortRank(seed uint64, typical float64) float64 {
	freshness := 1 / (1 + float64(c.LoadAge)/float64(loadHalfLife))
	standing := float64(c.Load.StandingMs) / 1000
	remaining := max(float64(c.Load.WorkMs)/1000-standing, 0)
	relative := c.relativeCost()
	expected := typical * relative
	// The standing load is also the mean number of its requests in the host, each with about the expected time of one.
	work := freshness*remaining + (1-freshness)*standing*expected + float64(c.OffersSinceLoad)*expected
	return work/(max(float64(c.Load.Slots), 1)*typical) + c.penalty(otherZonePenalty, warmupPenalty, faultyPenalty) +
		shortJitter*relative*c.exponential(seed)
}

// longRank ranks by the standing load, in multiples of the candidates' mean share.
func (c *Candidate) longRank(seed uint64, mean float64) float64 {
	freshness := 1 / (1 + float64(c.LoadAge)/float64(loadHalfLife))
	busy := (freshness*float64(c.Load.Busy) + float64(c.OffersSinceLoad)) / max(float64(c.Load.Slots), 1)
	return c.standingShare()/mean + longBusyWeight*min(busy, 1) + c.penalty(longOtherZonePenalty, longWarmupPenalty, longFaultyPenalty) +
		longJitter*c.relativeCost()*c.exponential(seed)
}

func (c *Candidate) penalty(otherZone, warmup, faulty float64) float64 {
	p := 0.0
	if !c.SameZone {
		p += otherZone
	}
	if c.WarmingUp {
		p += warmup
	}
	if c.Load.Faulty {
		p += faulty
	}
	return p
}

// exponential returns a value with an exponential distribution of mean 1 that depends on the flow and the candidate. It
// orders equal candidates as ranks by busy slots do, so that processes of two versions try the same agents first.
func (c *Candidate) exponential(seed uint64) float64 {
	return -math.Log1p(-float64(flow.Mix(seed^uint64(c.IP))>>11) / (1 << 53))
}
