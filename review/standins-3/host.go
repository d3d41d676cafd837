//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// host is a stand-in for a host beside an agent.
type host struct {
	lab     *lab
	name    string
	service string
	zone    string
	ip      netip.Addr
	conn    *net.UDPConn

	mu       sync.Mutex
	listener net.Listener
	running  bool
	state    string
	born     int64
	sequence uint64
	id       string
	flows    map[string]*hostFlow
	ackedAt  time.Time
	stop     chan struct{}
	// slots is the number of requests that run at a time.
	slots chan struct{}
}

// hostFlow is a flow at a host.
type hostFlow struct {
	client, service netip.AddrPort
	first           uint32
	open            bool
	expected, next  uint32
	request         []byte
	early           map[uint32][]byte
	unacked         int
	sent            []*sentPacket
	clientFIN       bool
	hostFIN, ended  bool
}

type sentPacket struct {
	p       packet
	end     uint32
	tries   int
	stopped bool
}

const (
	hostSlots = 4
	workTime  = 30 * time.Millisecond
)

func flowName(client, service netip.AddrPort) string { return client.String() + ">" + service.String() }

func (l *lab) newHost(n int, service string) (*host, error) {
	ip := l.address(hostKind, n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, hostPort)))
	if err != nil {
		return nil, fmt.Errorf("listening as a host: %w", err)
	}
	h := &host{lab: l, name: fmt.Sprintf("%s-%d", service, n), service: service, zone: zones[n%len(zones)], ip: ip, conn: conn, slots: make(chan struct{}, hostSlots)}
	go func() {
		b := make([]byte, 2000)
		for {
			k, _, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			h.receive(bytes.Clone(b[:k]))
		}
	}()
	return h, nil
}

// start starts an incarnation of the host.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(h.ip, hostPort).String())
	if err != nil {
		return fmt.Errorf("listening as a host: %w", err)
	}
	h.listener, h.running, h.state, h.born, h.sequence = listener, true, "ready", time.Now().UnixMilli(), 0
	h.id = fmt.Sprintf("i-%s-%x", h.name, h.born)
	h.flows, h.stop, h.ackedAt = make(map[string]*hostFlow), make(chan struct{}), time.Time{}
	go func() { _ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})) }()
	go h.beat(h.stop)
	return nil
}

// crash ends the incarnation without a word.
func (h *host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running {
		return
	}
	h.running = false
	close(h.stop)
	_ = h.listener.Close()
	h.flows = nil
}

func (h *host) beat(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		h.mu.Lock()
		h.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": h.service, "address": netip.AddrPortFrom(h.ip, hostPort).String(), "zone": h.zone, "version": "v1", "capacity": hostSlots,
			"state": h.state, "warmupLeftMs": 0, "sequence": h.sequence, "born": h.born,
		})
		id, draining := h.id, h.state == "draining"
		h.mu.Unlock()
		status := h.call(client, http.MethodPut, id, body)
		h.mu.Lock()
		if status/100 == 2 && draining && h.ackedAt.IsZero() {
			h.ackedAt = time.Now()
			h.lab.note("host %s: draining acknowledged", h.name)
		}
		h.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (h *host) call(client *http.Client, method, id string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+netip.AddrPortFrom(h.ip, controlPort).String()+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func (h *host) send(b []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(h.ip, outputPort))
}

func (h *host) receive(b []byte) {
	p, ok := parse(b)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running {
		return
	}
	name := flowName(p.src, p.dst)
	if !ok || p.has(flagSYN) && p.has(flagACK) {
		h.lab.broken("UNASKED", "host %s got a packet that its sender didn't write so: %s %v", h.name, name, p)
		return
	}
	f := h.flows[name]
	h.lab.arrived(h, name, p, f != nil && f.open && !f.ended)
	switch {
	case p.has(flagSYN):
		if f == nil {
			f = &hostFlow{client: p.src, service: p.dst, first: h.lab.random(), expected: p.seq + 1, early: make(map[uint32][]byte)}
			f.next = f.first + 1
			h.flows[name] = f
		}
		if !f.ended {
			h.send(packet{src: f.service, dst: f.client, flags: flagSYN | flagACK, seq: f.first, ack: f.expected}.bytes())
		}
		return
	case f == nil, !f.open && p.ack != f.first+1:
		b[22] |= flagBNC
		clear(b[23:28])
		h.send(b)
		return
	case p.has(flagRST):
		f.ended = true
		h.lab.ended(name)
		return
	case f.ended:
		if p.has(flagFIN) {
			h.send(h.bare(f, flagACK))
		} else if len(p.data) > 0 {
			h.send(h.bare(f, flagRST))
		}
		return
	}
	if !f.open {
		f.open = true
		h.lab.opened(h, name)
	}
	h.acknowledged(f, p.ack)
	if len(p.data) > 0 {
		h.data(f, p)
	}
	if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.expected {
		f.clientFIN = true
		f.expected++
		if f.hostFIN {
			h.send(h.bare(f, flagACK))
		} else {
			h.finish(f)
		}
	}
	h.checkEnd(f, name)
}

func (h *host) bare(f *hostFlow, flags byte) []byte {
	return packet{src: f.service, dst: f.client, flags: flags, seq: f.next, ack: f.expected}.bytes()
}

func (h *host) acknowledged(f *hostFlow, ack uint32) {
	for _, s := range f.sent {
		s.stopped = s.stopped || int32(ack-s.end) >= 0
	}
}

func (h *host) checkEnd(f *hostFlow, name string) {
	if f.clientFIN && f.hostFIN && !f.ended {
		f.ended = true
		h.lab.ended(name)
	}
}

// data takes the bytes of a request. Every second packet is acknowledged.
func (h *host) data(f *hostFlow, p packet) {
	if int32(p.seq-f.expected) >= 0 {
		f.early[p.seq] = p.data
	}
	for d, ok := f.early[f.expected]; ok; d, ok = f.early[f.expected] {
		delete(f.early, f.expected)
		f.expected += uint32(len(d))
		f.request = append(f.request, d...)
	}
	if f.unacked++; f.unacked >= 2 {
		f.unacked = 0
		h.send(h.bare(f, flagACK))
	}
	if !bytes.HasSuffix(f.request, []byte("\r\n\r\n")) {
		return
	}
	request := string(f.request)
	f.request = nil
	go h.run(f, request)
}

// run works on a request and answers it.
func (h *host) run(f *hostFlow, request string) {
	id := requestID(request)
	h.lab.ran(h, id)
	h.slots <- struct{}{}
	time.Sleep(workTime)
	<-h.slots
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running || f.ended {
		return
	}
	f.unacked = 0
	body := "answer to " + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nResponse-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", h.name, len(body), body)
	h.transmit(f, packet{src: f.service, dst: f.client, flags: flagACK, seq: f.next, ack: f.expected, data: []byte(text)})
	if h.state == "draining" {
		h.finish(f)
	}
}

// finish sends the host's FIN. h.mu is held.
func (h *host) finish(f *hostFlow) {
	if f.hostFIN {
		return
	}
	f.hostFIN = true
	h.transmit(f, packet{src: f.service, dst: f.client, flags: flagACK | flagFIN, seq: f.next, ack: f.expected})
}

// transmit sends a packet and sends it again until it is acknowledged, eight times at most. h.mu is held.
func (h *host) transmit(f *hostFlow, p packet) {
	f.next += uint32(len(p.data))
	if p.has(flagFIN) {
		f.next++
	}
	s := &sentPacket{p: p, end: f.next}
	f.sent = append(f.sent, s)
	h.repeat(f, s)
}

func (h *host) repeat(f *hostFlow, s *sentPacket) {
	s.p.ack = f.expected
	h.send(s.p.bytes())
	wait := min(200*time.Millisecond<<s.tries, 1600*time.Millisecond)
	time.AfterFunc(wait, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if s.stopped || !h.running || f.ended && !f.hostFIN || s.tries >= 8 {
			return
		}
		s.tries++
		h.repeat(f, s)
	})
}
