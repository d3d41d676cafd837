package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/platform"
)

const (
	answerBytes  = 600
	requestBytes = 200
	// closingRequestBytes is the size of a request after whose answer the host closes the flow.
	closingRequestBytes = requestBytes + 1
	// firstPartBytes is the size of the first packet of a request of two.
	firstPartBytes = requestBytes - 1
	// openTimeout and requestTimeout are the times after which a caller abandons an opening and a request;
	// closeTimeout is how long it repeats an unacknowledged FIN.
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 3 * time.Second
	closeTimeout   = 8 * time.Second
	// requestsPerFlow is the number of consecutive requests of a flow with several requests. Lasting flows are used
	// until their host closes or loses them; with lastingRequests they stay below the age of a minute at which
	// processes may discard flows.
	requestsPerFlow = 4
	lastingRequests = 100
	// thinkTime is the mean pause between requests.
	thinkTime = 300 * time.Millisecond
	// firstRetransmitDelay is the delay before the first retransmission of a packet. It doubles with each one up to
	// maxRetransmitDelay.
	firstRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay   = 1600 * time.Millisecond
)

// retransmitDelay returns the delay after the nth transmission of a packet, counted from 0.
func retransmitDelay(n int) time.Duration {
	return min(firstRetransmitDelay<<min(n, 3), maxRetransmitDelay)
}

// callerVM simulates one caller VM with many flows.
type callerVM struct {
	run  *run
	ip   netip.Addr
	conn *net.UDPConn

	mu sync.Mutex
	// flows holds the channel that receives each flow's packets. Guarded by mu.
	flows map[flow.Key]chan flow.Segment
	// numbers holds the sequence numbers of each flow that was open, also after its end, to check resets. Guarded by mu.
	numbers map[flow.Key]flowNumbers
}

// flowNumbers are the initial sequence number of a flow's host and the caller's last acknowledgement.
type flowNumbers struct{ initialSeq, ack uint32 }

func (r *run) newCallerVM(ctx context.Context) (*callerVM, error) {
	c := &callerVM{run: r, ip: r.address(callerKind, 0), flows: make(map[flow.Key]chan flow.Segment), numbers: make(map[flow.Key]flowNumbers)}
	pc, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", netip.AddrPortFrom(c.ip, packetsPort).String())
	if err != nil {
		return nil, fmt.Errorf("listening as callers: %w", err)
	}
	c.conn = pc.(*net.UDPConn)
	return c, nil
}

// serve dispatches packets to their flows until the socket is closed.
func (c *callerVM) serve() <-chan error { return readPackets(c.conn, c.receive) }

func (c *callerVM) receive(packet []byte) {
	s, err := platform.DecodePacket(packet, platform.FromHost)
	if err != nil {
		c.run.fail("a caller received an invalid packet")
		return
	}
	c.mu.Lock()
	inbox := c.flows[s.Key]
	numbers, opened := c.numbers[s.Key]
	if !opened && inbox != nil && s.IsSYN && s.IsACK {
		c.numbers[s.Key] = flowNumbers{initialSeq: s.Seq, ack: s.Seq + 1}
	}
	c.mu.Unlock()
	if s.IsRST && opened {
		c.run.checkReset(s.Key, numbers.initialSeq, numbers.ack, s.Seq)
	}
	select {
	case inbox <- s:
	default:
	}
}

// readPackets passes each packet to handle, which must not retain it, until the socket is closed.
func readPackets(conn *net.UDPConn, handle func(packet []byte)) <-chan error {
	return background(func() {
		buffer := make([]byte, platform.MaxPacketBytes+1)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			handle(buffer[:n])
		}
	})
}

// callerFlow is one flow of a caller: seq is its next sequence number, ack the next one that it expects, which is 0
// until the flow is open.
type callerFlow struct {
	vm       *callerVM
	key      flow.Key
	inbox    chan flow.Segment
	seq, ack uint32
}

// runFlow opens a flow, sends its requests until a time at most, and closes it. A quarter of the flows have several
// requests and a sixteenth last; the host closes the others after their only answer.
func (c *callerVM) runFlow(ctx context.Context, key flow.Key, until time.Time) {
	f := &callerFlow{vm: c, key: key, inbox: make(chan flow.Segment, 32)}
	c.mu.Lock()
	c.flows[key] = f.inbox
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, key)
		c.mu.Unlock()
	}()
	start := time.Now()
	synAck, opened := f.exchange(ctx, openTimeout, func(n uint32) []byte { return packettest.Open(key, n) },
		func(s flow.Segment) bool { return s.IsSYN && s.IsACK })
	if !opened {
		c.run.recordRequest(key, start, false)
		return
	}
	f.seq, f.ack = 1001, synAck.Seq+1
	c.mu.Lock()
	c.numbers[key] = flowNumbers{initialSeq: synAck.Seq, ack: f.ack}
	c.mu.Unlock()
	requests := 1
	switch key.Caller.Port % 16 {
	case 1, 4, 9, 12:
		requests = requestsPerFlow
	case 3:
		requests = lastingRequests
	}
	for n := 1; ; n++ {
		last := n == requests || !time.Now().Before(until)
		if !f.request(ctx, last) || last {
			return
		}
		think := min(time.Duration(rand.ExpFloat64()*float64(thinkTime)), time.Until(until))
		if reset, _ := f.exchange(ctx, think, nil, nil); reset.IsRST || ctx.Err() != nil {
			return
		}
	}
}

// request sends a request, and closes the flow if the host does or does not answer. It reports whether the flow is
// still open.
func (f *callerFlow) request(ctx context.Context, last bool) bool {
	expected, size := f.ack, requestBytes
	if last {
		size = closingRequestBytes
	}
	var first []byte
	if f.sendsUploads() {
		first = packettest.Packet{Flow: f.key, Flags: packettest.ACK, Seq: f.seq, Ack: f.ack, DataBytes: firstPartBytes}.Bytes()
		f.seq += firstPartBytes
	}
	packet := packettest.Packet{Flow: f.key, Flags: packettest.ACK, Seq: f.seq, Ack: f.ack, DataBytes: size}.Bytes()
	f.seq += uint32(size)
	sent := time.Now()
	sendBoth := func(uint32) []byte {
		if first != nil {
			f.send(first)
		}
		return packet
	}
	answer, ok := f.exchange(ctx, requestTimeout, sendBoth,
		func(s flow.Segment) bool { return s.DataBytes > 0 && s.Seq == expected })
	f.vm.run.recordRequest(f.key, sent, ok)
	if ok && !answer.IsFIN {
		return true
	}
	if !answer.IsRST {
		f.close(ctx)
	}
	return false
}

// sendsUploads reports whether the requests of the flow have two packets.
func (f *callerFlow) sendsUploads() bool { return f.key.Caller.Port%8 == 4 }

// close sends a FIN until the host acknowledges it.
func (f *callerFlow) close(ctx context.Context) {
	f.exchange(ctx, closeTimeout, func(uint32) []byte { return f.packet(packettest.FIN | packettest.ACK) },
		func(s flow.Segment) bool { return s.IsACK && s.Ack == f.seq+1 })
}

// packet returns a packet without data.
func (f *callerFlow) packet(flags byte) []byte {
	return packettest.Packet{Flow: f.key, Flags: flags, Seq: f.seq, Ack: f.ack}.Bytes()
}

// exchange sends and retransmits a packet until an answer that accept matches, a reset or the timeout, and
// acknowledges data. If packet and accept are nil, it only receives. On an open flow only a reset near the last
// acknowledgement number counts.
func (f *callerFlow) exchange(ctx context.Context, limit time.Duration, packet func(uint32) []byte, accept func(flow.Segment) bool) (flow.Segment, bool) {
	timeout := time.After(limit)
	var retransmit <-chan time.Time
	for n := 0; ; n++ {
		if packet != nil {
			f.send(packet(uint32(n)))
			retransmit = time.After(retransmitDelay(n))
		}
	wait:
		for {
			select {
			case s := <-f.inbox:
				if accepted, isReset := f.receive(s, accept); accepted || isReset {
					return s, accepted
				}
			case <-retransmit:
				break wait
			case <-timeout:
				return flow.Segment{}, false
			case <-ctx.Done():
				return flow.Segment{}, false
			}
		}
	}
}

// receive handles a packet of the host.
func (f *callerFlow) receive(s flow.Segment, accept func(flow.Segment) bool) (accepted, isReset bool) {
	if s.IsRST {
		return false, f.ack == 0 || flow.WithinWindow(f.ack, s.Seq)
	}
	accepted = accept != nil && accept(s)
	if s.DataBytes > 0 && f.ack != 0 {
		if s.Seq == f.ack {
			f.ack += uint32(s.DataBytes)
			if s.IsFIN {
				f.ack++
			}
			f.vm.mu.Lock()
			f.vm.numbers[f.key] = flowNumbers{initialSeq: f.vm.numbers[f.key].initialSeq, ack: f.ack}
			f.vm.mu.Unlock()
		}
		f.send(f.packet(packettest.ACK))
	}
	return accepted, false
}

// send sends a packet through an entry.
func (f *callerFlow) send(packet []byte) {
	entry := f.vm.run.nextEntry(f.key)
	f.vm.run.recordSent(f.key, packet, entry)
	_, _ = f.vm.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(entry.ip, packetsPort))
}
