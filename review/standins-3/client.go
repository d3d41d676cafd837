//go:build review3

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

func requestID(text string) string {
	_, rest, _ := strings.Cut(text, "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// clients is the machine of the clients of a zone.
type clients struct {
	lab  *lab
	zone string
	ip   netip.Addr
	conn *net.UDPConn
	mu   sync.Mutex
	next uint16
	byIt map[string]*clientFlow
}

// clientFlow is a flow of a client.
type clientFlow struct {
	c             *clients
	name          string
	src, dst      netip.AddrPort
	inbox         chan packet
	seq, expected uint32
	// lastAck is the client's last acknowledgement.
	lastAck uint32
	isOpen  bool
	reset   bool
}

func (l *lab) newClients(n int) (*clients, error) {
	ip := l.address(clientKind, n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, packetsPort)))
	if err != nil {
		return nil, fmt.Errorf("listening as clients: %w", err)
	}
	c := &clients{lab: l, zone: zones[n], ip: ip, conn: conn, next: 20000, byIt: make(map[string]*clientFlow)}
	go func() {
		b := make([]byte, 2000)
		for {
			k, _, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			c.receive(bytes.Clone(b[:k]))
		}
	}()
	return c, nil
}

func (c *clients) receive(b []byte) {
	p, ok := parse(b)
	name := flowName(p.dst, p.src)
	c.mu.Lock()
	f := c.byIt[name]
	c.mu.Unlock()
	switch {
	case f == nil:
		return
	case !ok && !p.isSystemSent:
		c.lab.broken("MIXED", "the client of %s got a packet that its sender didn't write so: %v", name, p)
		return
	case p.isSystemSent:
		// A reset of the system counts only with a number near the client's last acknowledgement, or if the flow isn't open.
		if d := int32(p.seq - f.lastAck); f.isOpen && (d > 76800 || d < -76800) {
			c.lab.note("client %s: void reset, seq %d, last ack %d", name, p.seq, f.lastAck)
			return
		}
		c.lab.resetArrived(name)
	}
	select {
	case f.inbox <- p:
	default:
	}
}

// dial returns a flow of the next zone's clients that isn't open.
func (l *lab) dial(to netip.AddrPort) *clientFlow {
	l.dialed++
	return l.clients[l.dialed%len(l.clients)].dial(to)
}

func (c *clients) dial(to netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	f := &clientFlow{c: c, src: netip.AddrPortFrom(c.ip, c.next), dst: to, inbox: make(chan packet, 64), seq: c.lab.random()}
	f.name = flowName(f.src, f.dst)
	c.byIt[f.name] = f
	return f
}

func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.src, f.dst
	if p.has(flagACK) {
		f.lastAck = p.ack
	}
	f.c.lab.route(f, p)
}

// open opens the flow: an opening packet, copies after 200 ms and 600 ms, and the end of the attempt after 1.4 s.
func (f *clientFlow) open() bool {
	begun := time.Now()
	for n, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		until := begun.Add([]time.Duration{200, 600, 1400}[n] * time.Millisecond)
		_ = at
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(n)})
		for time.Now().Before(until) {
			select {
			case p := <-f.inbox:
				if p.has(flagRST) {
					f.reset = true
					return false
				}
				if p.has(flagSYN) && p.has(flagACK) && p.ack == f.seq+1 {
					f.isOpen = true
					f.seq++
					f.expected = p.seq + 1
					f.send(packet{flags: flagACK, seq: f.seq, ack: f.expected})
					return true
				}
			case <-time.After(time.Until(until)):
			}
		}
	}
	return false
}

// request sends a request and waits for its answer, until the deadline. It returns the host that answered.
func (f *clientFlow) request(id string, deadline time.Duration) (string, bool) {
	text := []byte(fmt.Sprintf("GET /work HTTP/1.1\r\nHost: review\r\nRequest-Id: %s\r\n\r\n", id))
	end, at := time.Now().Add(deadline), f.seq
	f.c.lab.sentRequest(id)
	f.seq += uint32(len(text))
	isAcked, tries := false, 0
	var answer []byte
	early := make(map[uint32][]byte)
	for time.Now().Before(end) {
		if !isAcked {
			f.send(packet{flags: flagACK, seq: at, ack: f.expected, data: text})
		}
		until := time.Now().Add(min(200*time.Millisecond<<tries, 1600*time.Millisecond))
		if until.After(end) || isAcked {
			until = end
		}
		tries++
		for waiting := true; waiting; {
			select {
			case p := <-f.inbox:
				if p.has(flagRST) {
					f.reset = true
					return "", false
				}
				if p.has(flagSYN) {
					f.send(packet{flags: flagACK, seq: f.seq, ack: f.expected})
					continue
				}
				if p.ack == f.seq {
					isAcked = true
				}
				if len(p.data) > 0 {
					if int32(p.seq-f.expected) >= 0 {
						early[p.seq] = p.data
					}
					for d, ok := early[f.expected]; ok; d, ok = early[f.expected] {
						delete(early, f.expected)
						f.expected += uint32(len(d))
						answer = append(answer, d...)
					}
					f.send(packet{flags: flagACK, seq: f.seq, ack: f.expected})
				}
				if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.expected {
					f.expected++
					f.send(packet{flags: flagACK | flagFIN, seq: f.seq, ack: f.expected})
				}
				if host, ok := answeredBy(string(answer), id); ok {
					f.c.lab.answeredRequest(id, host)
					return host, true
				}
				if len(answer) > 0 && bytes.Contains(answer, []byte("answer to ")) && !bytes.Contains(answer, []byte("answer to "+id)) {
					f.c.lab.broken("MIXED", "request %s got another answer: %q", id, answer)
				}
			case <-time.After(time.Until(until)):
				waiting = false
			}
		}
	}
	return "", false
}

func answeredBy(answer, id string) (string, bool) {
	if !strings.HasSuffix(answer, "\r\n\r\nanswer to "+id) {
		return "", false
	}
	_, rest, _ := strings.Cut(answer, "Response-Stamp: ")
	host, _, _ := strings.Cut(rest, "\r\n")
	return host, true
}

// close closes the flow.
func (f *clientFlow) close() {
	f.send(packet{flags: flagACK | flagFIN, seq: f.seq, ack: f.expected})
}
