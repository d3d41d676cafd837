package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	hostGivesUp     = 8
)

func backoff(n int) time.Duration { return min(firstRetransmit<<min(n, 4), maxRetransmit) }

// host is an application host on a side machine, as PROTOCOL.md, "Hosts" and "Flows", describes it. It answers each request
// line with a body that names the request.
type host struct {
	lab       *lab
	ip        netip.Addr
	zone      string
	service   string
	capacity  int
	work      time.Duration
	udp       *net.UDPConn
	health    *http.Server
	mu        sync.Mutex
	running   bool
	state     string
	id        string
	born      int64
	sequence  int
	flows     map[key]*hostFlow
	slots     chan struct{}
	ackedAt   time.Time // of a heartbeat that says draining
	clockStep time.Duration
	stop      chan struct{}
	openings  []time.Time
}

// hostFlow is a flow at a host.
type hostFlow struct {
	k          key
	initial    uint32 // own first number
	next       uint32 // next own number to send
	expected   uint32 // next number of the client
	open       bool
	ended      bool
	clientFIN  bool
	unacked    int // in-order packets since the last ack
	early      map[uint32]packet
	buffer     []byte
	sent       []hostPacket
	acked      uint32
	retransmit *time.Timer
	tries      int
}

type hostPacket struct {
	seq, end uint32
	flags    byte
	data     []byte
}

func (h *host) app() netip.AddrPort { return netip.AddrPortFrom(h.ip, portApp) }

// start starts a new incarnation.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.app()))
	if err != nil {
		cannotRun("host: %v", err)
	}
	listener, err := net.Listen("tcp4", h.app().String())
	if err != nil {
		cannotRun("host: %v", err)
	}
	h.udp, h.running, h.state = conn, true, "ready"
	h.id = fmt.Sprintf("i-%08x", rand.Uint32())
	h.born = time.Now().Add(h.clockStep).UnixMilli()
	h.sequence, h.flows, h.ackedAt = 0, make(map[key]*hostFlow), time.Time{}
	h.slots, h.stop = make(chan struct{}, h.capacity), make(chan struct{})
	h.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", h.id)
		if h.stateNow() != "ready" {
			w.WriteHeader(503)
		}
	})}
	go h.health.Serve(listener)
	go h.receive(conn)
	go h.beat(h.stop)
	h.lab.log("host %s starts as %s, born %d", h.ip, h.id, h.born)
}

func (h *host) stateNow() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// end ends the incarnation without a word; its flows are lost.
func (h *host) end(why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running {
		return
	}
	h.running = false
	close(h.stop)
	h.udp.Close()
	h.health.Close()
	for _, f := range h.flows {
		if f.retransmit != nil {
			f.retransmit.Stop()
		}
		if f.open && !f.ended {
			h.lab.flowEnded(f.k)
		}
	}
	h.lab.log("host %s (%s) ends: %s", h.ip, h.id, why)
}

func (h *host) call(method string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	h.mu.Lock()
	id := h.id
	h.mu.Unlock()
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d/instances/%s", h.ip, portControl, id), bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func (h *host) sendBeat() {
	h.mu.Lock()
	if !h.running {
		h.mu.Unlock()
		return
	}
	h.sequence++
	state, id := h.state, h.id
	if state == "left" {
		h.mu.Unlock()
		return
	}
	body, _ := json.Marshal(map[string]any{
		"service": h.service, "address": h.app().String(), "zone": h.zone, "version": "v1", "capacity": h.capacity,
		"state": state, "warmupLeftMs": 0, "sequence": h.sequence, "born": h.born,
	})
	h.mu.Unlock()
	status := h.call(http.MethodPut, body)
	h.mu.Lock()
	defer h.mu.Unlock()
	if status/100 == 2 && state == "draining" && h.ackedAt.IsZero() && h.id == id {
		h.ackedAt = time.Now()
		h.lab.log("host %s (%s): its draining is acknowledged", h.ip, h.id)
	}
}

func (h *host) beat(stop chan struct{}) {
	for {
		h.sendBeat()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (h *host) drain() {
	h.mu.Lock()
	h.state = "draining"
	h.mu.Unlock()
	h.lab.log("host %s drains", h.ip)
	go h.sendBeat()
}

// leave announces the end of a drained host and ends it.
func (h *host) leave() {
	h.mu.Lock()
	h.state = "left"
	h.mu.Unlock()
	h.call(http.MethodDelete, nil)
	h.end("it has drained")
}

func (h *host) receive(conn *net.UDPConn) {
	b := make([]byte, 4096)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, valid := decode(b[:n])
		if !valid {
			h.lab.broke("UNASKED", "host %s gets a packet that its sender didn't write so", h.ip)
			continue
		}
		h.handle(p)
	}
}

func (h *host) send(b []byte) {
	h.udp.WriteToUDPAddrPort(b, netip.AddrPortFrom(h.ip, portOutbound))
}

func (h *host) handle(p packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running {
		return
	}
	k := key{p.src, p.dst}
	h.lab.arrived(h, k, p)
	f := h.flows[k]
	switch {
	case p.is(fSYN) && p.is(fACK):
		h.lab.log("host %s drops a forged SYN+ACK", h.ip)
	case p.opens():
		if f == nil || f.ended {
			f = &hostFlow{k: k, initial: rand.Uint32(), expected: p.seq + 1, early: make(map[uint32]packet)}
			f.next, f.acked = f.initial+1, f.initial+1
			h.flows[k] = f
			h.openings = append(h.openings, time.Now())
			h.lab.opening(h, k)
		}
		h.send(encode(p.dst, p.src, fSYN|fACK, f.initial, f.expected, nil))
	case f == nil || !f.open && p.ack != f.initial+1 || f.open && p.ack-f.initial > 1<<24:
		// The host doesn't hold the flow.
		bounced := bytes.Clone(p.raw)
		bounced[22] |= fBOUNCED
		clear(bounced[23:28])
		h.send(bounced)
	case f.ended:
		switch {
		case p.is(fFIN):
			h.send(encode(p.dst, p.src, fACK, f.next, p.seq+uint32(len(p.data))+1, nil))
		case len(p.data) > 0:
			h.send(encode(p.dst, p.src, fRST, f.next, f.expected, nil))
		}
	default:
		h.handleOpen(f, p)
	}
}

// handleOpen handles a packet of a flow that the host holds.
func (h *host) handleOpen(f *hostFlow, p packet) {
	if !f.open {
		f.open = true
		h.lab.flowOpened(f.k, h)
	}
	if p.is(fRST) {
		h.endFlow(f)
		return
	}
	if d := p.ack - f.acked; d > 0 && d < 1<<24 {
		f.acked, f.tries = p.ack, 0
		for len(f.sent) > 0 && int32(f.acked-f.sent[0].end) >= 0 {
			f.sent = f.sent[1:]
		}
		h.arm(f)
	}
	if len(p.data) == 0 && !p.is(fFIN) {
		return
	}
	switch d := int32(p.seq - f.expected); {
	case d < 0 || p.seq != f.expected && f.early[p.seq].raw != nil:
		// A copy: the ack was lost or is still to come.
		h.ack(f)
	case d > 0:
		f.early[p.seq] = p
		h.ack(f)
	default:
		for ok := true; ok; p, ok = f.early[f.expected] {
			delete(f.early, p.seq)
			f.expected += uint32(len(p.data))
			f.buffer = append(f.buffer, p.data...)
			f.unacked++
			if p.is(fFIN) {
				f.expected++
				f.clientFIN = true
				break
			}
		}
		if f.unacked >= 2 || f.clientFIN {
			h.ack(f)
		}
		h.takeRequests(f)
		if f.clientFIN {
			h.finish(f)
		}
	}
}

func (h *host) ack(f *hostFlow) {
	f.unacked = 0
	h.send(encode(f.k.route, f.k.client, fACK, f.next, f.expected, nil))
}

// takeRequests runs the requests that are complete: a head that ends with an empty line and a body of Content-Length.
func (h *host) takeRequests(f *hostFlow) {
	for {
		id, rest, ok := parseRequest(f.buffer)
		if !ok {
			return
		}
		f.buffer = rest
		h.lab.ran(h, f.k, id)
		go func() {
			h.slots <- struct{}{}
			time.Sleep(h.work)
			<-h.slots
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.running && h.flows[f.k] == f && !f.ended {
				h.respond(f, id)
			}
		}()
	}
}

func (h *host) respond(f *hostFlow, id string) {
	closing := h.state != "ready"
	b := responseTo(id, h.id, closing)
	for len(b) > 0 {
		n := min(len(b), maxData)
		h.queue(f, fACK, b[:n])
		b = b[n:]
	}
	if closing {
		h.finish(f)
	}
}

// finish closes the host's end.
func (h *host) finish(f *hostFlow) {
	for _, s := range f.sent {
		if s.flags&fFIN != 0 {
			return
		}
	}
	h.queue(f, fACK|fFIN, nil)
	if f.clientFIN {
		h.endFlow(f)
	}
}

func (h *host) endFlow(f *hostFlow) {
	if f.ended {
		return
	}
	f.ended = true
	h.lab.flowEnded(f.k)
	if f.retransmit != nil {
		f.retransmit.Stop()
	}
}

func (h *host) queue(f *hostFlow, flags byte, data []byte) {
	s := hostPacket{seq: f.next, end: f.next + uint32(len(data)), flags: flags, data: data}
	if flags&fFIN != 0 {
		s.end++
	}
	f.next = s.end
	f.sent = append(f.sent, s)
	f.unacked = 0
	if len(f.sent) <= 16 {
		h.transmit(f, s)
	}
	if len(f.sent) == 1 {
		h.arm(f)
	}
}

func (h *host) transmit(f *hostFlow, s hostPacket) {
	h.send(encode(f.k.route, f.k.client, s.flags, s.seq, f.expected, s.data))
}

// arm sets the timer of the oldest packet in flight.
func (h *host) arm(f *hostFlow) {
	if f.retransmit != nil {
		f.retransmit.Stop()
	}
	if len(f.sent) == 0 || f.ended {
		return
	}
	f.retransmit = time.AfterFunc(backoff(f.tries), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.running || f.ended || len(f.sent) == 0 {
			return
		}
		f.tries++
		if f.tries > hostGivesUp {
			h.endFlow(f)
			return
		}
		for _, s := range f.sent[:min(len(f.sent), 16)] {
			h.transmit(f, s)
		}
		h.arm(f)
	})
}
