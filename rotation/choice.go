package rotation

import (
	"cmp"
	"slices"
)

// CoreBytesPerSecond is what an entry on a whole core can carry, in bytes of callers' packets per second, with half of the core
// left for opening packets, searches, reports and garbage collection. It assumes packets of 1,200 bytes.
const CoreBytesPerSecond = 90e6

// Capacity returns what an entry can carry in bytes per second, which is the smaller of what its link and its share of a
// core can carry. linkBytesPerSecond is the capacity of one direction of the link, cpuMilli the share in thousandths of a
// core. The result is 0 for an unknown capacity, if either is 0.
func Capacity(linkBytesPerSecond uint64, cpuMilli uint32) float64 {
	return min(float64(linkBytesPerSecond), CoreBytesPerSecond*float64(cpuMilli)/1000)
}

// State is whether an entry takes the flows of callers.
type State uint8

// States of entries. The values are part of the wire format.
const (
	// Active entries are in rotation. Processes that don't report a state count as active.
	Active State = iota
	// Spare entries could take flows, but have left rotation in favor of entries of higher capacity.
	Spare
	// Unavailable entries are stopping, not ready or silent.
	Unavailable
)

// Member is an entry of the zone.
type Member struct {
	// IP is the address of the entry. It orders entries of equal capacity.
	IP uint32
	// Capacity and Load are what the entry can carry and carries, in bytes per second; a Capacity of 0 is unknown.
	Capacity, Load float64
	State          State
}

// choice is the set of entries that should be in rotation.
type choice struct {
	// chosen are the entries of highest capacity in order, empty if all entries should be in rotation.
	chosen []Member
	// sustained is what the chosen entries sustain in bytes per second, sustainedAfterLoss what they sustain with one of
	// them lost, and sustainedByAll what all available entries sustain; 0 if all entries should be in rotation.
	sustained, sustainedAfterLoss, sustainedByAll float64
}

// minChosen is the smallest number of entries that may be chosen: a single one sustains nothing after its loss.
const minChosen = 2

// choose returns the entries of a zone that should be in rotation. The result doesn't depend on the order of the members.
//
// At least half of the zone's entries are chosen, those that are unavailable included in the count: below half in rotation,
// the routers use all of them. An entry of unknown capacity keeps all entries in rotation, as in a zone in which some
// processes run a version that doesn't report capacities.
func choose(zone []Member) choice {
	available := make([]Member, 0, len(zone))
	for _, m := range zone {
		if m.State == Unavailable {
			continue
		}
		if m.Capacity <= 0 {
			return choice{}
		}
		available = append(available, m)
	}
	slices.SortFunc(available, func(a, b Member) int { return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.IP, b.IP)) })
	best, sustained := 0, 0.0
	for k := max((len(zone)+1)/2, minChosen); k <= len(available); k++ {
		if s := float64(k) * available[k-1].Capacity; s >= sustained {
			best, sustained = k, s
		}
	}
	if best == 0 || best == len(available) {
		return choice{}
	}
	return choice{
		chosen: available[:best], sustained: sustained, sustainedAfterLoss: float64(best-1) * available[best-1].Capacity,
		sustainedByAll: float64(len(available)) * available[len(available)-1].Capacity,
	}
}

// returnLoad is the load of the zone above which all its entries should be in rotation: the chosen ones don't sustain it
// after a loss, and with all of them it is sustained as long as none is lost.
func (c choice) returnLoad() float64 { return max(c.sustainedAfterLoss, c.sustainedByAll) }

// leaveLoad is the largest load at which an entry leaves: the chosen ones sustain it with one of them lost, and it is far enough
// below the load at which entries return.
func (c choice) leaveLoad() float64 { return min(c.sustainedAfterLoss, leaveLoadShare*c.returnLoad()) }

// isEmpty reports whether all entries should be in rotation.
func (c choice) isEmpty() bool { return len(c.chosen) == 0 }

// includes reports whether an entry should be in rotation.
func (c choice) includes(ip uint32) bool {
	return c.isEmpty() || slices.ContainsFunc(c.chosen, func(m Member) bool { return m.IP == ip })
}

// isActive reports whether all chosen entries are in rotation.
func (c choice) isActive() bool {
	return !slices.ContainsFunc(c.chosen, func(m Member) bool { return m.State != Active })
}

// addresses returns the addresses of the chosen entries.
func (c choice) addresses() []uint32 {
	out := make([]uint32, 0, len(c.chosen))
	for _, m := range c.chosen {
		out = append(out, m.IP)
	}
	return out
}
