package mesh

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/flow"
)

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	// Offer asks the agents of the candidates in turn to take a new flow. It carries the opening packet.
	Offer Kind = iota + 1
	// Deliver carries a packet of a flow to the agent that has the flow.
	Deliver
	// Search carries a packet of a flow whose agent isn't known to all agents of the service.
	Search
	// Taken tells an entry which agent has a flow.
	Taken
	// Passed tells an entry that an agent sent an offer on to the candidate at Offered.At.
	Passed
	// Refused tells an entry that a flow was refused and reset.
	Refused
	// Missing returns a packet to the entry that took the agent for the one that has its flow.
	Missing
	// AgentReport and EntryReport carry what a process says of itself.
	AgentReport
	EntryReport
	// Located tells the homes of a flow which agent has it.
	Located
	// Marker is what an entry sends to itself to learn that it has read all that came before.
	Marker
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"none", "offer", "deliver", "search", "taken", "passed", "refused", "missing", "agentReport", "entryReport", "located", "marker"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// MaxCandidates is the number of agents that an offer visits at most.
const MaxCandidates = 8

// HomeCount is the number of agents that are told where a flow is.
const HomeCount = 2

// StepAll is the step of a search that asks all agents; lower steps ask the
// homes of the flow, which answer if they don't know it.
const StepAll = HomeCount

// Wait is an expected time in milliseconds, as a message carries it.
type Wait uint16

// WaitOf rounds a duration to milliseconds.
func WaitOf(d time.Duration) Wait { return Wait(min(max(d.Milliseconds(), 0), 0xffff)) }

// Duration returns the time.
func (w Wait) Duration() time.Duration { return time.Duration(w) * time.Millisecond }

// NoCandidate is the value of Message.Best while no agent could take the flow.
const NoCandidate = 0xff

// Message is one datagram between processes.
type Message struct {
	Kind Kind
	// Service is the tag of the service that the message is for. An agent of
	// another service drops it: its address may have been another host's.
	Service uint32
	// ConfigVersion is the version of the sender's configuration.
	ConfigVersion uint64
	// Entry is the entry that a message about a flow comes from or is for.
	Entry uint32
	// Flow is set in Taken, Passed and Refused; in other kinds the packet tells.
	Flow flow.Key
	// Step counts the ways of finding a flow that were tried, in Search and in the Missing that answers it.
	Step uint8
	// Offered holds the terms of an offer.
	Offered Terms
	// Load is the sender's load in an agent's messages.
	Load Load
	// Candidates are the agents that an offer visits, in order. Count of them are set.
	Candidates [MaxCandidates]uint32
	Count      uint8
	// Homes are the agents that know where a flow is, 0 for none. The first is asked first.
	Homes [HomeCount]uint32
	// Body is the packet or the report. It aliases the datagram.
	Body []byte
}

// Terms are what an offer carries besides its candidates.
type Terms struct {
	// At is the index of the candidate that the offer is sent to.
	At uint8
	// Best is the index of the candidate with the shortest BestWait so far, or NoCandidate.
	Best     uint8
	BestWait Wait
	// MustTake says that all candidates were asked and this one is the best.
	MustTake bool
	// Copy says that the packet was sent before: a copy of one that was offered, or a
	// search that a home sent on.
	Copy bool
	// Priority is that of the route, 0 for the most urgent.
	Priority uint8
	// Target is the time in which the caller wants its answer.
	Target Wait
	// Waited is how long the caller has waited already, as far as its packet tells.
	Waited Wait
	// Usual is the time in which hosts of the service usually answer, 0 for unknown.
	Usual Wait
}

// Load is the load of an agent's host.
type Load struct {
	// Busy is the number of requests in the host, Slots how many it runs at a time.
	Busy, Slots uint16
	// Service is the mean time of a request in the host.
	Service Wait
	// Open says whether the host takes new flows.
	Open bool
	// Faulty says that the host fails more of its requests than one that is well.
	Faulty bool
}

// Sizes and offsets of the head.
const (
	protocolVersion = 1
	headBytes       = 60
	addressBytes    = 4

	flagMustTake = 1 << 0
	flagCopy     = 1 << 1
	flagOpen     = 1 << 2
	flagFaulty   = 1 << 3
)

// MaxBytes is the size of the largest message with a packet of the given size.
func MaxBytes(packet int) int { return headBytes + MaxCandidates*addressBytes + packet }

// ErrMessage says that a datagram is no message of this protocol.
const ErrMessage = errors.ConstError("not a message between processes")

// Append appends the encoded message.
func (m *Message) Append(b []byte) []byte {
	var h [headBytes]byte
	h[0], h[1], h[2], h[3] = protocolVersion, byte(m.Kind), m.flags(), m.Count
	binary.BigEndian.PutUint32(h[4:], m.Service)
	binary.BigEndian.PutUint64(h[8:], m.ConfigVersion)
	binary.BigEndian.PutUint32(h[16:], m.Entry)
	binary.BigEndian.PutUint32(h[20:], m.Flow.Caller.IP)
	binary.BigEndian.PutUint16(h[24:], m.Flow.Caller.Port)
	binary.BigEndian.PutUint16(h[26:], m.Flow.Service.Port)
	binary.BigEndian.PutUint32(h[28:], m.Flow.Service.IP)
	h[32], h[33], h[34] = m.Offered.At, m.Offered.Best, m.Offered.Priority
	binary.BigEndian.PutUint16(h[36:], uint16(m.Offered.BestWait))
	binary.BigEndian.PutUint16(h[38:], uint16(m.Offered.Target))
	binary.BigEndian.PutUint16(h[40:], uint16(m.Offered.Usual))
	binary.BigEndian.PutUint16(h[42:], m.Load.Busy)
	binary.BigEndian.PutUint16(h[44:], m.Load.Slots)
	binary.BigEndian.PutUint16(h[46:], uint16(m.Load.Service))
	binary.BigEndian.PutUint16(h[48:], uint16(m.Offered.Waited))
	h[35] = m.Step
	binary.BigEndian.PutUint32(h[52:], m.Homes[0])
	binary.BigEndian.PutUint32(h[56:], m.Homes[1])
	b = append(b, h[:]...)
	for _, c := range m.Candidates[:m.Count] {
		b = binary.BigEndian.AppendUint32(b, c)
	}
	return append(b, m.Body...)
}

func (m *Message) flags() byte {
	var f byte
	if m.Offered.MustTake {
		f |= flagMustTake
	}
	if m.Offered.Copy {
		f |= flagCopy
	}
	if m.Load.Open {
		f |= flagOpen
	}
	if m.Load.Faulty {
		f |= flagFaulty
	}
	return f
}

// Decode reads a datagram into m, which keeps no part of its former value.
func (m *Message) Decode(b []byte) error {
	if len(b) < headBytes || b[0] != protocolVersion || b[3] > MaxCandidates || len(b) < headBytes+int(b[3])*addressBytes {
		return ErrMessage
	}
	*m = Message{
		Kind: Kind(b[1]), Count: b[3],
		Service:       binary.BigEndian.Uint32(b[4:]),
		ConfigVersion: binary.BigEndian.Uint64(b[8:]),
		Entry:         binary.BigEndian.Uint32(b[16:]),
		Flow: flow.Key{
			Caller:  flow.Endpoint{IP: binary.BigEndian.Uint32(b[20:]), Port: binary.BigEndian.Uint16(b[24:])},
			Service: flow.Endpoint{IP: binary.BigEndian.Uint32(b[28:]), Port: binary.BigEndian.Uint16(b[26:])},
		},
		Offered: Terms{
			At: b[32], Best: b[33], Priority: b[34],
			MustTake: b[2]&flagMustTake != 0, Copy: b[2]&flagCopy != 0,
			BestWait: Wait(binary.BigEndian.Uint16(b[36:])),
			Target:   Wait(binary.BigEndian.Uint16(b[38:])),
			Usual:    Wait(binary.BigEndian.Uint16(b[40:])),
			Waited:   Wait(binary.BigEndian.Uint16(b[48:])),
		},
		Load: Load{
			Busy: binary.BigEndian.Uint16(b[42:]), Slots: binary.BigEndian.Uint16(b[44:]),
			Service: Wait(binary.BigEndian.Uint16(b[46:])), Open: b[2]&flagOpen != 0, Faulty: b[2]&flagFaulty != 0,
		},
	}
	m.Step = b[35]
	m.Homes[0], m.Homes[1] = binary.BigEndian.Uint32(b[52:]), binary.BigEndian.Uint32(b[56:])
	rest := b[headBytes:]
	for i := range m.Count {
		m.Candidates[i] = binary.BigEndian.Uint32(rest)
		rest = rest[addressBytes:]
	}
	m.Body = rest
	if m.Kind == Offer && m.Offered.At >= m.Count {
		return ErrMessage
	}
	return nil
}

// Send encodes the message and passes it to send, which keeps no part of it.
func (m *Message) Send(ip uint32, send func(uint32, []byte)) {
	b := buffers.Get().(*[]byte)
	*b = m.Append((*b)[:0])
	send(ip, *b)
	buffers.Put(b)
}

// buffers keeps encoded messages, so that sending doesn't allocate.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// ServiceTag returns the tag of a service's name.
func ServiceTag(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
