package host

import (
	"fmt"
	"time"

	"endiveflow.example/endiveflow/flow"
)

// State is what a host says that it is doing.
type State uint8

// States of a host.
const (
	// Unknown is the state before the first report.
	Unknown State = iota
	Ready
	Draining
	// Gone is the state of a host that said goodbye or was found dead.
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

// Report is what a host says of itself at one time.
type Report struct {
	ID string
	// Born is the start of the incarnation in Unix milliseconds; 0 when the host didn't say.
	Born int64
	// Sequence grows with each report of an incarnation.
	Sequence uint64
	Service  string
	// Address receives the host's packets.
	Address flow.Endpoint
	Zone    string
	// Software is the version of the host's software.
	Software string
	// Slots is the number of requests that the host runs at a time, 1 or more.
	Slots int
	State State
	// Warmup is how much longer the host is slow after its start.
	Warmup time.Duration
}

// SameIncarnation says whether two reports come from one run of a host.
func (r Report) SameIncarnation(other Report) bool { return r.ID == other.ID && r.Born == other.Born }

// String names the incarnation in logs.
func (r Report) String() string { return fmt.Sprintf("%s/%d#%d", r.ID, r.Born, r.Sequence) }
