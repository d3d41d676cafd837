package packettest

import (
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
)

// Caller is one flow of a caller that sends one request after the other. It retransmits unanswered packets,
// as the platform's callers do.
type Caller struct {
	Key flow.Key
	// InitialSeq is the host's initial sequence number once the flow is open.
	InitialSeq uint32
	Open       bool
	// Answers counts the answers; Reset is set once the flow has been reset.
	Answers int
	Reset   bool
	// Closing is set once the caller has closed the flow, Closed once the host has acknowledged that.
	Closing, Closed bool
	// RequestPackets is the number of packets of each request but the first, at most maxRequestPackets; 0 means 1.
	RequestPackets int
	// NextEntry returns the entry that the fabric sends the next packet to.
	NextEntry func() *Entry

	fleet *Fleet
}

// retransmitDelays are the delays before each retransmission of an opening packet, dataDelays those of other packets.
var (
	retransmitDelays = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	dataDelays       = append(slices.Clone(retransmitDelays), slices.Repeat([]time.Duration{1600 * time.Millisecond}, 5)...)
)

// Sequence numbers of callers: request n has requestBytes from firstRequestSeq + n*requestBytes on, of which each packet has
// partBytes.
const (
	firstRequestSeq   = 1001
	partBytes         = 100
	maxRequestPackets = 16
	requestBytes      = maxRequestPackets * partBytes
)

// finSeq is the sequence number of the packet that closes a flow.
const finSeq = 1 << 20

// resetWindow is the largest difference between the number of a valid reset and the number that the caller last
// acknowledged.
const resetWindow = 76_800

// isValidReset reports whether a reset of an open flow carries about the number that the caller last acknowledged.
func isValidReset(s flow.Segment, acknowledged uint32) bool {
	return s.Seq-acknowledged+resetWindow <= 2*resetWindow
}

// Callers are the callers of a fleet by flow.
type Callers map[flow.Key]*Caller

// NewCallers connects callers to a fleet.
func NewCallers(f *Fleet) Callers {
	callers := Callers{}
	f.ToCaller = func(s flow.Segment, _ uint32) {
		if c := callers[s.Key]; c != nil {
			c.receive(s)
		}
	}
	return callers
}

// Start opens a flow whose packets go to the entries that nextEntry returns.
func (callers Callers) Start(f *Fleet, key flow.Key, nextEntry func() *Entry) *Caller {
	c := &Caller{Key: key, NextEntry: nextEntry, fleet: f}
	callers[key] = c
	c.send(retransmitDelays, 0, func(n uint32) []byte {
		if c.Open {
			return nil
		}
		return Open(key, n)
	})
	return c
}

// Request sends a request on an open flow. It does nothing for other flows.
func (c *Caller) Request() {
	if !c.Open || c.Closing {
		return
	}
	want := c.Answers + 1
	for part := range max(c.RequestPackets, 1) {
		c.send(dataDelays, 0, func(uint32) []byte {
			if c.Answers >= want {
				return nil
			}
			seq := firstRequestSeq + uint32(want)*requestBytes + uint32(part)*partBytes
			return Packet{Flow: c.Key, Flags: ACK, Seq: seq, Ack: c.InitialSeq + 1, DataBytes: partBytes}.Bytes()
		})
	}
}

// Close closes an open flow. It does nothing for other flows.
func (c *Caller) Close() {
	if !c.Open || c.Closing {
		return
	}
	c.Closing = true
	c.send(dataDelays, 0, func(uint32) []byte {
		if c.Closed {
			return nil
		}
		return Packet{Flow: c.Key, Flags: FIN | ACK, Seq: finSeq, Ack: c.InitialSeq + 1 + answerBytes}.Bytes()
	})
}

// send sends the packet that nextPacket returns for the nth attempt, and retransmits after each of the delays until
// nextPacket returns nil.
func (c *Caller) send(delays []time.Duration, n int, nextPacket func(uint32) []byte) {
	packet := nextPacket(uint32(n))
	if packet == nil || c.Reset {
		return
	}
	c.fleet.FromCaller(c.NextEntry(), packet)
	if n < len(delays) {
		c.fleet.After(delays[n], func() { c.send(delays, n+1, nextPacket) })
	}
}

func (c *Caller) receive(s flow.Segment) {
	switch {
	case s.IsRST:
		c.Reset = c.Reset || !c.Open || isValidReset(s, c.InitialSeq)
	case s.IsSYN && !c.Open && !c.Reset:
		c.Open, c.InitialSeq = true, s.Seq
		c.Request()
	case s.DataBytes > 0 && c.Open && s.Seq == c.InitialSeq+1:
		c.Answers++
	case s.Ack == finSeq+1:
		c.Closed = true
	}
}
