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

// host is a fake host beside an agent. It answers as the platform's hosts do.
type host struct {
	run     *run
	agent   *process
	service string
	ip      netip.Addr
	conn    *net.UDPConn

	mu sync.Mutex
	// All below is guarded by mu. listener is open while the host is up: a port
	// that refuses connections says that the host is gone.
	listener net.Listener
	up       bool
	draining bool
	// drained is when a heartbeat that says draining was acknowledged.
	drained  time.Time
	born     int64
	sequence uint64
	flows    map[flow.Key]uint32
}

// work is the time of a request.
const work = 20 * time.Millisecond

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

// listen opens the host's port for connections; h.mu is held.
func (h *host) listen() {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", netip.AddrPortFrom(h.ip, hostPort).String())
	if err != nil {
		h.run.fail("host %s does not listen: %v", h.ip, err)
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

// restart makes the host another incarnation, which knows nothing of before.
func (h *host) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up, h.draining, h.drained, h.sequence = true, false, time.Time{}, 0
	h.born = time.Now().UnixMilli()
	h.flows = make(map[flow.Key]uint32)
	if h.listener == nil {
		h.listen()
	}
}

// crash makes the host silent; its flows are lost.
func (h *host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up, h.flows = false, make(map[flow.Key]uint32)
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

// owns says whether the host has a flow under its first number.
func (h *host) owns(key flow.Key, first uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, ok := h.flows[key]
	return ok && n == first && h.up
}

// serve answers packets until the socket is closed.
func (h *host) serve() <-chan error {
	return readPackets(h.conn, func(packet []byte) { h.got(bytes.Clone(packet)) })
}

func (h *host) got(packet []byte) {
	s, err := platform.DecodePacket(packet, platform.FromCaller)
	if err != nil {
		h.run.fail("host %s got what is no packet", h.ip)
		return
	}
	h.run.checkUnchanged(packet, s)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up {
		return
	}
	first, has := h.flows[s.Key]
	switch {
	case s.Opens():
		if !has {
			first = rand.Uint32()
			h.flows[s.Key] = first
			h.run.opened(h, s.Key)
		}
		h.send(packettest.Accept(s.Key, first))
	case !has || s.Acking && !flow.Near(first, s.Ack):
		h.send(packettest.Bounce(packet))
	case s.Data > 0:
		answer := packettest.Answer(s.Key, first+1, answerBytes)
		time.AfterFunc(work, func() { h.send(answer) })
	}
}

func (h *host) send(packet []byte) {
	// Loss is part of the network.
	_, _ = h.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(h.ip, outputPort))
}

// beat sends heartbeats until ctx ends.
func (h *host) beat(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	client := &http.Client{Timeout: time.Second}
	go func() {
		defer func() { done <- nil }()
		for ctx.Err() == nil {
			h.beatOnce(ctx, client)
			select {
			case <-ctx.Done():
			case <-time.After(heartbeat):
			}
		}
	}()
	return done
}

func (h *host) beatOnce(ctx context.Context, client *http.Client) {
	h.mu.Lock()
	up, draining, born := h.up, h.draining, h.born
	h.sequence++
	sequence := h.sequence
	h.mu.Unlock()
	if !up {
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
	}{h.service, netip.AddrPortFrom(h.ip, hostPort).String(), "a", "v1", 4, state, sequence, born})
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
	if res.StatusCode == http.StatusOK && draining && h.born == born && h.drained.IsZero() {
		h.drained = time.Now()
	}
}
