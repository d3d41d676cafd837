package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// parseRequest returns the id of the first request of a byte stream and what follows it.
func parseRequest(b []byte) (id string, rest []byte, ok bool) {
	head, after, found := bytes.Cut(b, []byte("\r\n\r\n"))
	if !found {
		return "", nil, false
	}
	length := 0
	for _, line := range strings.Split(string(head), "\r\n") {
		if v, is := strings.CutPrefix(line, "Request-Id: "); is {
			id = v
		}
		if v, is := strings.CutPrefix(line, "Content-Length: "); is {
			length, _ = strconv.Atoi(v)
		}
	}
	if len(after) < length {
		return "", nil, false
	}
	return id, after[length:], true
}

func requestOf(id, method string, body int) []byte {
	return append(fmt.Appendf(nil, "%s /work HTTP/1.1\r\nHost: service\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n", method, id, body),
		bytes.Repeat([]byte("b"), body)...)
}

func stampOf(id, host string) string {
	h := fnv.New64a()
	h.Write([]byte(id + host + "stamp"))
	return fmt.Sprintf("%x", h.Sum64())
}

// responseBody is the size of the body of a response.
var responseBody = 600

func responseTo(id, host string, closing bool) []byte {
	extra := ""
	if closing {
		extra = "Connection: close\r\n"
	}
	return append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nResponse-Stamp: %s\r\n%sContent-Length: %d\r\n\r\n",
		id, host, stampOf(id, host), extra, responseBody), bytes.Repeat([]byte("r"), responseBody)...)
}

// clients simulates the clients at one address of a zone.
type clients struct {
	lab  *lab
	ip   netip.Addr
	zone string
	conn *net.UDPConn
	mu   sync.Mutex
	// flows holds the inbox of each flow.
	flows map[key]chan packet
	port  uint16
}

func newClients(l *lab, zone int) *clients {
	ip := l.addr(210, byte(zone+1))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portDatagram)))
	if err != nil {
		cannotRun("clients: %v", err)
	}
	c := &clients{lab: l, ip: ip, zone: l.zones[zone], conn: conn, flows: make(map[key]chan packet), port: 20000 + uint16(rand.IntN(20000))}
	go c.receive()
	return c
}

func (c *clients) receive() {
	b := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, valid := decode(b[:n])
		if !valid && !isOwnReset(p) {
			c.lab.broke("MIXED", "client gets a packet that its sender didn't write so: %s", p.flagNames())
			continue
		}
		k := key{p.dst, p.src}
		c.mu.Lock()
		inbox := c.flows[k]
		c.mu.Unlock()
		if inbox == nil {
			continue
		}
		select {
		case inbox <- p:
		default:
		}
	}
}

// clientFlow is a client's end of a flow.
type clientFlow struct {
	c        *clients
	k        key
	inbox    chan packet
	seq, ack uint32
	initial  uint32
	early    map[uint32]packet
	buffer   []byte
	unacked  int
	closed   bool
	opened   time.Time
}

// open opens a flow; it returns nil if the attempt ended.
func (c *clients) open(route netip.AddrPort) *clientFlow {
	c.mu.Lock()
	c.port++
	k := key{netip.AddrPortFrom(c.ip, c.port), route}
	f := &clientFlow{c: c, k: k, inbox: make(chan packet, 256), seq: rand.Uint32(), early: make(map[uint32]packet)}
	c.flows[k] = f.inbox
	c.mu.Unlock()
	syn := func(n uint32) { c.lab.toEntry(k, c.zone, encode(k.client, k.route, fSYN, f.seq, n, nil)) }
	syn(0)
	copies := []<-chan time.Time{time.After(200 * time.Millisecond), time.After(600 * time.Millisecond)}
	limit := time.After(1400 * time.Millisecond)
	for {
		select {
		case <-copies[0]:
			syn(1)
			copies[0] = nil
		case <-copies[1]:
			syn(2)
			copies[1] = nil
		case <-limit:
			f.forget()
			return nil
		case p := <-f.inbox:
			switch {
			case p.is(fRST):
				f.forget()
				return nil
			case p.is(fSYN) && p.is(fACK) && p.ack == f.seq+1:
				f.seq++
				f.initial, f.ack, f.opened = p.seq, p.seq+1, time.Now()
				return f
			}
		}
	}
}

func (f *clientFlow) forget() {
	f.c.mu.Lock()
	delete(f.c.flows, f.k)
	f.c.mu.Unlock()
}

func (f *clientFlow) sendAck() {
	f.unacked = 0
	f.c.lab.toEntry(f.k, f.c.zone, encode(f.k.client, f.k.route, fACK, f.seq, f.ack, nil))
}

// result of a request.
type result struct {
	outcome string
	host    string
	took    time.Duration
}

// request sends a request and waits for its answer until the deadline.
func (f *clientFlow) request(id, method string, body int, deadline time.Duration) result {
	type chunk struct {
		seq, end uint32
		b        []byte
	}
	var chunks []chunk
	bytesOut := requestOf(id, method, body)
	start := time.Now()
	for len(bytesOut) > 0 {
		n := min(len(bytesOut), maxData)
		chunks = append(chunks, chunk{f.seq, f.seq + uint32(n), bytesOut[:n]})
		f.seq += uint32(n)
		bytesOut = bytesOut[n:]
	}
	end := f.seq
	acked, tries, inFlight := chunks[0].seq, 0, 0
	transmit := func(c chunk) {
		f.c.lab.toEntry(f.k, f.c.zone, encode(f.k.client, f.k.route, fACK, c.seq, f.ack, c.b))
	}
	fill := func() {
		for inFlight < len(chunks) && inFlight < 16 {
			transmit(chunks[inFlight])
			inFlight++
		}
	}
	fill()
	limit, timer := time.After(deadline), time.NewTimer(backoff(0))
	for {
		select {
		case <-limit:
			return result{"deadline", "", time.Since(start)}
		case <-timer.C:
			tries++
			for _, c := range chunks[:inFlight] {
				transmit(c)
			}
			timer.Reset(backoff(tries))
		case p := <-f.inbox:
			if p.is(fRST) {
				if isOwnReset(p) && p.seq-f.ack > resetWindow && f.ack-p.seq > resetWindow {
					continue
				}
				f.c.lab.gotReset(f, p)
				f.closed = true
				return result{"reset", "", time.Since(start)}
			}
			if d := p.ack - acked; p.is(fACK) && d > 0 && d <= end-acked {
				acked = p.ack
				for len(chunks) > 0 && int32(acked-chunks[0].end) >= 0 {
					chunks = chunks[1:]
					inFlight--
				}
				tries = 0
				timer.Reset(backoff(0))
				if len(chunks) == 0 {
					timer.Stop()
				} else {
					fill()
				}
			}
			f.take(p)
			if host, ok := f.parseResponse(id); ok {
				return result{"200", host, time.Since(start)}
			}
			if f.closed {
				return result{"closed", "", time.Since(start)}
			}
		}
	}
}

// take takes a packet's data in order and acknowledges every second one, and copies at once.
func (f *clientFlow) take(p packet) {
	if p.is(fSYN) || len(p.data) == 0 && !p.is(fFIN) {
		return
	}
	if p.seq != f.ack {
		if int32(p.seq-f.ack) > 0 {
			f.early[p.seq] = p
		}
		f.sendAck()
		return
	}
	for ok := true; ok; p, ok = f.early[f.ack] {
		delete(f.early, p.seq)
		f.ack += uint32(len(p.data))
		f.buffer = append(f.buffer, p.data...)
		f.unacked++
		if p.is(fFIN) {
			f.ack++
			f.closed = true
			break
		}
	}
	if f.unacked >= 2 || f.closed {
		f.sendAck()
	}
}

func (f *clientFlow) parseResponse(id string) (host string, ok bool) {
	head, after, found := bytes.Cut(f.buffer, []byte("\r\n\r\n"))
	if !found || len(after) < responseBody {
		return "", false
	}
	fields := map[string]string{}
	for _, line := range strings.Split(string(head), "\r\n") {
		if name, v, is := strings.Cut(line, ": "); is {
			fields[name] = v
		}
	}
	if fields["Request-Id"] != id || fields["Response-Stamp"] != stampOf(id, fields["Instance-Id"]) {
		f.c.lab.broke("MIXED", "flow %s: the answer to %s names %s", f.k, id, fields["Request-Id"])
	}
	f.buffer = after[responseBody:]
	f.sendAck()
	return fields["Instance-Id"], true
}

// pause receives for a time, as a client that keeps its flow open.
func (f *clientFlow) pause(d time.Duration) {
	limit := time.After(d)
	for {
		select {
		case <-limit:
			return
		case p := <-f.inbox:
			if p.is(fRST) && (!isOwnReset(p) || p.seq-f.ack <= resetWindow || f.ack-p.seq <= resetWindow) {
				f.c.lab.gotReset(f, p)
				f.closed = true
				return
			}
			f.take(p)
		}
	}
}

// close sends a FIN until it is acknowledged, for a few seconds.
func (f *clientFlow) close() {
	defer f.forget()
	f.c.lab.clientLeft(f.k)
	fin := encode(f.k.client, f.k.route, fACK|fFIN, f.seq, f.ack, nil)
	for n := range 4 {
		f.c.lab.toEntry(f.k, f.c.zone, fin)
		limit := time.After(backoff(n))
	wait:
		for {
			select {
			case <-limit:
				break wait
			case p := <-f.inbox:
				if p.is(fACK) && p.ack == f.seq+1 || p.is(fRST) {
					return
				}
			}
		}
	}
}
