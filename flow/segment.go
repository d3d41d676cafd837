package flow

import "time"

// Segment is what decisions read of one packet.
type Segment struct {
	// Key is the flow, whichever end sent the packet.
	Key Key
	// Seq and Ack are the sequence and acknowledgement numbers. In an opening
	// packet of a caller Ack counts the copies.
	Seq, Ack uint32
	// Data is the number of bytes carried for the other end.
	Data int
	// Opening, Acking, Ending, Resetting and Bounced are the packet's flags.
	Opening, Acking, Ending, Resetting, Bounced bool
	// Context is the value that the agent put into the packet before it gave it
	// to the host; only bounced packets bring it back.
	Context uint32
}

// Opens says whether a caller asks for a new flow with the packet.
func (s Segment) Opens() bool { return s.Opening && !s.Acking }

// Times after which a caller sends copies of its opening packet.
const (
	firstCopyAfter  = 200 * time.Millisecond
	secondCopyAfter = 600 * time.Millisecond
)

// Waited is how long the caller of an opening packet has waited at least.
func (s Segment) Waited() time.Duration {
	switch s.Ack {
	case 0:
		return 0
	case 1:
		return firstCopyAfter
	}
	return secondCopyAfter
}

// Window is the largest distance between numbers of one flow that are in use
// at the same time. It is far above the 16 packets that an end may have in flight.
const Window = 1 << 20

// Near says whether two numbers lie within Window of each other.
func Near(a, b uint32) bool { return a-b <= Window || b-a <= Window }
