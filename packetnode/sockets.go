package packetnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/platform"
)

var sendErrors = metrics.NewCounter(`endiveflow_packetnode_send_errors_total`)

// receiveBuffer is the requested size of receive buffers in bytes. It holds some thousand packets, which
// is the load that arrives while the process is paused.
const receiveBuffer = 1 << 20

func listenUDP(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	pc, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("listening for packets at %s: %w", address, err)
	}
	conn := pc.(*net.UDPConn)
	// Best effort: with a smaller buffer more packets are dropped under load.
	_ = conn.SetReadBuffer(receiveBuffer)
	return conn, nil
}

// receive passes each datagram to handle until the socket is closed.
func receive(conn *net.UDPConn, handle func([]byte)) <-chan error {
	done := make(chan error, 1)
	go func() {
		buffer := make([]byte, mesh.MaxBytes(platform.MaxPacketBytes)+1)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if errors.Is(err, net.ErrClosed) {
				done <- nil
				return
			}
			if err != nil {
				// The error stems from a datagram sent earlier to a receiver that is unreachable.
				sendErrors.Inc()
				continue
			}
			handle(buffer[:n])
		}
	}()
	return done
}

// sendTo sends a datagram. A failure is only counted: senders that need an answer detect the loss by its
// absence.
func sendTo(conn *net.UDPConn, address netip.AddrPort, datagram []byte) {
	if _, err := conn.WriteToUDPAddrPort(datagram, address); err != nil {
		sendErrors.Inc()
	}
}

// memberSender returns a function that sends datagrams to other processes by IP.
func memberSender(conn *net.UDPConn, port uint16) func(uint32, []byte) {
	return func(ip uint32, datagram []byte) {
		sendTo(conn, flow.Endpoint{IP: ip, Port: port}.AddrPort(), datagram)
	}
}

// callerSender returns a function that sends packets to callers.
func callerSender(conn *net.UDPConn, port uint16) func(flow.Endpoint, []byte) {
	return func(caller flow.Endpoint, packet []byte) {
		sendTo(conn, flow.Endpoint{IP: caller.IP, Port: port}.AddrPort(), packet)
	}
}

// monotonicClock returns a clock that returns the time since now and never goes back.
func monotonicClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// alarm runs a tick function at the earliest scheduled time.
type alarm struct {
	// rescheduled is signalled when due has moved to an earlier time.
	rescheduled chan struct{}

	mu sync.Mutex
	// due is the time of the next tick; zero if none is scheduled. Guarded by mu.
	due time.Time
}

func newAlarm() *alarm { return &alarm{rescheduled: make(chan struct{}, 1)} }

// schedule requests a tick after d. An earlier one that is already scheduled stays in force.
func (a *alarm) schedule(d time.Duration) {
	at := time.Now().Add(max(d, time.Millisecond))
	a.mu.Lock()
	earlier := a.due.IsZero() || at.Before(a.due)
	if earlier {
		a.due = at
	}
	a.mu.Unlock()
	if earlier {
		signal(a.rescheduled)
	}
}

// untilDue returns the time until the next tick, or an hour if none is scheduled.
func (a *alarm) untilDue() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.due.IsZero() {
		return time.Hour
	}
	return time.Until(a.due)
}

// run calls tick whenever it is due until ctx ends. tick returns the time until the next call, or 0 for none.
func (a *alarm) run(ctx context.Context, tick func() time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		timer := time.NewTimer(a.untilDue())
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-a.rescheduled:
			case <-timer.C:
				a.mu.Lock()
				a.due = time.Time{}
				a.mu.Unlock()
				if d := tick(); d > 0 {
					a.schedule(d)
				}
			}
			timer.Reset(a.untilDue())
		}
	}()
	return done
}
