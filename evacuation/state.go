package evacuation

import (
	"cmp"
	"slices"
	"sync/atomic"
)

// State is the set of evacuated zones as of a revision of the store. Its zero value is the state before anything was
// read. It is immutable: Zones must not be modified.
type State struct {
	// Era and Revision are those of the store in which the state was read. They order states: Era first, as revisions are
	// given out again after a restore.
	Era      uint64 `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// Zones are the evacuated zones, sorted and without duplicates.
	Zones []string `cbor:"3,keyasint,omitempty"`
	// Restored are the zones among Zones for which no object was seen in Era: they were evacuated before the store was
	// restored from an older copy, which may lack their objects.
	Restored []string `cbor:"4,keyasint,omitempty"`
}

// Includes reports whether a zone is evacuated.
func (s State) Includes(zone string) bool {
	_, found := slices.BinarySearch(s.Zones, zone)
	return found
}

// IsKnown reports whether the store has been read by any process.
func (s State) IsKnown() bool { return s.Revision > 0 }

// compare orders states by the time at which they were read.
func (s State) compare(other State) int {
	return cmp.Or(cmp.Compare(s.Era, other.Era), cmp.Compare(s.Revision, other.Revision))
}

// WithListed returns the state after a current list of the store's objects, which are those of zones. A zone that the
// list lacks was withdrawn, unless its object may be missing because the store was restored since it was seen.
func (s State) WithListed(era, revision uint64, zones []string) State {
	next := State{Era: era, Revision: revision, Zones: slices.Clone(zones)}
	if era == s.Era {
		next.Restored = without(s.Restored, zones)
	} else if s.IsKnown() {
		next.Restored = without(s.Zones, zones)
	}
	next.Zones = sorted(append(next.Zones, next.Restored...))
	return next
}

// WithChanges returns the state after changes up to a revision of the same era: objects that were written for some
// zones, and deleted for others.
func (s State) WithChanges(revision uint64, written, deleted []string) State {
	return State{
		Era: s.Era, Revision: max(s.Revision, revision),
		Zones: sorted(append(without(s.Zones, deleted), written...)), Restored: without(without(s.Restored, deleted), written),
	}
}

// without returns the zones that others doesn't contain.
func without(zones, others []string) []string {
	return slices.DeleteFunc(slices.Clone(zones), func(zone string) bool { return slices.Contains(others, zone) })
}

func sorted(zones []string) []string {
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Holder holds the newest known state. It is safe for concurrent use; its zero value holds the zero State.
type Holder struct {
	// current is never replaced by an older state.
	current atomic.Pointer[State]
}

// Current returns the newest known state.
func (h *Holder) Current() State {
	if s := h.current.Load(); s != nil {
		return *s
	}
	return State{}
}

// Merge makes a state the current one if it is newer. It reports whether the set of zones changed.
func (h *Holder) Merge(s State) (changed bool) {
	for {
		current := h.current.Load()
		before := State{}
		if current != nil {
			before = *current
		}
		if s.compare(before) <= 0 {
			return false
		}
		if h.current.CompareAndSwap(current, &s) {
			return !slices.Equal(before.Zones, s.Zones)
		}
	}
}
