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
	service string
	ip      netip.Addr
	conn    *net.UDPConn

	mu sync.Mutex
	// The fields below are guarded by mu. listener is open while the host runs: a port that refuses
	// connections means that the host is down.
	listener net.Listener
	running  bool
	draining bool
	// drainAckedAt is when a heartbeat with state draining was first acknowledged.
	drainAckedAt time.Time
	// startedAt identifies the incarnation: its start in milliseconds since the Unix epoch.
	startedAt int64
	sequence  uint64
	flows     map[flow.Key]uint32
}

// workTime is the processing time of a request.
const workTime = 20 * time.Millisecond

func (r *run) newHost(ctx context.Context, agent *process, service string) (*host, error) {
	pc, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", netip.AddrPortFrom(agent.ip, hostPort).String())
	if err != nil {
		return nil, fmt.Errorf("listening as a host: %w", err)
	}
	h := &host{run: r, agent: agent, service: service, ip: agent.ip, conn: pc.(*net.UDPConn)}
	h.restart()
	context.AfterFunc(ctx, h.crash)
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
	h.running, h.draining, h.drainAckedAt, h.sequence = true, false, time.Time{}, 0
	h.startedAt = time.Now().UnixMilli()
	h.flows = make(map[flow.Key]uint32)
	if h.listener == nil {
		h.listen()
	}
}

// crash makes the host stop answering and lose its flows.
func (h *host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running, h.flows = false, make(map[flow.Key]uint32)
	if h.listener != nil {
		_ = h.listener.Close()
		h.listener = nil
	}
}

func (h *host) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// owns reports whether the host is running and has a flow with the given initial sequence number.
func (h *host) owns(key flow.Key, initialSeq uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, ok := h.flows[key]
	return ok && n == initialSeq && h.running
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
	initialSeq, exists := h.flows[s.Key]
	switch {
	case s.Opens():
		if !exists {
			initialSeq = rand.Uint32()
			h.flows[s.Key] = initialSeq
			h.run.checkOpened(h, s.Key)
		}
		h.send(packettest.Accept(s.Key, initialSeq))
	case !exists || s.IsACK && !flow.WithinWindow(initialSeq, s.Ack):
		h.send(packettest.Bounce(packet))
	case s.DataBytes > 0:
		answer := packettest.Answer(s.Key, initialSeq+1, answerBytes)
		time.AfterFunc(workTime, func() { h.send(answer) })
	}
}

func (h *host) send(packet []byte) {
	// A failed send is a lost packet, as on a real network.
	_, _ = h.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(h.ip, outputPort))
}

// sendHeartbeats sends heartbeats until ctx ends.
func (h *host) sendHeartbeats(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	client := &http.Client{Timeout: time.Second}
	go func() {
		defer func() { done <- nil }()
		for ctx.Err() == nil {
			h.sendHeartbeat(ctx, client)
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return done
}

func (h *host) sendHeartbeat(ctx context.Context, client *http.Client) {
	h.mu.Lock()
	running, draining, startedAt := h.running, h.draining, h.startedAt
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
	}{h.service, netip.AddrPortFrom(h.ip, hostPort).String(), "a", "v1", 4, state, sequence, startedAt})
	if err != nil {
		h.run.fail("encoding a heartbeat: %v", err)
		return
	}
	url := fmt.Sprintf("http://%s/instances/h-%s", netip.AddrPortFrom(h.ip, controlPort), h.ip)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		h.run.fail("building a heartbeat: %v", err)
		return
	}
	res, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	if res.StatusCode == http.StatusOK && draining && h.startedAt == startedAt && h.drainAckedAt.IsZero() {
		h.drainAckedAt = time.Now()
	}
}
