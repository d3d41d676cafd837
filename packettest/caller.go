package packettest

import (
	"time"

	"endiveflow.example/endiveflow/flow"
)

// Caller is one flow of a caller with one request after the other. It sends
// what isn't answered again, as the platform's callers do.
type Caller struct {
	Key flow.Key
	// First is the host's first number once the flow is open.
	First uint32
	Open  bool
	// Answers counts the answers, Reset says that the flow was reset.
	Answers int
	Reset   bool
	// Through returns the entry that the fabric sends the next packet to.
	Through func() *Entry

	fleet *Fleet
}

// resendAfter are the times after which a caller sends a packet again.
var resendAfter = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// Callers are the callers of a fleet by flow.
type Callers map[flow.Key]*Caller

// NewCallers connects callers to a fleet.
func NewCallers(f *Fleet) Callers {
	all := Callers{}
	f.ToCaller = func(s flow.Segment, _ uint32) {
		if c := all[s.Key]; c != nil {
			c.got(s)
		}
	}
	return all
}

// Start opens a flow.
func (all Callers) Start(f *Fleet, key flow.Key, through func() *Entry) *Caller {
	c := &Caller{Key: key, Through: through, fleet: f}
	all[key] = c
	c.send(0, func(n uint32) []byte {
		if c.Open {
			return nil
		}
		return Open(key, n)
	})
	return c
}

// Request sends a request on an open flow.
func (c *Caller) Request() {
	want := c.Answers + 1
	c.send(0, func(uint32) []byte {
		if c.Answers >= want {
			return nil
		}
		return Packet{Flow: c.Key, Flags: ACK, Seq: 1001 + uint32(want)*100, Ack: c.First + 1, Data: 100}.Bytes()
	})
}

// send sends a packet until make returns none.
func (c *Caller) send(n int, make func(uint32) []byte) {
	packet := make(uint32(n))
	if packet == nil || c.Reset {
		return
	}
	c.fleet.FromCaller(c.Through(), packet)
	if n < len(resendAfter) {
		c.fleet.After(resendAfter[n], func() { c.send(n+1, make) })
	}
}

func (c *Caller) got(s flow.Segment) {
	switch {
	case s.Resetting:
		c.Reset = true
	case s.Opening && !c.Open:
		c.Open, c.First = true, s.Seq
		c.Request()
	case s.Data > 0 && c.Open && s.Seq == c.First+1:
		c.Answers++
	}
}
