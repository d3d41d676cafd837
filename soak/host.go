package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/platform"
)

// host is a fake host of an agent. It answers like the platform's hosts.
type host struct {
	run     *run
	agent   *process
	zone    string
	service string
	ip      netip.Addr
	conn    *net.UDPConn

	mu sync.Mutex
	// The fields below are guarded by mu. listener is open while the host runs: a port that refuses
	// connections means that the host is down.
	listener net.Listener
	running  bool
	draining bool
	// leaving is set when the host leaves for good.
	leaving bool
	// drainAckedAt is when a heartbeat with state draining was first acknowledged.
	drainAckedAt time.Time
	// startedAt identifies the incarnation: its start in milliseconds since the Unix epoch.
	startedAt int64
	// clock draws by how much the VM's clock is off at each start of the host, born is the start time by that clock.
	clock    *rand.Rand
	born     int64
	sequence uint64
	flows    map[flow.Key]*hostFlow
}

// hostFlow is a flow at a host. It stays after its end, until the host restarts.
type hostFlow struct {
	initialSeq uint32
	// confirmed is set when the caller has acknowledged initialSeq, which opens the flow at this host; closed when
	// the host has sent its FIN; ended when both ends have, or when the host gave up.
	confirmed, closed, ended bool
	// expected is the caller's next sequence number, next that of the host.
	expected, next uint32
	// partial is set while the host has the first packet of a request of two.
	partial bool
	// unacknowledged is set while the caller has not acknowledged the last answer.
	unacknowledged bool
}

const (
	// workTime is the processing time of a request.
	workTime = 20 * time.Millisecond
	// maxClockError is the largest error of a VM's clock at the start of a host.
	maxClockError = 3 * time.Second
	// maxRetransmits is the number of retransmissions after which a host gives up a flow.
	maxRetransmits = 8
)

func (r *run) newHost(ctx context.Context, agent *process, zone, service string) (*host, error) {
	pc, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", netip.AddrPortFrom(agent.ip, hostPort).String())
	if err != nil {
		return nil, fmt.Errorf("listening as a host: %w", err)
	}
	h := &host{run: r, agent: agent, zone: zone, service: service, ip: agent.ip, conn: pc.(*net.UDPConn)}
	h.clock = rand.New(rand.NewPCG(r.cfg.Seed, uint64(agent.ip.As4()[3])))
	context.AfterFunc(ctx, func() {
		h.crash()
		_ = h.conn.Close()
	})
	return h, nil
}

// listen opens the host's TCP port. h.mu is held.
func (h *host) listen() {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", netip.AddrPortFrom(h.ip, hostPort).String())
	if err != nil {
		h.run.fail("host %s cannot listen: %v", h.ip, err)
		return
	}
	h.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
}

// restart starts a new incarnation of the host, without flows.
func (h *host) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return
	}
	h.running, h.draining, h.drainAckedAt, h.sequence = true, false, time.Time{}, 0
	h.startedAt = time.Now().UnixMilli()
	h.born = h.startedAt
	if h.clock.IntN(2) == 0 {
		h.born += h.clock.Int64N(2*maxClockError.Milliseconds()) - maxClockError.Milliseconds()
	}
	h.loseFlows()
	if h.listener == nil {
		h.listen()
	}
}

// crash makes the host stop answering and lose its flows.
func (h *host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = false
	h.loseFlows()
	if h.listener != nil {
		_ = h.listener.Close()
		h.listener = nil
	}
}

// loseFlows discards all flows. h.mu is held.
func (h *host) loseFlows() {
	for key := range h.flows {
		h.run.recordEnd(h, key)
	}
	h.flows = make(map[flow.Key]*hostFlow)
}

func (h *host) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// owns reports whether the host is running and has a flow with the given initial sequence number that has not ended.
func (h *host) owns(key flow.Key, initialSeq uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	return f != nil && f.initialSeq == initialSeq && !f.ended && h.running
}

// serve answers packets until the socket is closed.
func (h *host) serve() <-chan error {
	return readPackets(h.conn, func(packet []byte) { h.receive(bytes.Clone(packet)) })
}

func (h *host) receive(packet []byte) {
	s, err := platform.DecodePacket(packet, platform.FromCaller)
	if err != nil {
		h.run.fail("host %s received an invalid packet", h.ip)
		return
	}
	h.run.checkUnchanged(packet, s)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running {
		return
	}
	h.run.checkLocation(h, s.Key)
	f := h.flows[s.Key]
	switch {
	case s.Opens():
		h.run.checkEvacuation(h, s.Key)
		if f == nil {
			f = &hostFlow{initialSeq: rand.Uint32(), expected: s.Seq + 1}
			f.next = f.initialSeq + 1
			h.flows[s.Key] = f
			h.run.checkOpened(h, s.Key, packet)
		}
		if !f.ended {
			h.send(packettest.Accept(s.Key, f.initialSeq))
		}
	case f == nil, !f.confirmed && s.Ack != f.next, !flow.WithinWindow(f.initialSeq, s.Ack):
		h.send(packettest.Bounce(packet))
	default:
		h.receiveOpen(f, s)
	}
}

// receiveOpen handles a packet of a flow that the caller opened at this host. h.mu is held.
func (h *host) receiveOpen(f *hostFlow, s flow.Segment) {
	if !f.confirmed {
		f.confirmed = true
		h.run.recordOpen(h, s.Key)
	}
	f.unacknowledged = f.unacknowledged && s.Ack != f.next
	switch {
	case s.IsFIN:
		p := packettest.Packet{Flow: s.Key, FromHost: true, Flags: packettest.ACK, Seq: f.next, Ack: s.Seq + 1}
		if !f.closed {
			p.Flags |= packettest.FIN
		}
		h.send(p.Bytes())
		h.endFlow(f, s.Key)
	case f.ended && s.DataBytes > 0:
		h.send(packettest.Packet{Flow: s.Key, FromHost: true, Flags: packettest.RST, Seq: f.next}.Bytes())
	case s.DataBytes == firstPartBytes && s.Seq == f.expected:
		f.expected += uint32(s.DataBytes)
		f.partial = true
	case s.DataBytes > 0 && s.Seq != f.expected:
		h.acknowledge(f, s.Key)
	case s.DataBytes > 0:
		f.expected += uint32(s.DataBytes)
		if f.partial {
			// Hosts acknowledge every second packet.
			f.partial = false
			h.acknowledge(f, s.Key)
		}
		time.AfterFunc(workTime, func() { h.answer(f, s.Key, s.DataBytes == closingRequestBytes) })
	}
}

// acknowledge sends an acknowledgement without data. h.mu is held.
func (h *host) acknowledge(f *hostFlow, key flow.Key) {
	h.send(packettest.Packet{Flow: key, FromHost: true, Flags: packettest.ACK, Seq: f.next, Ack: f.expected}.Bytes())
}

// endFlow ends a flow. h.mu is held.
func (h *host) endFlow(f *hostFlow, key flow.Key) {
	f.closed, f.ended, f.unacknowledged = true, true, false
	h.run.recordEnd(h, key)
}

// answer answers a request. A draining host closes the flow as well.
func (h *host) answer(f *hostFlow, key flow.Key, closing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flows[key] != f || f.ended {
		return
	}
	p := packettest.Packet{Flow: key, FromHost: true, Flags: packettest.ACK, Seq: f.next, Ack: f.expected, DataBytes: answerBytes}
	f.next += answerBytes
	if closing || h.draining {
		p.Flags |= packettest.FIN
		f.next++
		f.closed = true
	}
	f.unacknowledged = true
	h.transmit(f, p, f.next, 0)
}

// transmit sends an answer and retransmits it until the caller acknowledges the number next. h.mu is held.
func (h *host) transmit(f *hostFlow, p packettest.Packet, next uint32, n int) {
	h.send(p.Bytes())
	time.AfterFunc(retransmitDelay(n), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		switch {
		case h.flows[p.Flow] != f || !f.unacknowledged || f.next != next:
		case n == maxRetransmits:
			h.endFlow(f, p.Flow)
		default:
			h.transmit(f, p, next, n+1)
		}
	})
}

func (h *host) send(packet []byte) {
	// A failed send is a lost packet, as on a real network.
	_, _ = h.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(h.ip, outputPort))
}

// sendHeartbeats sends heartbeats until ctx ends.
func (h *host) sendHeartbeats(ctx context.Context) <-chan error {
	client := &http.Client{Timeout: time.Second}
	return background(func() {
		for ctx.Err() == nil {
			h.sendHeartbeat(ctx, client)
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
	})
}

func (h *host) sendHeartbeat(ctx context.Context, client *http.Client) {
	h.mu.Lock()
	running, draining, startedAt, born := h.running, h.draining, h.startedAt, h.born
	h.sequence++
	sequence := h.sequence
	h.mu.Unlock()
	if !running {
		return
	}
	state := "ready"
	if draining {
		state = "draining"
	}
	body, err := json.Marshal(struct {
		Service  string `json:"service"`
		Address  string `json:"address"`
		Zone     string `json:"zone"`
		Version  string `json:"version"`
		Capacity int    `json:"capacity"`
		State    string `json:"state"`
		Sequence uint64 `json:"sequence"`
		Born     int64  `json:"born"`
	}{h.service, netip.AddrPortFrom(h.ip, hostPort).String(), h.zone, "v1", 4, state, sequence, born})
	if err != nil {
		h.run.fail("encoding a heartbeat: %v", err)
		return
	}
	if h.call(ctx, client, http.MethodPut, body) != http.StatusOK || !draining {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.startedAt == startedAt && h.drainAckedAt.IsZero() {
		h.drainAckedAt = time.Now()
	}
}

// call calls the agent about this host and returns the status of the answer, 0 if there is none.
func (h *host) call(ctx context.Context, client *http.Client, method string, body []byte) int {
	url := fmt.Sprintf("http://%s/instances/h-%s", netip.AddrPortFrom(h.ip, controlPort), h.ip)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		h.run.fail("building a call of a host: %v", err)
		return 0
	}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode
}

// leave drains the host, shuts it down after the longest drain and stops its agent for good.
func (h *host) leave(ctx context.Context) {
	h.mu.Lock()
	h.draining, h.leaving = true, true
	h.mu.Unlock()
	time.Sleep(2*heartbeatInterval + maxDrainDelay)
	h.crash()
	h.call(ctx, &http.Client{Timeout: time.Second}, http.MethodDelete, nil)
	h.agent.leave()
}
