package packettest

import (
	"fmt"
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/platform"
)

// Host is a fake host.
type Host struct {
	Service string
	// Up is set while the host answers.
	Up bool
	// State is the state in its heartbeats; DrainAckedAt is when a heartbeat with state draining was first
	// acknowledged.
	State        host.State
	DrainAckedAt time.Duration
	// StartedAt identifies the incarnation: its start in milliseconds of simulated time.
	StartedAt int64
	// WorkTime is the processing time of a request. If WorkSpread is set, the time is drawn from an exponential
	// distribution of that mean on top of it.
	WorkTime, WorkSpread time.Duration
	// WorkFactor returns a factor of the processing time of a request on a flow; nil means 1.
	WorkFactor func(flow.Key) float64
	// Worked is the time for which the host has processed requests, summed over its slots.
	Worked time.Duration
	// Slots is the number of requests that the host processes at a time; others wait in the host.
	Slots int
	// ColdTime is how long the host is slow after a loss of power, ColdFactor how much slower.
	ColdTime   time.Duration
	ColdFactor float64
	// Flows maps the host's open flows to the initial sequence numbers that it chose.
	Flows map[flow.Key]uint32
	// Opened counts the flows opened at the host, Misdelivered the packets that reached it of flows that aren't open at it.
	Opened, Misdelivered int
	// WithoutHeartbeats is set while the host sends no heartbeats.
	WithoutHeartbeats bool
	// AnswerDelay is the time after which the host answers an opening packet.
	AnswerDelay time.Duration
	// RequestPackets is the number of packets of each request, which Caller.RequestPackets must agree with; 0 means 1. The host
	// acknowledges every second packet and runs a request once it has all of it.
	RequestPackets int
	// parts holds the packets that arrived of requests that aren't complete, unacknowledged the number of packets of a flow
	// since the last acknowledgement.
	parts          map[requestID]map[uint32]bool
	unacknowledged map[flow.Key]int
	// openings are the times of the opening packets of the last second.
	openings []time.Duration
	sequence uint64
	// coldUntil is when the host ceases to be slow.
	coldUntil time.Duration
	// requests holds the requests of this incarnation that have arrived; true once answered.
	requests map[requestID]bool
	// waiting holds the requests that wait for a slot; busy is the number of slots in use.
	waiting []requestID
	busy    int
}

// requestID identifies a request by its flow and the sequence number of its data.
type requestID struct {
	key flow.Key
	seq uint32
}

// StartHost starts a new incarnation of an agent's host, without flows.
func (f *Fleet) StartHost(a *Agent) {
	a.Host.Up, a.Host.State, a.Host.sequence = true, host.Ready, 0
	a.Host.StartedAt = int64(f.now/time.Millisecond) + 2
	a.Host.Flows, a.Host.requests, a.Host.waiting, a.Host.busy = map[flow.Key]uint32{}, map[requestID]bool{}, nil, 0
	a.Host.parts, a.Host.unacknowledged = map[requestID]map[uint32]bool{}, map[flow.Key]int{}
	f.After(time.Millisecond, func() { f.SendHeartbeat(a) })
}

// SendHeartbeat sends a heartbeat to the agent if both the host and the agent are up.
func (f *Fleet) SendHeartbeat(a *Agent) {
	if !a.Host.Up || !a.Up || a.Host.WithoutHeartbeats {
		return
	}
	a.Host.sequence++
	err := a.Heartbeat(host.Report{
		ID: fmt.Sprintf("h-%d", a.IP), StartedAt: a.Host.StartedAt, Sequence: a.Host.sequence, Service: a.Host.Service,
		Address: flow.Endpoint{IP: a.IP, Port: 8165}, Slots: a.Host.Slots, State: a.Host.State, Warmup: max(a.Host.coldUntil-f.now, 0),
	})
	if err == nil && a.Host.State == host.Draining && a.Host.DrainAckedAt == 0 {
		a.Host.DrainAckedAt = f.now
	}
}

// toHost delivers a packet to an agent's host, which answers like the platform's hosts.
func (f *Fleet) toHost(a *Agent, packet []byte) {
	p := append([]byte(nil), packet...)
	f.After(hostDelay, func() {
		if a.Host.Up {
			f.hostReceive(a, p)
		}
	})
}

func (f *Fleet) hostReceive(a *Agent, packet []byte) {
	s, err := platform.DecodePacket(packet, platform.FromCaller)
	if err != nil {
		f.Violations = append(f.Violations, "a host received an invalid packet")
		return
	}
	h := a.Host
	if !s.Opens() {
		f.checkReached(a, s)
	}
	initialSeq, exists := h.Flows[s.Key]
	switch {
	case s.Opens():
		f.checkWarmup(a)
		if !exists {
			initialSeq = f.Random.Uint32()
			h.Flows[s.Key] = initialSeq
			h.Opened++
			f.checkOpening(a, s.Key)
		}
		f.After(h.AnswerDelay, func() { f.fromHost(a, Accept(s.Key, initialSeq)) })
	case !exists:
		h.Misdelivered++
		f.fromHost(a, Bounce(packet))
	case !flow.WithinWindow(initialSeq, s.Ack):
		h.Misdelivered++
		f.fromHost(a, Packet{Flow: s.Key, FromHost: true, Flags: RST, Seq: s.Ack}.Bytes())
	case s.IsFIN:
		f.fromHost(a, Packet{Flow: s.Key, FromHost: true, Flags: ACK, Seq: s.Ack, Ack: s.Seq + 1}.Bytes())
	case s.DataBytes > 0 && h.RequestPackets > 1:
		f.hostPart(a, s)
	case s.DataBytes > 0:
		f.hostRequest(a, requestID{s.Key, s.Seq})
	}
}

// hostPart handles a packet of a request of several packets.
func (f *Fleet) hostPart(a *Agent, s flow.Segment) {
	h, id := a.Host, requestID{s.Key, s.Seq - (s.Seq-firstRequestSeq)%requestBytes}
	if h.parts[id] == nil {
		h.parts[id] = map[uint32]bool{}
	}
	h.unacknowledged[s.Key]++
	if isCopy := h.parts[id][s.Seq]; isCopy || h.unacknowledged[s.Key] >= 2 {
		h.unacknowledged[s.Key] = 0
		f.fromHost(a, Packet{Flow: s.Key, FromHost: true, Flags: ACK, Seq: s.Ack, Ack: s.Seq + uint32(s.DataBytes)}.Bytes())
	}
	h.parts[id][s.Seq] = true
	if len(h.parts[id]) == h.RequestPackets {
		f.hostRequest(a, id)
	}
}

// hostRequest handles a request that arrives at a host, or a copy of it.
func (f *Fleet) hostRequest(a *Agent, id requestID) {
	h := a.Host
	answered, exists := h.requests[id]
	switch {
	case answered:
		f.answer(a, id)
	case exists:
	case h.busy < h.Slots:
		h.requests[id] = false
		f.work(a, id)
	default:
		h.requests[id] = false
		h.waiting = append(h.waiting, id)
	}
}

// work processes a request and then the next one that waits.
func (f *Fleet) work(a *Agent, id requestID) {
	h, startedAt := a.Host, a.Host.StartedAt
	h.busy++
	d := h.WorkTime + time.Duration(f.Random.ExpFloat64()*float64(h.WorkSpread))
	if f.now < h.coldUntil {
		d = time.Duration(h.ColdFactor * float64(d))
	}
	if h.WorkFactor != nil {
		d = time.Duration(h.WorkFactor(id.key) * float64(d))
	}
	h.Worked += d
	f.After(d, func() {
		if !h.Up || h.StartedAt != startedAt {
			return
		}
		h.requests[id] = true
		h.busy--
		f.answer(a, id)
		if len(h.waiting) > 0 {
			next := h.waiting[0]
			h.waiting = h.waiting[1:]
			f.work(a, next)
		}
	})
}

func (f *Fleet) answer(a *Agent, id requestID) {
	f.fromHost(a, Packet{Flow: id.key, FromHost: true, Flags: ACK, Seq: a.Host.Flows[id.key] + 1, Ack: id.seq + 1, DataBytes: answerBytes}.Bytes())
}

// answerBytes is the size of an answer.
const answerBytes = 500

// drainGrace is how long after the acknowledgement of its drain a host may still receive flows that were in
// flight.
const drainGrace = 50 * time.Millisecond

// StartColdHost starts a new incarnation of an agent's host that is slow for its ColdTime.
func (f *Fleet) StartColdHost(a *Agent) {
	f.StartHost(a)
	a.Host.coldUntil = f.now + a.Host.ColdTime
}

// checkWarmup records an opening packet and checks the limit of a cold host.
func (f *Fleet) checkWarmup(a *Agent) {
	h := a.Host
	h.openings = slices.DeleteFunc(h.openings, func(at time.Duration) bool { return at <= f.now-time.Second })
	h.openings = append(h.openings, f.now)
	if rate := int(f.WarmupRates[h.Service]); rate > 0 && f.now < h.coldUntil && len(h.openings) > rate {
		f.Violations = append(f.Violations, fmt.Sprintf("%d opening packets within a second at a cold host", len(h.openings)))
	}
}

func (f *Fleet) checkOpening(a *Agent, key flow.Key) {
	if !f.allowed[allowedService{key.Service, a.Host.Service}] {
		f.Violations = append(f.Violations, "a flow was opened at another service")
	}
	if a.Host.DrainAckedAt > 0 && f.now > a.Host.DrainAckedAt+drainGrace {
		f.Violations = append(f.Violations, "a flow was opened at a draining host")
	}
}

func (f *Fleet) fromHost(a *Agent, packet []byte) {
	startedAt := a.Host.StartedAt
	f.After(hostDelay, func() {
		if a.Up && a.Host.Up && a.Host.StartedAt == startedAt {
			a.FromHost(packet)
		}
	})
}
