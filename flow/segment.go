package flow

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

// Window is the largest distance between acknowledgement numbers of one flow
// that still counts as the same numbering.
const Window = 1 << 30

// Follows says whether an acknowledgement number belongs to a numbering that
// started at start.
func Follows(start, ack uint32) bool { return ack-start <= Window }
