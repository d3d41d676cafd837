package entry

import (
	"cmp"
	"slices"
	"time"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
)

// GoneReason is why an entry treats an incarnation of an agent as gone.
type GoneReason string

// Reasons to treat an incarnation as gone.
const (
	// GoneLeft means that the agent announced it itself in its final message.
	GoneLeft GoneReason = "left"
	// GoneReplaced means that a newer incarnation runs at the agent's address.
	GoneReplaced GoneReason = "replaced"
	// GoneDead means that two observers agreed that the agent is dead, and resetAfter has passed since
	// then.
	GoneDead GoneReason = "dead"
)

// Observation is the last record that an entry has seen of one incarnation of an agent.
type Observation struct {
	Record member.Record
	// Since is when the entry first saw the incarnation in the state of Record.
	Since time.Time
	// Replaced reports that a newer incarnation, of any service, was seen at the same tunnel address.
	Replaced bool
}

func (o Observation) place() flowid.Place {
	return flowid.Place{
		Agent:       o.Record.Tunnel,
		Service:     o.Record.Service,
		Incarnation: o.Record.Incarnation.Tag(),
	}
}

// GonePlaces returns the places of one service whose flows are answered with stateless resets. Replaced
// incarnations are always included, because the newer incarnation proves that they are gone. The others are
// limited to ResetShare of the service's agents, rounded down, so that a wrong membership view cannot end
// most flows of a service. Agents that left come first, then dead ones, longest dead first.
func GonePlaces(service []Observation, policy config.Policy, now time.Time) map[flowid.Place]GoneReason {
	gone := make(map[flowid.Place]GoneReason)
	var left, dead []Observation
	agents := 0
	for _, o := range service {
		switch {
		case o.Replaced:
			gone[o.place()] = GoneReplaced
			continue
		case o.Record.State == member.StateLeft:
			left = append(left, o)
		case o.Record.State == member.StateDead && now.Sub(o.Since) >= policy.ResetAfter:
			dead = append(dead, o)
		}
		agents++
	}
	slices.SortFunc(left, bySince)
	slices.SortFunc(dead, bySince)
	room := int(policy.ResetShare * float64(agents))
	for _, o := range left[:min(room, len(left))] {
		gone[o.place()] = GoneLeft
	}
	room = max(0, room-len(left))
	for _, o := range dead[:min(room, len(dead))] {
		gone[o.place()] = GoneDead
	}
	return gone
}

func bySince(a, b Observation) int {
	if c := a.Since.Compare(b.Since); c != 0 {
		return c
	}
	return cmp.Compare(a.Record.ID, b.Record.ID)
}
