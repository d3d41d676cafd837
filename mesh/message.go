package mesh

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/flow"
)

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	// KindOffer asks the candidates in turn to take a new flow. It carries the opening packet.
	KindOffer Kind = iota + 1
	// KindDeliver carries a packet of a flow to the agent that has the flow.
	KindDeliver
	// KindSearch carries a packet of a flow whose agent the entry has no record of. It is sent to a directory agent
	// of the flow or, in step StepAll, to all agents of the service.
	KindSearch
	// KindTaken notifies an entry that the sender has a flow.
	KindTaken
	// KindPassed notifies an entry that the sender passed an offer on to another candidate.
	KindPassed
	// KindRefused notifies an entry that the sender, and each candidate before it, takes no flow of the offer.
	KindRefused
	// KindMissing returns a packet to an entry, as the sender doesn't have the packet's flow.
	KindMissing
	// KindAgentReport carries an AgentReport, KindEntryReport an EntryReport.
	KindAgentReport
	KindEntryReport
	// KindLocated notifies a directory agent of a flow whether the sender has the flow: its Step is LocatedHere or
	// LocatedElsewhere.
	KindLocated
	// KindMarker is sent by an entry to itself. When it arrives, the entry has read all messages that arrived
	// before.
	KindMarker
	// KindEcho asks another entry for a message of kind KindEchoed, which shows that the two reach each other. Its
	// Step is EchoedHearsAgents if the other entry hears agents.
	KindEcho
	KindEchoed
	// KindAbsenceQuery carries an AbsenceQuery from an entry, KindAbsenceAnswer an agent's AbsenceAnswer.
	KindAbsenceQuery
	KindAbsenceAnswer
	// KindFlowQuery asks another entry which agent has a flow. An entry that has a record answers with a message of kind
	// KindFlowHolder: its Service is the tag of the agent's service, the first of its Directories the agent's address. Entries of
	// earlier versions drop both.
	KindFlowQuery
	KindFlowHolder
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{
		"none", "offer", "deliver", "search", "taken", "passed", "refused", "missing", "agentReport", "entryReport", "located", "marker", "echo", "echoed",
		"absenceQuery", "absenceAnswer", "flowQuery", "flowHolder",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// MaxCandidates is the maximum number of candidates of an offer.
const MaxCandidates = 8

// DirectoryCount is the number of directory agents of a flow: the agents that record which agent has the flow.
const DirectoryCount = 2

// DirectorySteps is the number of agents that a search asks as directory agents. It exceeds DirectoryCount, as agents that
// join after the flow opened may come before those that have recorded its location.
const DirectorySteps = 5

// StepAll is the step of a search that is sent to several agents at once: to the first ones in rendezvous order, or to all. The
// other steps are sent to one agent each, which returns the packet if it has no record of the flow.
const StepAll = 2

// StepRecorded is the step of a search that is sent to several agents at once which are unlikely to have the flow. An agent
// without a record of the flow doesn't give the packet to its host, as it may do in StepAll.
const StepRecorded = 255

// IsStepToSeveral reports whether a step is sent to several agents at once, which don't return the packet.
func IsStepToSeveral(step uint8) bool { return step == StepAll || step == StepRecorded }

// DirectoryStep returns the step of a search that asks the agent at a position in the order of the flow's directory agents.
// Processes of earlier versions know the first two of these steps and take others for StepAll.
func DirectoryStep(position int) uint8 {
	if position >= StepAll {
		position++
	}
	return uint8(position)
}

// DirectoryPosition is the inverse of DirectoryStep. It returns DirectorySteps for StepAll and for unknown steps.
func DirectoryPosition(step uint8) int {
	switch {
	case step < StepAll:
		return int(step)
	case step == StepAll || step > DirectorySteps:
		return DirectorySteps
	}
	return int(step) - 1
}

// EchoedHearsAgents is the Step of a message of kind KindEchoed whose sender received a message of an agent
// recently.
const EchoedHearsAgents = 1

// TakenAsksDirectories is the Step of a message of kind KindTaken whose sender asks for the flow's current directory agents.
// The entry answers with a message of kind KindLocated that names the sender as its origin.
const TakenAsksDirectories = 1

// RefusedHeld is the Step of a message of kind KindRefused whose sender took the flow and held it, but never gave it to its host.
const RefusedHeld = 1

// Values of Step in messages of kind KindLocated.
const (
	LocatedHere uint8 = iota
	LocatedElsewhere
)

// Millis is a duration in milliseconds, as encoded in a message.
type Millis uint16

// MillisOf converts a duration to milliseconds. It limits the result to the range of Millis.
func MillisOf(d time.Duration) Millis { return Millis(min(max(d.Milliseconds(), 0), 0xffff)) }

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// NoCandidate is the value of Terms.Best while no candidate can take the flow.
const NoCandidate = 0xff

// Message is a message between two processes.
type Message struct {
	Kind Kind
	// Service is the tag of the service that the message is for, ServiceDigest the rest of its ServiceID. An agent of another
	// service drops the message: the address may have belonged to a host of that service before. Only messages of kind KindOffer,
	// KindDeliver, KindSearch and KindAbsenceQuery carry the digest, in the place of Flow. In a message of an agent, Service is the
	// tag of the agent's service.
	Service       uint32
	ServiceDigest ServiceDigest
	// ConfigVersion is the version of the sender's configuration.
	ConfigVersion uint64
	// Origin is the address of the process that the message originates from. An agent that forwards a message
	// of an entry doesn't change it, so that the next agent answers the entry.
	Origin uint32
	// Flow is the flow that a message of kind KindTaken, KindPassed, KindRefused, KindMissing, KindLocated, KindFlowQuery or
	// KindFlowHolder is about. Messages that carry ServiceDigest don't: their packet or body identifies the flows.
	Flow flow.Key
	// Step is the search step, in messages of kind KindSearch and in the answers of kind KindMissing, see DirectoryStep and
	// StepAll.
	Step uint8
	// Terms are the terms of an offer.
	Terms Terms
	// Load is the load of the sender's host, in messages of agents.
	Load Load
	// Candidates are the addresses of the agents that an offer visits, in order; Count of them are set.
	Candidates [MaxCandidates]uint32
	Count      uint8
	// Directories are the addresses of the flow's current directory agents, which record the agent that has the flow; 0 for
	// none.
	Directories [DirectoryCount]uint32
	// Body is the packet or the report. After Decode it aliases the datagram.
	Body []byte
}

// Terms are the terms of an offer.
type Terms struct {
	// Current is the index of the candidate that the offer is sent to.
	Current uint8
	// Best is the index of the candidate with the shortest expected latency so far, BestLatency, or
	// NoCandidate.
	Best        uint8
	BestLatency Millis
	// MustTake reports whether all candidates were visited and the current one is the best.
	MustTake bool
	// Resent reports whether the message is sent again: an offer of a flow that was offered before or whose
	// opening packet is a retransmission, or a search that a directory agent forwarded.
	Resent bool
	// HandedOver reports whether an agent held the flow and offers it to others, as its host accepts no flows any more.
	HandedOver bool
	// Priority is the priority of the route; 0 is the most urgent.
	Priority uint8
	// TargetLatency is the time within which the caller wants its answer.
	TargetLatency Millis
	// Waited is the minimum time that the caller has waited, according to its opening packet and the entry.
	Waited Millis
	// TypicalServiceTime is the typical service time of the route at the service's hosts, 0 if unknown. In messages of kind
	// KindTaken, KindPassed and KindRefused it is the estimate of the sender's host for the route of the flow.
	TypicalServiceTime Millis
	// LongFlows reports, in the same messages, whether the flows of the route may carry several requests: the sender's host
	// hasn't seen that most carry one. Messages without Load.WorkMs don't tell.
	LongFlows bool
	// WarmupRate is the number of requests per second that a host of the service can sustain while it is warming up, 0 for no
	// limit. Only messages of kind KindOffer carry it.
	WarmupRate uint16
}

// Load is the load of an agent's host.
type Load struct {
	// Busy is the number of requests in the host, expected there or held for it, Slots the number that it runs
	// at a time.
	Busy, Slots uint16
	// ServiceTime is the mean time that a request runs.
	ServiceTime Millis
	// WorkMs is the host's remaining work in milliseconds of its own: that of its requests, and one second of its standing
	// load. It is at least 1; 0 means that the sender is of an earlier version and doesn't tell.
	WorkMs uint16
	// StandingMs is the standing load of the host's open flows, in milliseconds of work per second. It is valid if WorkMs isn't 0.
	StandingMs uint16
	// Open reports whether the host accepts new flows.
	Open bool
	// Faulty reports whether the host fails significantly more of its requests than a healthy one.
	Faulty bool
}

// Sizes of the parts of a message, and flags in its header.
const (
	protocolVersion = 1
	headerBytes     = 60
	addressBytes    = 4
	// flowAt is the offset of the flow, or of the service's digest.
	flowAt = 20

	flagMustTake   = 1 << 0
	flagResent     = 1 << 1
	flagOpen       = 1 << 2
	flagFaulty     = 1 << 3
	flagLong       = 1 << 4
	flagHandedOver = 1 << 5
)

// MaxBytes returns the maximum size of a message with a packet of the given size.
func MaxBytes(packetBytes int) int { return headerBytes + MaxCandidates*addressBytes + packetBytes }

// Size returns the size of the encoded message in bytes.
func (m *Message) Size() int { return headerBytes + int(m.Count)*addressBytes + len(m.Body) }

// carriesWork reports whether messages of a kind carry Load.WorkMs and, in the place of Terms.TargetLatency, Load.StandingMs.
func (k Kind) carriesWork() bool {
	switch k {
	case KindTaken, KindPassed, KindRefused, KindMissing, KindAgentReport, KindAbsenceAnswer:
		return true
	}
	return false
}

// ErrInvalidMessage reports that a datagram is not a message of this protocol.
const ErrInvalidMessage = errors.ConstError("malformed mesh message")

// Append appends the encoded message to b.
func (m *Message) Append(b []byte) []byte {
	var h [headerBytes]byte
	h[0], h[1], h[2], h[3] = protocolVersion, byte(m.Kind), m.flags(), m.Count
	binary.BigEndian.PutUint32(h[4:], m.Service)
	binary.BigEndian.PutUint64(h[8:], m.ConfigVersion)
	binary.BigEndian.PutUint32(h[16:], m.Origin)
	if m.Kind.carriesDigest() {
		copy(h[flowAt:], m.ServiceDigest[:])
	} else {
		binary.BigEndian.PutUint32(h[flowAt:], m.Flow.Caller.IP)
		binary.BigEndian.PutUint16(h[24:], m.Flow.Caller.Port)
		binary.BigEndian.PutUint16(h[26:], m.Flow.Service.Port)
		binary.BigEndian.PutUint32(h[28:], m.Flow.Service.IP)
	}
	h[32], h[33], h[34] = m.Terms.Current, m.Terms.Best, m.Terms.Priority
	binary.BigEndian.PutUint16(h[36:], uint16(m.Terms.BestLatency))
	binary.BigEndian.PutUint16(h[38:], uint16(m.Terms.TargetLatency))
	binary.BigEndian.PutUint16(h[40:], uint16(m.Terms.TypicalServiceTime))
	binary.BigEndian.PutUint16(h[42:], m.Load.Busy)
	binary.BigEndian.PutUint16(h[44:], m.Load.Slots)
	binary.BigEndian.PutUint16(h[46:], uint16(m.Load.ServiceTime))
	binary.BigEndian.PutUint16(h[48:], uint16(m.Terms.Waited))
	if m.Load.WorkMs > 0 && m.Kind.carriesWork() {
		binary.BigEndian.PutUint16(h[38:], m.Load.StandingMs)
		binary.BigEndian.PutUint16(h[50:], m.Load.WorkMs)
	}
	h[35] = m.Step
	if m.Kind == KindOffer {
		binary.BigEndian.PutUint16(h[50:], m.Terms.WarmupRate)
	}
	binary.BigEndian.PutUint32(h[52:], m.Directories[0])
	binary.BigEndian.PutUint32(h[56:], m.Directories[1])
	b = append(b, h[:]...)
	for _, c := range m.Candidates[:m.Count] {
		b = binary.BigEndian.AppendUint32(b, c)
	}
	return append(b, m.Body...)
}

func (m *Message) flags() byte {
	var f byte
	if m.Terms.MustTake {
		f |= flagMustTake
	}
	if m.Terms.Resent {
		f |= flagResent
	}
	if m.Load.Open {
		f |= flagOpen
	}
	if m.Load.Faulty {
		f |= flagFaulty
	}
	if m.Terms.LongFlows {
		f |= flagLong
	}
	if m.Terms.HandedOver {
		f |= flagHandedOver
	}
	return f
}

// Decode decodes a datagram into m and replaces its previous value.
func (m *Message) Decode(b []byte) error {
	if len(b) < headerBytes || b[0] != protocolVersion || b[3] > MaxCandidates || len(b) < headerBytes+int(b[3])*addressBytes {
		return ErrInvalidMessage
	}
	*m = Message{
		Kind: Kind(b[1]), Count: b[3],
		Service:       binary.BigEndian.Uint32(b[4:]),
		ConfigVersion: binary.BigEndian.Uint64(b[8:]),
		Origin:        binary.BigEndian.Uint32(b[16:]),
		Terms: Terms{
			Current: b[32], Best: b[33], Priority: b[34],
			MustTake: b[2]&flagMustTake != 0, Resent: b[2]&flagResent != 0, LongFlows: b[2]&flagLong != 0, HandedOver: b[2]&flagHandedOver != 0,
			BestLatency:        Millis(binary.BigEndian.Uint16(b[36:])),
			TargetLatency:      Millis(binary.BigEndian.Uint16(b[38:])),
			TypicalServiceTime: Millis(binary.BigEndian.Uint16(b[40:])),
			Waited:             Millis(binary.BigEndian.Uint16(b[48:])),
		},
		Load: Load{
			Busy: binary.BigEndian.Uint16(b[42:]), Slots: binary.BigEndian.Uint16(b[44:]),
			ServiceTime: Millis(binary.BigEndian.Uint16(b[46:])), Open: b[2]&flagOpen != 0, Faulty: b[2]&flagFaulty != 0,
		},
	}
	if m.Kind.carriesDigest() {
		copy(m.ServiceDigest[:], b[flowAt:])
	} else {
		m.Flow = flow.Key{
			Caller:  flow.Endpoint{IP: binary.BigEndian.Uint32(b[flowAt:]), Port: binary.BigEndian.Uint16(b[24:])},
			Service: flow.Endpoint{IP: binary.BigEndian.Uint32(b[28:]), Port: binary.BigEndian.Uint16(b[26:])},
		}
	}
	if m.Kind.carriesWork() {
		m.Load.WorkMs = binary.BigEndian.Uint16(b[50:])
		if m.Load.WorkMs > 0 {
			m.Load.StandingMs, m.Terms.TargetLatency = uint16(m.Terms.TargetLatency), 0
		}
	}
	m.Step = b[35]
	if m.Kind == KindOffer {
		m.Terms.WarmupRate = binary.BigEndian.Uint16(b[50:])
	}
	m.Directories[0], m.Directories[1] = binary.BigEndian.Uint32(b[52:]), binary.BigEndian.Uint32(b[56:])
	rest := b[headerBytes:]
	for i := range m.Count {
		m.Candidates[i] = binary.BigEndian.Uint32(rest)
		rest = rest[addressBytes:]
	}
	m.Body = rest
	if m.Kind == KindOffer && m.Terms.Current >= m.Count {
		return ErrInvalidMessage
	}
	return nil
}

// Send encodes the message and passes it to send, which must not retain it.
func (m *Message) Send(ip uint32, send func(uint32, []byte)) {
	b := bufferPool.Get().(*[]byte)
	*b = m.Append((*b)[:0])
	send(ip, *b)
	bufferPool.Put(b)
}

// bufferPool holds buffers for encoded messages, so that sending doesn't allocate.
var bufferPool = sync.Pool{New: func() any { return new([]byte) }}
