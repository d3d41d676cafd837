package flow

import "time"

// Segment holds the fields of a packet that decisions depend on.
type Segment struct {
	// Key identifies the flow; it is the same for packets of both ends.
	Key Key
	// Seq and Ack are the sequence and acknowledgement numbers. In a caller's opening packet, Ack is the
	// number of previous transmissions of that packet.
	Seq, Ack uint32
	// DataBytes is the number of payload bytes.
	DataBytes int
	// The flags of the packet: SYN, ACK, FIN, RST, and whether the host bounced it.
	IsSYN, IsACK, IsFIN, IsRST, IsBounced bool
	// Context is the value that the agent stored in the packet before it sent it to the host. The host returns
	// it only in bounced packets.
	Context uint32
}

// Opens reports whether the packet is an opening packet: one with which a caller requests a new flow.
func (s Segment) Opens() bool { return s.IsSYN && !s.IsACK }

// Times after which a caller retransmits its opening packet.
const (
	firstRetransmitAfter  = 200 * time.Millisecond
	secondRetransmitAfter = 600 * time.Millisecond
)

// Waited returns the minimum time that the caller of an opening packet has waited.
func (s Segment) Waited() time.Duration {
	switch s.Ack {
	case 0:
		return 0
	case 1:
		return firstRetransmitAfter
	}
	return secondRetransmitAfter
}

// Window is the maximum difference between sequence numbers of one flow that are in use at the same time. It
// is far above the 16 packets that an end may have in flight.
const Window = 1 << 20

// WithinWindow reports whether two sequence numbers are within Window of each other.
func WithinWindow(a, b uint32) bool { return a-b <= Window || b-a <= Window }
