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
	// deadline is when a caller gives its request up.
	deadline = 3 * time.Second
	// requestsPerFlow are sent one after the other, so that flows outlive faults.
	requestsPerFlow = 4
	// thinkTime is the mean pause between them.
	thinkTime = 300 * time.Millisecond
)

// resendAfter are the pauses after which a packet is sent again.
var resendAfter = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// callers is one caller VM with many flows.
type callers struct {
	run  *run
	ip   netip.Addr
	conn *net.UDPConn

	mu sync.Mutex
	// flows is guarded by mu.
	flows map[flow.Key]chan flow.Segment
}

func (r *run) newCallers(ctx context.Context) (*callers, error) {
	c := &callers{run: r, ip: r.address(callerKind, 0), flows: make(map[flow.Key]chan flow.Segment)}
	pc, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", netip.AddrPortFrom(c.ip, packetsPort).String())
	if err != nil {
		return nil, fmt.Errorf("listening as callers: %w", err)
	}
	c.conn = pc.(*net.UDPConn)
	return c, nil
}

// serve hands packets to their flows until the socket is closed.
func (c *callers) serve() <-chan error { return readPackets(c.conn, c.got) }

func (c *callers) got(packet []byte) {
	s, err := platform.DecodePacket(packet, platform.FromHost)
	if err != nil {
		c.run.fail("a caller got what is no packet")
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

// readPackets passes packets to got, which keeps no part of them, until the socket is closed.
func readPackets(conn *net.UDPConn, got func(packet []byte)) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		buffer := make([]byte, platform.MaxPacketBytes+1)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			got(buffer[:n])
		}
	}()
	return done
}

// flow runs one flow of some requests.
func (c *callers) flow(ctx context.Context, key flow.Key) {
	inbox := make(chan flow.Segment, 32)
	c.mu.Lock()
	c.flows[key] = inbox
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, key)
		c.mu.Unlock()
	}()
	began := time.Now()
	first, opened := c.exchange(ctx, inbox, 0, func(n uint32) []byte { return packettest.Open(key, n) },
		func(s flow.Segment) bool { return s.Opening && s.Acking })
	if !opened {
		c.run.count(key, began, false)
		return
	}
	for n := range uint32(requestsPerFlow) {
		request := packettest.Packet{Flow: key, Flags: packettest.ACK, Seq: 1001 + n*requestBytes, Ack: first.Seq + 1, Data: requestBytes}.Bytes()
		c.run.sentPacket(request)
		sent := time.Now()
		answer, ok := c.exchange(ctx, inbox, first.Seq+1, func(uint32) []byte { return request }, func(s flow.Segment) bool { return s.Data > 0 })
		if answer.Resetting {
			c.run.checkReset(key, first.Seq)
		}
		c.run.count(key, sent, ok)
		if !ok || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(thinkTime)))
	}
}

// exchange sends a packet until an answer comes that fits, a reset, or the
// deadline. On an open flow only a reset near the last acknowledgement ack counts; 0 stands for a flow that isn't open.
func (c *callers) exchange(ctx context.Context, inbox <-chan flow.Segment, ack uint32, packet func(uint32) []byte, fits func(flow.Segment) bool) (flow.Segment, bool) {
	limit := time.After(deadline)
	for n := uint32(0); ; n++ {
		c.send(packet(n))
		pause := time.Hour
		if int(n) < len(resendAfter) {
			pause = resendAfter[n]
		}
		again := time.After(pause)
	wait:
		for {
			select {
			case s := <-inbox:
				if s.Resetting && (ack == 0 || flow.Near(ack, s.Seq)) {
					return s, false
				}
				if !s.Resetting && fits(s) {
					return s, true
				}
			case <-again:
				break wait
			case <-limit:
				return flow.Segment{}, false
			case <-ctx.Done():
				return flow.Segment{}, false
			}
		}
	}
}

// send sends a packet through a random entry that is in rotation, as the fabric does.
func (c *callers) send(packet []byte) {
	c.run.sentPacket(packet)
	_, _ = c.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(c.run.fabric(), packetsPort))
}
