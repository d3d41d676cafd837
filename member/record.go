package member

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"endiveflow.example/endiveflow/config"
)

// ID identifies a member for as long as its VM keeps its addresses. It is a hash of the role and the
// control address.
type ID uint64

// IDOf returns the ID of a member.
func IDOf(role Role, control netip.AddrPort) ID {
	return ID(xxhash.Sum64String(role.String() + " " + control.String()))
}

// Hash distributes IDs over the shards of a board section.
func (id ID) Hash() uint64 { return uint64(id) }

// Role is the role of a member.
type Role uint8

// Roles of members.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case RoleEntry:
		return "entry"
	case RoleAgent:
		return "agent"
	}
	return "unknown"
}

// State is the lifecycle state of a member. Within one incarnation and version the higher state wins.
type State uint8

// States of members. All but StateDead are set by the member itself.
const (
	StateStarting State = iota + 1
	StateReady
	StateDraining
	StateLeft
	// StateDead is set by observers; a live member refutes it with a higher version.
	StateDead
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateStarting:
		return "starting"
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateLeft:
		return "left"
	case StateDead:
		return "dead"
	}
	return "unknown"
}

// Incarnation identifies one run of a process. Its upper 44 bits are the start time in milliseconds, its
// lower 20 bits are random.
type Incarnation uint64

// Tag returns the 16-bit tag of an incarnation that packets carry.
func (i Incarnation) Tag() uint16 { return uint16(uint64(i) ^ uint64(i)>>16 ^ uint64(i)>>32) }

// FullWeight is the weight of a member whose slow start is complete.
const FullWeight uint8 = 100

// Record is the immutable description of a member at one version.
type Record struct {
	// ID is IDOf(Role, Control).
	ID   ID
	Role Role
	// Zone is the availability zone from the member's settings.
	Zone string
	// Service is the service of an agent; 0 for entries.
	Service config.ServiceTag
	// Tunnel receives encapsulated packets, Control receives control messages, Peer serves HTTP/3 between
	// processes. All are IPv4 addresses.
	Tunnel, Control, Peer netip.AddrPort
	Incarnation           Incarnation
	// Version increases with each change that the member makes within an incarnation.
	Version uint32
	State   State
	// Slots is the number of requests that the agent's upstream runs concurrently.
	Slots uint16
	// Weight is the relative share of new flows in percent, 0 to FullWeight.
	Weight uint8
	// ConfigDigest identifies the configuration that the member has applied.
	ConfigDigest uint64
}

// WithState returns the next version of the record with another state.
func (r Record) WithState(s State) Record {
	r.State = s
	r.Version++
	return r
}

// WithWeight returns the next version of the record with another weight.
func (r Record) WithWeight(w uint8) Record {
	r.Weight = w
	r.Version++
	return r
}

// WithSlots returns the next version of the record with another number of slots.
func (r Record) WithSlots(n uint16) Record {
	r.Slots = n
	r.Version++
	return r
}

// Newer reports whether r replaces old: the higher incarnation wins, then the higher version, then the
// higher state.
func (r Record) Newer(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Version != old.Version {
		return r.Version > old.Version
	}
	return r.State > old.State
}

// Alive reports whether the member may still receive packets.
func (r Record) Alive() bool { return r.State < StateLeft }

// AcceptsFlows reports whether new flows may be sent to the member.
func (r Record) AcceptsFlows() bool { return r.State == StateReady && r.Weight > 0 }
