package admit

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// ReportTTL is the age from which a load report is ignored.
const ReportTTL = 2 * time.Second

// PeerLoad describes a peer agent: its membership data, its latest load report and its outlier weight.
type PeerLoad struct {
	Addr netip.AddrPort
	// Slots is the number of slots in the peer's membership record.
	Slots int
	// Load is the latest in-band load report; Reported is its time, zero when there is none.
	Load       Load
	ReportedAt time.Time
	// LastUnanswered is the time of the latest request to the peer that no report has followed yet,
	// including failed requests; zero when there is none.
	LastUnanswered time.Time
	// Weight is the weight of the peer's upstream in percent; 0 excludes it.
	Weight int
	// Draining excludes the peer.
	Draining bool
}

// Choice is the result of ChoosePeer, ChooseLessLoaded and ChooseQueue.
type Choice struct {
	// Index is the index of the peer in the list; -1 when no peer was chosen.
	Index  int
	Reason string
}

// Reasons for choices.
const (
	ReasonNoPeers    = "no peers"
	ReasonPeersBusy  = "sampled peers are busy"
	ReasonLesserLoad = "lesser load of two"
	ReasonLocal      = "local upstream is not more loaded"
)

// ChoosePeer samples two random peers and returns the less loaded one of those that are expected to
// have a free slot for class c. The weight of a report decreases with its age; a report older
// than ReportTTL is replaced by the assumption of half load, so that a peer without a report is tried
// again. random returns a number from 0 to n-1.
func ChoosePeer(peers []PeerLoad, c Class, now time.Time, random func(n int) int) Choice {
	usable := usablePeers(peers)
	if len(usable) == 0 {
		return Choice{Index: -1, Reason: ReasonNoPeers}
	}
	first, second := sampleTwo(usable, random)
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

// ChooseLessLoaded samples two random peers and returns the less loaded one if its load is also less
// than the local load, even though the local upstream has a free slot. A peer without a fresh report
// counts as idle, so that it is chosen and reports its load with its answer. Until then it is chosen at most
// once per ReportTTL, since it may be unresponsive. The peer refuses the request when it is not less loaded.
func ChooseLessLoaded(local Load, peers []PeerLoad, c Class, now time.Time, random func(n int) int) Choice {
	if local.InUse() == 0 || !local.HasRoom(c) {
		return Choice{Index: -1, Reason: ReasonLocal}
	}
	usable := usablePeers(peers)
	if len(usable) == 0 {
		return Choice{Index: -1, Reason: ReasonNoPeers}
	}
	first, second := sampleTwo(usable, random)
	best, least := -1, local.loadPerSlot(float64(local.InUse()))
	for _, i := range []int{first, second} {
		if perSlot := peers[i].loadPerSlotWithOneMore(now); perSlot <= least {
			best, least = i, perSlot
		}
	}
	if best < 0 {
		return Choice{Index: -1, Reason: ReasonLocal}
	}
	return Choice{Index: best, Reason: ReasonLesserLoad}
}

// ChooseQueue samples two random peers and returns the less loaded one, whether or not it is
// expected to have a free slot.
func ChooseQueue(peers []PeerLoad, now time.Time, random func(n int) int) Choice {
	usable := slices.DeleteFunc(usablePeers(peers), func(i int) bool {
		// An agent that accepts no work reports 0 slots.
		return peers[i].fresh(now) && peers[i].Load.Slots == 0
	})
	if len(usable) == 0 {
		return Choice{Index: -1, Reason: ReasonNoPeers}
	}
	first, second := sampleTwo(usable, random)
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

// LessLoadedProbes returns how many peers are offered a request of class c, one after another, to
// find a less loaded one. Each probe costs a hop of about 1 ms, which is negligible for long work only.
func LessLoadedProbes(c Class) int {
	if c == Long {
		return 4
	}
	return 1
}

// recentFactor is the weight of the recent mean of slots in use relative to the slots in use now.
// With the slots in use alone, the imbalance of the swing simulation (swing_test.go) at half load was 1.15
// to 1.29: long runs are few, so random differences between agents persist. Each of the factors 4, 8, 16 and
// 32 reduced the imbalance further; only with 32 did all of 40 seeds with skewed arrivals stay below 1.1.
const recentFactor = 32

// recent returns Recent in slots.
func (l Load) recent() float64 { return float64(l.Recent) / 1000 }

// loadPerSlot returns inUse and the recent mean, weighted by recentFactor, per slot.
func (l Load) loadPerSlot(inUse float64) float64 {
	return (inUse + recentFactor*l.recent()) / float64(max(l.Slots, 1))
}

// lessLoadedThan reports whether the load per slot of l after one more request is at most that of other now.
func (l Load) lessLoadedThan(other Load) bool {
	return l.loadPerSlot(float64(l.InUse()+1)) <= other.loadPerSlot(float64(other.InUse()))
}

// loadPerSlotWithOneMore returns the peer's load per slot after one more request, or infinity when the
// peer must not be probed. As the report ages, the recent mean replaces the reported slots in use.
func (p PeerLoad) loadPerSlotWithOneMore(now time.Time) float64 {
	switch {
	case !p.fresh(now) && !p.LastUnanswered.IsZero() && now.Sub(p.LastUnanswered) < ReportTTL:
		return math.Inf(1)
	case !p.fresh(now):
		return 0
	case p.Load.Slots == 0:
		return math.Inf(1)
	}
	age := float64(now.Sub(p.ReportedAt)) / float64(ReportTTL)
	inUse := float64(p.Load.InUse())*(1-age) + p.Load.recent()*age
	return p.Load.loadPerSlot(inUse + 1)
}

// sampleTwo returns two random candidates, which are different if there is more than one.
func sampleTwo(candidates []int, random func(n int) int) (first, second int) {
	i := random(len(candidates))
	if len(candidates) == 1 {
		return candidates[i], candidates[i]
	}
	j := random(len(candidates) - 1)
	if j >= i {
		j++
	}
	return candidates[i], candidates[j]
}

// fresh reports whether the load report is younger than ReportTTL.
func (p PeerLoad) fresh(now time.Time) bool {
	return !p.ReportedAt.IsZero() && now.Sub(p.ReportedAt) < ReportTTL
}

// hasRoom reports whether the peer is expected to have a free slot, which is assumed without a fresh report.
func (p PeerLoad) hasRoom(c Class, now time.Time) bool {
	return !p.fresh(now) || p.Load.HasRoom(c)
}

// score returns the running and queued requests per slot, which move towards one half as the report
// ages, plus one more request, divided by the weight. A lower score is better.
func (p PeerLoad) score(now time.Time) float64 {
	const unknown = 0.5
	score := unknown
	if p.fresh(now) && p.Load.Slots > 0 {
		age := float64(now.Sub(p.ReportedAt)) / float64(ReportTTL)
		known := float64(p.Load.InUse()+p.Load.Queued()) / float64(p.Load.Slots)
		score = known*(1-age) + unknown*age
	}
	return (score + 1/float64(p.Slots)) * 100 / float64(p.Weight)
}
