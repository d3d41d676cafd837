package packetagent

import (
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

// phase is where a flow stands at its host.
type phase uint8

const (
	// held: the opening packet waits for room in the host.
	held phase = iota
	// opening: the opening packet was given to the host, which has not answered.
	opening
	// awaited: the host answered, and a request is expected.
	awaited
	// running: a request is in the host.
	running
	// idle: no request is in the host.
	idle
	// ended: both ends closed the flow, or one reset it.
	ended
)

// expected says whether the flow's request is expected.
func (p phase) expected() bool { return p == opening || p == awaited }

// record is what the agent knows of one flow.
type record struct {
	phase phase
	// request is set while running.
	request *placement.Request
	// opened is when the opening packet was given to the host.
	opened time.Duration
	// openedAt is opened in Unix milliseconds, to compare with the start of a host.
	openedAt int64
	// since is when the phase began, touched when the last packet passed.
	since, touched time.Duration
	// homes were told at told where the flow is.
	homes [mesh.HomeCount]uint32
	told  time.Duration
	// hostSeq is the newest sequence number of the host; hasSeq says whether it is known.
	hostSeq uint32
	hasSeq  bool
	// confirmed says that the caller acknowledged the host's numbers: the flow is open here.
	confirmed bool
	// callerAck is the caller's last acknowledgement number, callerNext the number after its newest data.
	callerAck, callerNext uint32
	hasCallerNext         bool
	// callerEnded and hostEnded say which ends have closed.
	callerEnded, hostEnded bool
	// offer is what has to go on if the host doesn't take the flow; nil unless held or opening.
	offer *heldOffer
}

// heldOffer is an offer that its host may still decline.
type heldOffer struct {
	message mesh.Message
	packet  []byte
}

// moveTo changes the phase and keeps the load in step. A flow that the load
// counts as held must not be moved.
func (r *record) moveTo(p phase, now time.Duration, load *placement.Host) {
	if r.phase == p {
		return
	}
	switch {
	case p == running:
		r.request = load.RequestArrived(now, r.phase.expected(), now-r.opened)
	case r.phase == running && p == idle:
		load.RequestAnswered(r.request, now)
	case r.phase == running:
		load.RequestEnded(r.request, now)
	case r.phase.expected() && !p.expected():
		load.RequestEnded(nil, now)
	}
	if p != running {
		r.request = nil
	}
	r.phase, r.since = p, now
	if p != opening {
		r.offer = nil
	}
}

// abandon ends a running request whose caller has left.
func (r *record) abandon(now time.Duration, load *placement.Host) {
	load.RequestAbandoned(r.request, now)
	r.phase, r.since, r.request = idle, now, nil
}

// fail ends a running request that the host reset.
func (r *record) fail(now time.Duration, load *placement.Host) {
	load.RequestFailed(r.request, now)
	r.phase, r.since, r.request = idle, now, nil
	failedRequests.Inc()
}

// holds says whether a packet of the caller belongs to the flow as this host
// opened it. Another host may have answered a copy of the opening packet, and then
// the caller acknowledges that host's numbers.
func (r *record) holds(s flow.Segment) bool {
	if !s.Acking {
		return true
	}
	return r.hasSeq && flow.Near(r.hostSeq, s.Ack)
}

// fromCaller notes a packet that is given to the host.
func (r *record) fromCaller(s flow.Segment, now time.Duration, load *placement.Host) {
	r.touched = now
	if s.Acking {
		r.callerAck = s.Ack
		r.confirmed = r.confirmed || r.hasSeq
	}
	r.callerEnded = r.callerEnded || s.Ending
	fresh := r.freshData(s)
	switch {
	case r.phase == ended:
	case s.Resetting:
		if r.phase == running {
			r.abandon(now, load)
		}
		r.moveTo(ended, now, load)
	case s.Ending && r.phase == running:
		// The caller gave up; the host drops the request and need not answer.
		r.abandon(now, load)
	case fresh && r.phase != running:
		r.moveTo(running, now, load)
	case r.callerEnded && r.hostEnded:
		r.moveTo(ended, now, load)
	}
}

// freshData says whether a packet carries data that no packet before it did.
// Data that is sent again is no further request.
func (r *record) freshData(s flow.Segment) bool {
	if s.Data == 0 || r.hasCallerNext && r.callerNext-s.Seq-1 < flow.Window {
		return false
	}
	r.callerNext, r.hasCallerNext = s.Seq+uint32(s.Data), true
	return true
}

// fromHost notes a packet of the host.
func (r *record) fromHost(s flow.Segment, now time.Duration, load *placement.Host) {
	r.touched = now
	if !r.hasSeq || s.Seq-r.hostSeq < flow.Window {
		r.hostSeq, r.hasSeq = s.Seq, true
	}
	r.hostEnded = r.hostEnded || s.Ending
	switch {
	case r.phase == ended:
	case s.Resetting:
		if r.phase == running && !r.hostEnded {
			r.fail(now, load)
		}
		r.moveTo(ended, now, load)
	case s.Opening && r.phase == opening:
		r.moveTo(awaited, now, load)
	case s.Data > 0 && r.phase != idle:
		r.moveTo(idle, now, load)
	case r.callerEnded && r.hostEnded:
		r.moveTo(ended, now, load)
	}
}
