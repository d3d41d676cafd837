package main

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

func newReader(b []byte) *bufio.Reader { return bufio.NewReader(bytes.NewReader(b)) }

// client is a stand-in of the clients of one zone. All flows share its socket, as packets for a client go to one port.
type client struct {
	f    *fleet
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]*clientFlow
}

// clientFlow is a flow at the client.
type clientFlow struct {
	c       *client
	key     flowKey
	packets chan packet
	// zone is the zone whose entries get the packets; entry, if set, gets all of them.
	entry *process

	// mu guards the fields below.
	mu        sync.Mutex
	next, ack uint32
	open      bool
}

// state returns the flow's next sequence number and its last acknowledgement, and whether it is open.
func (f *clientFlow) state() (next, ack uint32, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.ack, f.open
}

func (f *clientFlow) set(next, ack uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.ack, f.open = next, ack, true
}

func (f *fleet) startClient(ip netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, f.ports.datagram)))
	if err != nil {
		return nil, err
	}
	c := &client{f: f, ip: ip, conn: conn, flows: make(map[flowKey]*clientFlow), port: 40000}
	go func() {
		b := make([]byte, 4096)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				if f.ended() {
					return
				}
				continue
			}
			if p, ok := decode(b[:n]); ok {
				c.receive(p)
			} else {
				f.rec.breakRule("MIXED", "the client got bytes that are no packet")
			}
		}
	}()
	return c, nil
}

func (c *client) receive(p packet) {
	key := flowKey{p.dst, p.src}
	isReset := p.is(flagRST) && p.sum == 0 && len(p.data) == 0
	if !isReset && !p.intact() {
		c.f.rec.breakRule("MIXED", "the client got a packet of %s that its sender didn't write so", key)
		return
	}
	c.mu.Lock()
	f := c.flows[key]
	c.mu.Unlock()
	if f == nil {
		return
	}
	if next, ack, open := f.state(); open && (len(p.data) > 0 && p.seq+uint32(len(p.data)) == ack || p.is(flagSYN) && p.seq+1 == ack) {
		// The host sends it again, as an acknowledgement was lost.
		f.send(packet{flags: flagACK, seq: next, ack: ack})
		return
	}
	select {
	case f.packets <- p:
	default:
	}
}

// newFlow returns a flow from a new port that has not been opened.
func (c *client) newFlow(route end) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	key := flowKey{end{c.ip, c.port}, route}
	f := &clientFlow{c: c, key: key, packets: make(chan packet, 64), next: rand.Uint32()}
	c.flows[key] = f
	return f
}

func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.key.client, f.key.route
	entry := f.entry
	if entry == nil {
		entry = f.c.f.routerPick(f.key)
	}
	if entry != nil {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(entry.ip, f.c.f.ports.datagram))
	}
}

// Outcomes of an attempt.
const (
	answered  = "answered"
	resetHere = "reset"
	timedOut  = "no answer"
)

// connect opens the flow. The opening packet is sent again after 200 and 600 ms; the attempt ends after 1.4 s.
func (f *clientFlow) connect() string {
	isn, _, _ := f.state()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	start := time.Now()
	for n := 0; n < 3; n++ {
		f.send(packet{flags: flagSYN, seq: isn, ack: uint32(n)})
		for {
			select {
			case p := <-f.packets:
				switch {
				case p.is(flagRST):
					return resetHere
				case p.is(flagSYN | flagACK):
					f.set(isn+1, p.seq+1)
					return ""
				}
				continue
			case <-time.After(time.Until(start.Add(copies[n+1]))):
			}
			break
		}
	}
	return timedOut
}

// request sends a request on the flow and returns the outcome.
func (f *clientFlow) request(r request, deadline time.Duration) string {
	if _, _, open := f.state(); !open {
		if outcome := f.connect(); outcome != "" {
			return outcome
		}
	}
	data := r.encode()
	seq, ack, _ := f.state()
	next := seq + uint32(len(data))
	f.set(next, ack)
	end := time.Now().Add(deadline)
	f.c.f.rec.add("client sends request %s on %s", r.id, f.key)
	f.c.f.noteSent(r.id)
	f.send(packet{flags: flagACK, seq: seq, ack: ack, data: data})
	wait, acked := firstRetransmit, false
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case p := <-f.packets:
			switch {
			case p.is(flagRST):
				if outcome := f.onReset(p, ack); outcome != "" {
					return outcome
				}
			case len(p.data) > 0 && p.seq == ack:
				ack += uint32(len(p.data))
				f.set(next, ack)
				f.send(packet{flags: flagACK, seq: next, ack: ack})
				return f.check(r, p)
			case p.is(flagACK) && p.ack == next:
				acked = true
			}
		case <-timer.C:
			if time.Now().After(end) {
				f.c.f.noteGivenUp(f.key)
				return timedOut
			}
			if !acked {
				f.send(packet{flags: flagACK, seq: seq, ack: ack, data: data})
			}
			wait = min(2*wait, maxRetransmit)
			timer.Reset(min(wait, max(time.Until(end), time.Millisecond)))
		}
	}
}

// onReset handles a reset on an open flow: one of the system counts within 76,800 of the last acknowledgement.
func (f *clientFlow) onReset(p packet, ack uint32) string {
	if p.sum == 0 {
		if d := min(p.seq-ack, ack-p.seq); d > 76800 {
			return ""
		}
		f.c.f.noteReset(f.key)
	}
	f.c.f.rec.add("client gets a reset of %s", f.key)
	return resetHere
}

func (f *clientFlow) check(r request, p packet) string {
	res, err := http.ReadResponse(newReader(p.data), nil)
	if err != nil || res.Header.Get("Request-Id") != r.id {
		f.c.f.rec.breakRule("MIXED", "the client got another answer than that to %s on %s", r.id, f.key)
	}
	return answered
}

// close closes the flow.
func (f *clientFlow) close() {
	if next, ack, open := f.state(); open {
		f.send(packet{flags: flagFIN | flagACK, seq: next, ack: ack})
	}
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key)
}
