package packetagent

import (
	"time"

	"endiveflow.example/endiveflow/cost"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

// phase is the state of a flow at its host.
type phase uint8

const (
	// held: the opening packet is queued until the host has room.
	held phase = iota
	// opening: the opening packet was sent to the host, which has not answered.
	opening
	// awaitingRequest: the host answered, and the caller has not sent a request.
	awaitingRequest
	// running: a request is in the host.
	running
	// idle: no request is in the host, and none is expected.
	idle
	// ended: both ends closed the flow, or one reset it.
	ended
)

// requestPending reports whether the flow's first request is pending.
func (p phase) requestPending() bool { return p == opening || p == awaitingRequest }

// record is the agent's record of one flow.
type record struct {
	phase phase
	// route is the flow's service endpoint.
	route flow.Endpoint
	// requests is the number of requests of the flow; a flow that was learned from its host counts as having had several.
	// answered reports whether the host answered any.
	requests int
	answered bool
	// countedOpen reports whether the load counts the flow as open.
	countedOpen bool
	// request is set while the phase is running.
	request *placement.Request
	// opened is when the opening packet was sent to the host.
	opened time.Duration
	// openedUnixMilli is opened in Unix milliseconds, to compare with the start time of a host.
	openedUnixMilli int64
	// phaseStarted is when the phase began, lastPacket when the last packet arrived.
	phaseStarted, lastPacket time.Duration
	// directories are the directory agents, to which the flow's location is announced; directoriesNotified is
	// when it was last announced.
	directories         [mesh.DirectoryCount]uint32
	directoriesNotified time.Duration
	// directoriesAsked is when an entry was last asked for the current directory agents.
	directoriesAsked time.Duration
	// hostSeq is the newest sequence number sent by the host; it is valid if hostSeqKnown is set.
	hostSeq      uint32
	hostSeqKnown bool
	// confirmed reports whether the caller acknowledged a sequence number of the host, which shows that the flow
	// is open at this host.
	confirmed bool
	// callerAck is the caller's last acknowledgement number, callerNext the sequence number after its newest
	// data.
	callerAck, callerNext uint32
	callerNextKnown       bool
	// callerClosed and hostClosed report which ends have closed the flow.
	callerClosed, hostClosed bool
	// copyGivenUp reports whether the agent gave the flow up, because the caller opened it at another host.
	copyGivenUp bool
	// offer is the offer to pass on if the host doesn't accept the flow; nil unless the phase is held or
	// opening.
	offer *pendingOffer
}

// pendingOffer is an offer that was taken or held and that the host has not accepted.
type pendingOffer struct {
	message mesh.Message
	packet  []byte
}

// setPhase changes the phase and updates the load accordingly. It must not be called for a flow that the load
// counts as held.
func (r *record) setPhase(p phase, now time.Duration, load *placement.Host) {
	if r.phase == p {
		return
	}
	switch {
	case p == running:
		r.request = load.ClassRequestArrived(cost.Class{Route: r.route, Later: r.requests > 0}, now, r.phase.requestPending(), now-r.opened)
		r.requests++
	case r.phase == running && p == idle:
		load.RequestAnswered(r.request, now)
	case r.phase == running:
		load.RequestEnded(r.request, now)
	case r.phase.requestPending() && !p.requestPending():
		load.RequestEnded(nil, now)
	}
	if p != running {
		r.request = nil
	}
	r.phase, r.phaseStarted = p, now
	if p != opening {
		r.offer = nil
	}
	r.countOpen(now, load)
}

// countOpen updates whether the load counts the flow as open: from its first request on until an end closes it.
func (r *record) countOpen(now time.Duration, load *placement.Host) {
	open := r.requests > 0 && r.phase != ended && !r.callerClosed && !r.hostClosed
	switch {
	case open == r.countedOpen:
		return
	case open:
		load.FlowOpened(r.route, now)
	default:
		load.FlowClosed(r.route, r.requests == 1 && r.answered && r.callerClosed, now)
	}
	r.countedOpen = open
}

// abandonRequest ends a running request whose caller has left.
func (r *record) abandonRequest(now time.Duration, load *placement.Host) {
	load.RequestAbandoned(r.request, now)
	r.phase, r.phaseStarted, r.request = idle, now, nil
}

// failRequest ends a running request whose flow the host reset.
func (r *record) failRequest(now time.Duration, load *placement.Host) {
	load.RequestFailed(r.request, now)
	r.phase, r.phaseStarted, r.request = idle, now, nil
	failedRequests.Inc()
}

// matches reports whether a packet of the caller belongs to the flow as this host opened it. Another host may
// have answered a copy of the opening packet; then the caller acknowledges that host's sequence numbers. The
// first packet that opens the flow here acknowledges exactly the initial number of this host: sequence numbers of two
// hosts may be close to each other.
func (r *record) matches(s flow.Segment) bool {
	switch {
	case !s.IsACK:
		return true
	case !r.hostSeqKnown:
		return false
	case !r.confirmed:
		return s.Ack == r.hostSeq || s.Ack == r.hostSeq+1
	}
	return flow.WithinWindow(r.hostSeq, s.Ack)
}

// updateFromCaller updates the record for a packet that is sent to the host.
func (r *record) updateFromCaller(s flow.Segment, now time.Duration, load *placement.Host) {
	r.lastPacket = now
	if s.IsACK {
		r.callerAck = s.Ack
		r.confirmed = r.confirmed || r.hostSeqKnown
	}
	r.callerClosed = r.callerClosed || s.IsFIN
	defer r.countOpen(now, load)
	newData := r.hasNewData(s)
	switch {
	case r.phase == ended:
	case s.IsRST:
		if r.phase == running {
			r.abandonRequest(now, load)
		}
		r.setPhase(ended, now, load)
	case s.IsFIN && r.phase == running:
		// The caller gave up; the host drops the request and need not answer.
		r.abandonRequest(now, load)
	case newData && r.phase != running:
		r.setPhase(running, now, load)
	case r.callerClosed && r.hostClosed:
		r.setPhase(ended, now, load)
	}
}

// hasNewData reports whether a packet carries data that no previous packet did. Retransmitted data is not
// another request.
func (r *record) hasNewData(s flow.Segment) bool {
	if s.DataBytes == 0 || r.callerNextKnown && r.callerNext-s.Seq-1 < flow.Window {
		return false
	}
	r.callerNext, r.callerNextKnown = s.Seq+uint32(s.DataBytes), true
	return true
}

// updateFromHost updates the record for a packet sent by the host.
func (r *record) updateFromHost(s flow.Segment, now time.Duration, load *placement.Host) {
	r.lastPacket = now
	if !r.hostSeqKnown || s.Seq-r.hostSeq < flow.Window {
		r.hostSeq, r.hostSeqKnown = s.Seq, true
	}
	r.hostClosed = r.hostClosed || s.IsFIN
	r.answered = r.answered || s.DataBytes > 0
	defer r.countOpen(now, load)
	switch {
	case r.phase == ended:
	case s.IsRST:
		if r.phase == running && !r.hostClosed {
			r.failRequest(now, load)
		}
		r.setPhase(ended, now, load)
	case s.IsSYN && r.phase == opening:
		r.setPhase(awaitingRequest, now, load)
	case s.DataBytes > 0 && r.phase != idle:
		r.setPhase(idle, now, load)
	case r.callerClosed && r.hostClosed:
		r.setPhase(ended, now, load)
	}
}
