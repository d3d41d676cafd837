package packetentry

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
func (r *record) handleTaken(agent, service uint32) {
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
