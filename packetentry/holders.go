package packetentry

import (
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

// Two agents may have taken a flow: the first one answered its offer late, and the flow was offered to another one.
// Which of them has it is decided by the caller, which opens the flow at the host whose answer comes first. Packets go to
// one of the two, and if it returns them, to the other one.

// holders are agents that may have a flow as well, the likeliest first; 0 for none.
type holders [maxOffers]uint32

// add adds an agent as the least likely one. If there is no room, it isn't added.
func (h *holders) add(ip uint32) {
	for i := range h {
		if h[i] == ip {
			return
		}
		if h[i] == 0 {
			h[i] = ip
			return
		}
	}
}

// remove removes an agent.
func (h *holders) remove(ip uint32) {
	kept := 0
	for _, other := range h {
		if other != ip {
			h[kept] = other
			kept++
		}
	}
	clear(h[kept:])
}

// takeFirst removes and returns the likeliest agent, 0 if there is none.
func (h *holders) takeFirst() uint32 {
	first := h[0]
	if first != 0 {
		h.remove(first)
	}
	return first
}

// handleTaken records that an agent of a service has taken the flow. An agent that took it before is believed, unless it passed the
// flow on since.
func (r *record) handleTaken(agent uint32, service mesh.ServiceID) {
	if r.isReported {
		// What the agent says itself counts more than what another entry knows.
		r.taken, r.isReported = false, false
		r.others.add(r.agent)
	}
	if r.taken && !r.passedOn {
		if agent != r.agent {
			r.others.add(agent)
		}
		return
	}
	if !r.taken && r.offerCount > 1 && r.agent != agent {
		// An earlier offer was answered late. The agent that the last one was sent to may take the flow as well.
		r.others.add(r.agent)
	}
	for _, silent := range r.unresponsiveAgents {
		if silent != 0 {
			r.others.add(silent)
		}
	}
	r.others.remove(agent)
	r.agent, r.service, r.taken, r.passedOn, r.parked, r.openingPacket = agent, service, true, false, false, nil
}

// handlePassedOn records that an agent that took the flow has passed it on to another one.
func (r *record) handlePassedOn(agent uint32) {
	if !r.taken || r.agent != agent {
		return
	}
	r.passedOn = true
	if next := r.others.takeFirst(); next != 0 {
		r.agent, r.passedOn = next, false
	}
}

// handleMissing records that an agent doesn't have the flow, and reports whether another one may have it.
func (r *record) handleMissing(agent uint32) bool {
	r.others.remove(agent)
	if r.agent != agent {
		return true
	}
	next := r.others.takeFirst()
	if next == 0 {
		return false
	}
	r.agent = next
	return true
}

// isLostWithout records that an agent doesn't have the flow, and reports whether it was the last one that may have it, so that the
// record is of no use. r may be nil.
func (r *record) isLostWithout(agent uint32) bool {
	return r != nil && r.taken && !r.handleMissing(agent) && !r.denyHolder(agent)
}

// holder returns the agent that has taken the flow, 0 if none has. r may be nil.
func (r *record) holder() uint32 {
	if r == nil || !r.taken {
		return 0
	}
	return r.agent
}

// logHolders logs if an agent's message shows that two agents have taken a flow, or turns the entry from one agent to
// another. before and after are the agents that had the flow before and after the message.
func (e *Entry) logHolders(m *mesh.Message, before, after uint32) {
	second := m.Kind == mesh.KindTaken && m.Origin != after
	if before == 0 || before == after && !second || !e.cfg.Log.AllowRare() {
		return
	}
	if second {
		e.cfg.Log.Info("flow taken by a second agent", "flow", m.Flow.String(), "agent", flow.IPText(m.Origin), "kept", flow.IPText(after))
		return
	}
	e.cfg.Log.Info("packets of the flow go to another agent", "flow", m.Flow.String(), "why", m.Kind.String(),
		"before", flow.IPText(before), "agent", flow.IPText(after))
}
