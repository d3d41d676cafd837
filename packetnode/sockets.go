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

// receiveBuffer is the size of the receive buffers asked for, in bytes. It
// holds some thousand packets, the load of a pause of the process.
const receiveBuffer = 1 << 20

func listenUDP(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	pc, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("listening for packets at %s: %w", address, err)
	}
	conn := pc.(*net.UDPConn)
	// A smaller buffer only drops more under load.
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
				// Such an error belongs to a datagram sent earlier, whose receiver is away.
				sendErrors.Inc()
				continue
			}
			handle(buffer[:n])
		}
	}()
	return done
}

// sendTo sends a datagram; loss is left to those who wait for an answer.
func sendTo(conn *net.UDPConn, address netip.AddrPort, datagram []byte) {
	if _, err := conn.WriteToUDPAddrPort(datagram, address); err != nil {
		sendErrors.Inc()
	}
}

// memberSender returns a function that sends to the port of processes.
func memberSender(conn *net.UDPConn, port uint16) func(uint32, []byte) {
	return func(ip uint32, datagram []byte) {
		sendTo(conn, flow.Endpoint{IP: ip, Port: port}.AddrPort(), datagram)
	}
}

// callerSender returns a function that sends to callers.
func callerSender(conn *net.UDPConn, port uint16) func(flow.Endpoint, []byte) {
	return func(caller flow.Endpoint, packet []byte) {
		sendTo(conn, flow.Endpoint{IP: caller.IP, Port: port}.AddrPort(), packet)
	}
}

// steadyClock returns the time since now, which never goes back.
func steadyClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// alarm runs a tick when it is due.
type alarm struct {
	// kick says that due is earlier than before.
	kick chan struct{}

	mu sync.Mutex
	// due is guarded by mu; zero means that nothing is due.
	due time.Time
}

func newAlarm() *alarm { return &alarm{kick: make(chan struct{}, 1)} }

// in asks for a tick after d, if none is due before.
func (a *alarm) in(d time.Duration) {
	at := time.Now().Add(max(d, time.Millisecond))
	a.mu.Lock()
	earlier := a.due.IsZero() || at.Before(a.due)
	if earlier {
		a.due = at
	}
	a.mu.Unlock()
	if earlier {
		signal(a.kick)
	}
}

// next returns the time until the next tick. With none due it is far away.
func (a *alarm) next() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.due.IsZero() {
		return time.Hour
	}
	return time.Until(a.due)
}

// run calls tick when it is due until ctx ends. What tick returns is the time until the next one, 0 for none.
func (a *alarm) run(ctx context.Context, tick func() time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		timer := time.NewTimer(a.next())
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-a.kick:
			case <-timer.C:
				a.mu.Lock()
				a.due = time.Time{}
				a.mu.Unlock()
				if d := tick(); d > 0 {
					a.in(d)
				}
			}
			timer.Reset(a.next())
		}
	}()
	return done
}
