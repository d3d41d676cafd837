package packettest

import (
	"fmt"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/platform"
)

// Host is a fake host.
type Host struct {
	Service string
	// Up says whether it answers.
	Up bool
	// State is what its heartbeats say; DrainedAt is when one that says draining was acknowledged.
	State     host.State
	DrainedAt time.Duration
	Born      int64
	// Work is the time of a request.
	Work time.Duration
	// Flows are the flows that it has, by key, with the first number that it used.
	Flows map[flow.Key]uint32
	// Opened counts the flows that it opened.
	Opened   int
	sequence uint64
}

// StartHost starts the host of an agent as another incarnation.
func (f *Fleet) StartHost(a *Agent) {
	a.Host.Up, a.Host.State, a.Host.sequence = true, host.Ready, 0
	a.Host.Born = int64(f.now/time.Millisecond) + 2
	a.Host.Flows = map[flow.Key]uint32{}
	f.After(time.Millisecond, func() { f.Beat(a) })
}

// Beat sends a heartbeat of a host that is up to its agent.
func (f *Fleet) Beat(a *Agent) {
	if !a.Host.Up || !a.Up {
		return
	}
	a.Host.sequence++
	err := a.Heartbeat(host.Report{
		ID: fmt.Sprintf("h-%d", a.IP), Born: a.Host.Born, Sequence: a.Host.sequence, Service: a.Host.Service,
		Address: flow.Endpoint{IP: a.IP, Port: 8165}, Slots: 4, State: a.Host.State,
	})
	if err == nil && a.Host.State == host.Draining && a.Host.DrainedAt == 0 {
		a.Host.DrainedAt = f.now
	}
}

// toHost gives a packet to the host of an agent, which answers as the platform's hosts do.
func (f *Fleet) toHost(a *Agent, packet []byte) {
	p := append([]byte(nil), packet...)
	f.After(hostDelay, func() {
		if a.Host.Up {
			f.hostGot(a, p)
		}
	})
}

func (f *Fleet) hostGot(a *Agent, packet []byte) {
	s, err := platform.DecodePacket(packet, platform.FromCaller)
	if err != nil {
		f.Broken = append(f.Broken, "a host got no packet")
		return
	}
	h := a.Host
	first, has := h.Flows[s.Key]
	switch {
	case s.Opens():
		if !has {
			first = f.Random.Uint32()
			h.Flows[s.Key] = first
			h.Opened++
			f.checkOpening(a)
		}
		f.fromHost(a, Accept(s.Key, first))
	case !has || !flow.Near(first, s.Ack):
		f.fromHost(a, Bounce(packet))
	case s.Data > 0:
		f.After(h.Work, func() { f.fromHost(a, Answer(s.Key, first+1, 500)) })
	}
}

// drainSlack is how long after its acknowledgement a draining host may still get flows that were under way.
const drainSlack = 50 * time.Millisecond

func (f *Fleet) checkOpening(a *Agent) {
	if a.Host.Service != FirstService {
		f.Broken = append(f.Broken, "a flow was opened at another service")
	}
	if a.Host.DrainedAt > 0 && f.now > a.Host.DrainedAt+drainSlack {
		f.Broken = append(f.Broken, "a flow was opened at a draining host")
	}
}

func (f *Fleet) fromHost(a *Agent, packet []byte) {
	born := a.Host.Born
	f.After(hostDelay, func() {
		if a.Up && a.Host.Up && a.Host.Born == born {
			a.FromHost(packet)
		}
	})
}
