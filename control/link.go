package control

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
)

// inboxSize is the number of received datagrams that may wait for the loop. An entry receives about 20 a second
// at the target size, so a full inbox means a flood.
const inboxSize = 256

// link sends and receives sealed messages over a socket.
type link struct {
	socket net.PacketConn
	sealer *fleetkey.Sealer
	self   func() member.Record
	// sent and received count datagrams by kind. Bytes include IP and UDP headers.
	sent, received           [kindEnd]*metrics.Counter
	sentBytes, receivedBytes *metrics.Counter
}

func newLink(socket net.PacketConn, ring *fleetkey.Ring, self func() member.Record) (*link, error) {
	sealer, err := ring.Sealer(fleetkey.PurposeControl)
	if err != nil {
		return nil, fmt.Errorf("deriving control keys: %w", err)
	}
	l := &link{socket: socket, sealer: sealer, self: self}
	for k := KindHeartbeat; k < kindEnd; k++ {
		l.sent[k] = metrics.GetOrCreateCounter(fmt.Sprintf("endiveflow_control_sent_total{kind=%q}", k))
		l.received[k] = metrics.GetOrCreateCounter(fmt.Sprintf("endiveflow_control_received_total{kind=%q}", k))
	}
	l.sentBytes = metrics.GetOrCreateCounter("endiveflow_control_sent_bytes_total")
	l.receivedBytes = metrics.GetOrCreateCounter("endiveflow_control_received_bytes_total")
	return l, nil
}

func countDropped(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("endiveflow_control_dropped_total{reason=%q}", reason)).Inc()
}

// send sends a message and returns its size including IP and UDP headers, or 0 if it was not sent. An error is
// treated like a lost datagram: the loops repeat important messages.
func (l *link) send(kind Kind, body any, to netip.AddrPort) int {
	data, err := seal(l.sealer, kind, body, to)
	if err != nil {
		countDropped("encode")
		return 0
	}
	if len(data) > maxDatagram {
		countDropped("tooLarge")
		return 0
	}
	if _, err := l.socket.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		countDropped("write")
		return 0
	}
	size := len(data) + headerBytes
	l.sent[kind].Inc()
	l.sentBytes.Add(size)
	return size
}

// read delivers authentic messages until ctx ends. It closes inbox before it returns. The error is nil only if
// ctx has ended.
func (l *link) read(ctx context.Context, inbox chan<- datagram) error {
	defer close(inbox)
	stop := context.AfterFunc(ctx, func() { _ = l.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buf := make([]byte, maxDatagram+1)
	for {
		n, addr, err := l.socket.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("reading control socket: %w", err)
		}
		if err != nil {
			// Errors such as a refused port of an earlier send affect only one peer.
			countDropped("read")
			continue
		}
		l.receive(buf[:n], addr, inbox)
	}
}

func (l *link) receive(data []byte, addr net.Addr, inbox chan<- datagram) {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		countDropped("address")
		return
	}
	from := netip.AddrPortFrom(udp.AddrPort().Addr().Unmap(), udp.AddrPort().Port())
	d, err := open(l.sealer, data, from, l.self().Control)
	if err != nil {
		countDropped(dropReason(err))
		return
	}
	l.received[d.kind].Inc()
	l.receivedBytes.Add(len(data) + headerBytes)
	select {
	case inbox <- d:
	default:
		countDropped("inboxFull")
	}
}

func dropReason(err error) string {
	switch {
	case errors.Is(err, errors.NotFound):
		return "unknownKey"
	case errors.Is(err, errors.Unauthorized):
		return "forged"
	}
	return "malformed"
}
