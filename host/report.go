package host

import (
	"fmt"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/incarnation"
)

// State is the state that a host reports.
type State uint8

// States of a host.
const (
	// Unknown is the state before the first report.
	Unknown State = iota
	Ready
	Draining
	// Gone is the state of a host that announced its shutdown.
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	case Unknown:
	}
	return "unknown"
}

// Report is a report of a host on its state.
type Report struct {
	ID string
	// StartedAt is the start time of the incarnation in Unix milliseconds by the clock of its VM, which may have been set since;
	// 0 if the host didn't report it.
	StartedAt int64
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	Service  string
	// Address is the address at which the host receives packets.
	Address flow.Endpoint
	Zone    string
	// SoftwareVersion is the version of the host's software.
	SoftwareVersion string
	// Slots is the number of requests that the host runs at a time; at least 1.
	Slots int
	State State
	// Warmup is the remaining duration of the warm-up after the host's start, in which the host is slow.
	Warmup time.Duration
}

// SameIncarnation reports whether two reports come from the same incarnation of a host.
func (r Report) SameIncarnation(other Report) bool {
	return r.identity() == other.identity()
}

func (r Report) identity() incarnation.Identity {
	return incarnation.Identity{ID: r.ID, StartedAt: r.StartedAt}
}

// String returns the identity of the report for logs: the host's ID, its start time and the sequence number.
func (r Report) String() string { return fmt.Sprintf("%s/%d#%d", r.ID, r.StartedAt, r.Sequence) }
