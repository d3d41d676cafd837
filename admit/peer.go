package admit

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// ReportExpires is the age at which a load report says nothing any more.
const ReportExpires = 2 * time.Second

// PeerLoad is what is known of a peer agent.
type PeerLoad struct {
	Addr netip.AddrPort
	// Slots is the number of slots from the membership, used while there is no report.
	Slots int
	// Load is the latest in-band report; Reported is the time of it, zero when there is none.
	Load     Load
	Reported time.Time
	// Held is the time of the latest question or failure that no report has followed; zero when there is none.
	Held time.Time
	// Weight is the weight of the peer's upstream in percent; 0 excludes it.
	Weight int
	// Draining peers get no work.
	Draining bool
}

// Choice is the result of ChoosePeer.
type Choice struct {
	// Index is the place of the peer in the list; -1 when there is none.
	Index  int
	Reason string
}

// Reasons of choices.
const (
	ReasonNoPeers    = "no peers"
	ReasonPeersBusy  = "sampled peers are busy"
	ReasonLesserLoad = "lesser load of two"
	ReasonLocal      = "local upstream is not more loaded"
)

// ChoosePeer picks two random peers and returns the one with the lesser load that is expected to
// have a free slot for a class. A report counts less the older it is, and one older
// than ReportExpires counts as half load, so that a peer without a report is tried again.
// random returns a number from 0 to n-1.
func ChoosePeer(peers []PeerLoad, c Class, now time.Time, random func(n int) int) Choice {
	usable := usablePeers(peers)
	if len(usable) == 0 {
		return Choice{Index: -1, Reason: ReasonNoPeers}
	}
	first, second := two(usable, random)
	best := -1
	for _, i := range []int{first, second} {
		if !peers[i].hasRoom(c, now) {
			continue
		}
		if best < 0 || peers[i].score(now) < peers[best].score(now) {
			best = i
		}
	}
	if best < 0 {
		return Choice{Index: -1, Reason: ReasonPeersBusy}
	}
	return Choice{Index: best, Reason: ReasonLesserLoad}
}

// ChooseLighter picks two random peers and returns the one with the lesser load if
// that is less than the local one, although the local upstream has a free slot. A peer
// without a fresh report is returned so that its report becomes known, but once in
// ReportExpires at most, since it may be silent. The peer refuses the request when it is not less loaded.
func ChooseLighter(local Load, peers []PeerLoad, c Class, now time.Time, random func(n int) int) Choice {
	if local.InUse() == 0 || !local.HasRoom(c) {
		return Choice{Index: -1, Reason: ReasonLocal}
	}
	usable := usablePeers(peers)
	if len(usable) == 0 {
		return Choice{Index: -1, Reason: ReasonNoPeers}
	}
	first, second := two(usable, random)
	best, least := -1, local.strain(float64(local.InUse()))
	for _, i := range []int{first, second} {
		if strain := peers[i].strainWithOneMore(now); strain <= least {
			best, least = i, strain
		}
	}
	if best < 0 {
		return Choice{Index: -1, Reason: ReasonLocal}
	}
	return Choice{Index: best, Reason: ReasonLesserLoad}
}

// ChooseQueue picks two random peers and returns the one with the lesser load, whether or
// not it is expected to have a free slot.
func ChooseQueue(peers []PeerLoad, now time.Time, random func(n int) int) Choice {
	usable := slices.DeleteFunc(usablePeers(peers), func(i int) bool {
		// An agent that takes no work reports no slots.
		return peers[i].fresh(now) && peers[i].Load.Slots == 0
	})
	if len(usable) == 0 {
		return Choice{Index: -1, Reason: ReasonNoPeers}
	}
	first, second := two(usable, random)
	if peers[second].score(now) < peers[first].score(now) {
		first = second
	}
	return Choice{Index: first, Reason: ReasonLesserLoad}
}

func usablePeers(peers []PeerLoad) []int {
	usable := make([]int, 0, len(peers))
	for i, p := range peers {
		if !p.Draining && p.Slots > 0 && p.Weight > 0 {
			usable = append(usable, i)
		}
	}
	return usable
}

// LighterProbes is the number of peers that are asked, one after another, whether they are less
// loaded. A question costs a hop of about 1 ms, which is little for long work only.
func LighterProbes(c Class) int {
	if c == Long {
		return 4
	}
	return 1
}

// recentFactor is the weight of the recent mean of slots in use against the slots in use now.
// With the slots in use alone, the imbalance of the swing at half load was 1.15 to 1.29: long
// runs are few, so their chance differences last. 4, 8, 16 and 32 gave less each time; only with
// 32 did all of 40 seeds with skewed arrivals stay below 1.1.
const recentFactor = 32

// recent is Recent in slots.
func (l Load) recent() float64 { return float64(l.Recent) / 1000 }

// strain is the load per slot of the present and the recent past.
func (l Load) strain(inUse float64) float64 {
	return (inUse + recentFactor*l.recent()) / float64(max(l.Slots, 1))
}

// lighterThan says whether one more request leaves the load below what another one has now.
func (l Load) lighterThan(other Load) bool {
	return l.strain(float64(l.InUse()+1)) <= other.strain(float64(other.InUse()))
}

// strainWithOneMore is the strain of a peer after one more request, infinite when it is not to be asked. As the report ages, the
// recent mean replaces the reported slots in use.
func (p PeerLoad) strainWithOneMore(now time.Time) float64 {
	switch {
	case !p.fresh(now) && !p.Held.IsZero() && now.Sub(p.Held) < ReportExpires:
		return math.Inf(1)
	case !p.fresh(now):
		return 0
	case p.Load.Slots == 0:
		return math.Inf(1)
	}
	age := float64(now.Sub(p.Reported)) / float64(ReportExpires)
	inUse := float64(p.Load.InUse())*(1-age) + p.Load.recent()*age
	return p.Load.strain(inUse + 1)
}

func two(from []int, random func(n int) int) (first, second int) {
	i := random(len(from))
	if len(from) == 1 {
		return from[i], from[i]
	}
	j := random(len(from) - 1)
	if j >= i {
		j++
	}
	return from[i], from[j]
}

func (p PeerLoad) fresh(now time.Time) bool {
	return !p.Reported.IsZero() && now.Sub(p.Reported) < ReportExpires
}

func (p PeerLoad) hasRoom(c Class, now time.Time) bool {
	return !p.fresh(now) || p.Load.HasRoom(c)
}

// score is the load per slot, drawn towards one half as the report ages and raised for a low weight.
func (p PeerLoad) score(now time.Time) float64 {
	const unknown = 0.5
	score := unknown
	if p.fresh(now) && p.Load.Slots > 0 {
		age := float64(now.Sub(p.Reported)) / float64(ReportExpires)
		known := float64(p.Load.InUse()+p.Load.Queued()) / float64(p.Load.Slots)
		score = known*(1-age) + unknown*age
	}
	return (score + 1/float64(p.Slots)) * 100 / float64(p.Weight)
}
