package admit

import (
	"net/netip"
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
)

// ChoosePeer picks two random peers and returns the one with the lesser load that is expected to
// have a free slot for a class. A report counts less the older it is, and one older
// than ReportExpires counts as half load, so that a peer without a report is tried again.
// random returns a number from 0 to n-1.
func ChoosePeer(peers []PeerLoad, c Class, now time.Time, random func(n int) int) Choice {
	usable := make([]int, 0, len(peers))
	for i, p := range peers {
		if !p.Draining && p.Slots > 0 && p.Weight > 0 {
			usable = append(usable, i)
		}
	}
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
