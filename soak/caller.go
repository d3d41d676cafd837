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
	// requestTimeout is the time after which a caller abandons a request.
	requestTimeout = 3 * time.Second
	// requestsPerFlow is the number of consecutive requests of a flow. Several of them make flows outlive
	// faults.
	requestsPerFlow = 4
	// thinkTime is the mean pause between requests.
	thinkTime = 300 * time.Millisecond
)

// retransmitDelays are the delays before each retransmission of a packet.
var retransmitDelays = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// callerVM simulates one caller VM with many flows.
type callerVM struct {
	run  *run
	ip   netip.Addr
	conn *net.UDPConn

	mu sync.Mutex
	// flows holds the channel that receives each flow's packets. Guarded by mu.
	flows map[flow.Key]chan flow.Segment
}

func (r *run) newCallerVM(ctx context.Context) (*callerVM, error) {
	c := &callerVM{run: r, ip: r.address(callerKind, 0), flows: make(map[flow.Key]chan flow.Segment)}
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
	c.mu.Unlock()
	select {
	case inbox <- s:
	default:
	}
}

// readPackets passes each packet to handle, which must not retain it, until the socket is closed.
func readPackets(conn *net.UDPConn, handle func(packet []byte)) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		buffer := make([]byte, platform.MaxPacketBytes+1)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			handle(buffer[:n])
		}
	}()
	return done
}

// runFlow opens a flow and sends its requests.
func (c *callerVM) runFlow(ctx context.Context, key flow.Key) {
	inbox := make(chan flow.Segment, 32)
	c.mu.Lock()
	c.flows[key] = inbox
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, key)
		c.mu.Unlock()
	}()
	start := time.Now()
	synAck, opened := c.exchange(ctx, inbox, 0, func(n uint32) []byte { return packettest.Open(key, n) },
		func(s flow.Segment) bool { return s.IsSYN && s.IsACK })
	if !opened {
		c.run.recordRequest(key, start, false)
		return
	}
	for n := range uint32(requestsPerFlow) {
		request := packettest.Packet{Flow: key, Flags: packettest.ACK, Seq: 1001 + n*requestBytes, Ack: synAck.Seq + 1, DataBytes: requestBytes}.Bytes()
		c.run.recordSent(request)
		sent := time.Now()
		answer, ok := c.exchange(ctx, inbox, synAck.Seq+1, func(uint32) []byte { return request }, func(s flow.Segment) bool { return s.DataBytes > 0 })
		if answer.IsRST {
			c.run.checkReset(key, synAck.Seq)
		}
		c.run.recordRequest(key, sent, ok)
		if !ok || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(thinkTime)))
	}
}

// exchange sends and retransmits a packet until an answer that accept matches, a reset or the timeout. On an
// open flow only a reset near the last acknowledgement number ack counts; ack is 0 if the flow isn't open.
func (c *callerVM) exchange(ctx context.Context, inbox <-chan flow.Segment, ack uint32, packet func(uint32) []byte, accept func(flow.Segment) bool) (flow.Segment, bool) {
	timeout := time.After(requestTimeout)
	for n := uint32(0); ; n++ {
		c.send(packet(n))
		delay := time.Hour
		if int(n) < len(retransmitDelays) {
			delay = retransmitDelays[n]
		}
		retransmit := time.After(delay)
	wait:
		for {
			select {
			case s := <-inbox:
				if s.IsRST && (ack == 0 || flow.WithinWindow(ack, s.Seq)) {
					return s, false
				}
				if !s.IsRST && accept(s) {
					return s, true
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

// send sends a packet through a random entry in rotation, as the fabric does.
func (c *callerVM) send(packet []byte) {
	c.run.recordSent(packet)
	_, _ = c.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(c.run.nextEntry(), packetsPort))
}
