package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Times of retransmissions, see PROTOCOL.md.
const (
	firstRetransmit   = 200 * time.Millisecond
	maxRetransmit     = 1600 * time.Millisecond
	hostRetransmits   = 8
	heartbeatInterval = 1200 * time.Millisecond
	capacity          = 4
)

// host is a stand-in of a host that follows PROTOCOL.md.
type host struct {
	f                   *fleet
	name, service, zone string
	ip                  netip.Addr
	conn                *net.UDPConn
	listener            net.Listener
	outbound            netip.AddrPort
	born                int64

	mu       sync.Mutex
	sequence uint64
	flows    map[flowKey]*hostFlow
	stopped  bool
	slots    chan struct{}
}

// hostFlow is a flow at a host.
type hostFlow struct {
	key flowKey
	isn uint32
	// open is set when the client's packet that acknowledges isn arrived; ended when both ends have closed the flow.
	open, closed, ended bool
	expected, next      uint32
	unacked             int
	// outstanding is the packet that the client has not acknowledged, nil if there is none.
	outstanding []byte
	generation  int
}

// startHost starts a host whose clock is ahead by some time at its start.
func (f *fleet) startHost(name, service, zone string, ip netip.Addr, ahead time.Duration) (*host, error) {
	at := netip.AddrPortFrom(ip, f.ports.host)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	h := &host{
		f: f, name: name, service: service, zone: zone, ip: ip, conn: conn, listener: l, born: time.Now().Add(ahead).UnixMilli(),
		outbound: netip.AddrPortFrom(ip, f.ports.outbound), flows: make(map[flowKey]*hostFlow), slots: make(chan struct{}, capacity),
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	}()
	go h.receiveAll()
	go h.heartbeats()
	f.rec.add("host %s of %s starts at %s", name, service, at)
	return h, nil
}

func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	_ = h.listener.Close()
	_ = h.conn.Close()
}

func (h *host) receiveAll() {
	b := make([]byte, 4096)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			h.mu.Lock()
			stopped := h.stopped
			h.mu.Unlock()
			if stopped {
				return
			}
			continue
		}
		if p, ok := decode(b[:n]); ok {
			h.receive(p)
		} else {
			h.f.rec.breakRule("UNASKED", "host %s got bytes that are no packet", h.name)
		}
	}
}

func (h *host) send(b []byte) { _, _ = h.conn.WriteToUDPAddrPort(b, h.outbound) }

func (h *host) receive(p packet) {
	key := flowKey{p.src, p.dst}
	if !p.intact() {
		h.f.rec.breakRule("UNASKED", "host %s got a packet of %s that its sender didn't write so", h.name, key)
		return
	}
	h.f.noteArrival(h, key, p)
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	switch {
	case p.is(flagSYN) && !p.is(flagACK):
		h.receiveOpening(f, key, p)
	case f == nil, !f.open && p.ack != f.isn+1:
		h.send(bounced(p))
	default:
		h.receiveOpen(f, p)
	}
}

func (h *host) receiveOpening(f *hostFlow, key flowKey, p packet) {
	if f == nil {
		f = &hostFlow{key: key, isn: rand.Uint32(), expected: p.seq + 1}
		f.next = f.isn + 1
		h.flows[key] = f
		h.transmit(f, packet{src: key.route, dst: key.client, flags: flagSYN | flagACK, seq: f.isn, ack: f.expected})
		return
	}
	if !f.open {
		h.send(f.outstanding)
	}
}

// transmit sends a packet and sends it again until the client has acknowledged it. h.mu is held.
func (h *host) transmit(f *hostFlow, p packet) {
	f.outstanding = p.encode()
	f.generation++
	h.send(f.outstanding)
	h.retransmit(f, f.generation, firstRetransmit, 1)
}

func (h *host) retransmit(f *hostFlow, generation int, after time.Duration, n int) {
	time.AfterFunc(after, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if f.outstanding == nil || f.generation != generation || h.stopped {
			return
		}
		if n > hostRetransmits {
			f.outstanding, f.ended = nil, true
			h.f.noteEnd(h, f.key)
			return
		}
		h.send(f.outstanding)
		h.retransmit(f, generation, min(2*after, maxRetransmit), n+1)
	})
}

// receiveOpen handles a packet of a flow that the client opens or has opened at this host. h.mu is held.
func (h *host) receiveOpen(f *hostFlow, p packet) {
	if !f.open {
		f.open = true
		h.f.noteOpen(h, f.key)
	}
	if p.ack == f.next {
		f.outstanding = nil
	}
	switch {
	case p.is(flagFIN):
		flags := byte(flagACK)
		if !f.closed {
			flags |= flagFIN
		}
		f.closed, f.ended, f.outstanding = true, true, nil
		h.send(packet{src: f.key.route, dst: f.key.client, flags: flags, seq: f.next, ack: p.seq + 1}.encode())
		h.f.noteEnd(h, f.key)
	case len(p.data) == 0:
	case f.ended:
		h.send(packet{src: f.key.route, dst: f.key.client, flags: flagRST, seq: f.next}.encode())
	case p.seq != f.expected:
		// A packet that arrives again is the second one.
		h.acknowledge(f)
	default:
		f.expected += uint32(len(p.data))
		f.unacked++
		if f.unacked == 2 {
			h.acknowledge(f)
		}
		go h.run(f, append([]byte(nil), p.data...))
	}
}

func (h *host) acknowledge(f *hostFlow) {
	f.unacked = 0
	h.send(packet{src: f.key.route, dst: f.key.client, flags: flagACK, seq: f.next, ack: f.expected}.encode())
}

// run works on a request and answers it.
func (h *host) run(f *hostFlow, data []byte) {
	h.slots <- struct{}{}
	defer func() { <-h.slots }()
	req, err := parseRequest(data)
	if err != nil {
		h.f.rec.breakRule("UNASKED", "host %s got data of %s that is no request", h.name, f.key)
		return
	}
	h.f.noteRun(h, f.key, req)
	time.Sleep(req.work)
	h.mu.Lock()
	defer h.mu.Unlock()
	if f.ended || h.stopped {
		return
	}
	body := "stamp " + h.name + " " + req.id
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", req.id, h.name, len(body), body)
	p := packet{src: f.key.route, dst: f.key.client, flags: flagACK, seq: f.next, ack: f.expected, data: []byte(answer)}
	f.next += uint32(len(answer))
	f.unacked = 0
	h.transmit(f, p)
}

// heartbeats reports the host to the node beside it.
func (h *host) heartbeats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		h.mu.Lock()
		if h.stopped {
			h.mu.Unlock()
			return
		}
		h.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": h.service, "address": netip.AddrPortFrom(h.ip, h.f.ports.host).String(), "zone": h.zone, "version": "v1",
			"capacity": capacity, "state": "ready", "warmupLeftMs": 0, "sequence": h.sequence, "born": h.born,
		})
		h.mu.Unlock()
		url := "http://" + netip.AddrPortFrom(h.ip, h.f.ports.control).String() + "/instances/i-" + h.name
		req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
		if err == nil {
			req.Header.Set("Content-Type", "application/json")
			if res, err := client.Do(req); err == nil {
				_ = res.Body.Close()
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// request is a request inside a flow.
type request struct {
	id   string
	work time.Duration
}

func (r request) encode() []byte {
	return []byte(fmt.Sprintf("GET /sheet HTTP/1.1\r\nHost: desk\r\nRequest-Id: %s\r\nWork-Ms: %d\r\n\r\n", r.id, r.work.Milliseconds()))
}

func parseRequest(b []byte) (request, error) {
	req, err := http.ReadRequest(newReader(b))
	if err != nil {
		return request{}, err
	}
	ms, err := strconv.Atoi(req.Header.Get("Work-Ms"))
	return request{req.Header.Get("Request-Id"), time.Duration(ms) * time.Millisecond}, err
}
