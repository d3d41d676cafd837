package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/quicheader"
	"endiveflow.example/endiveflow/tunnel"
)

// packetBuffer has room for the tunnel header, the largest packet and one more byte, so that longer packets
// are detected.
type packetBuffer [tunnel.HeaderBytes + tunnel.MaxInnerPacket + 1]byte

// inbound is a packet of a caller.
type inbound struct {
	socket *serviceSocket
	caller netip.AddrPort
	head   quicheader.Header
	// datagram is the packet, preceded by room for the tunnel header.
	datagram []byte
}

// packetBytes returns the length of the packet.
func (p inbound) packetBytes() int { return len(p.datagram) - tunnel.HeaderBytes }

// readErrorPause is the pause after a read error, so that a persistent error does not occupy a core.
const readErrorPause = 10 * time.Millisecond

// Counters of packets and of drops, by reason.
var (
	flowPackets   = packetCounter("flow")
	firstFlights  = packetCounter("first flight")
	returnPackets = packetCounter("return")

	dropLong      = dropCounter("too long")
	dropMalformed = dropCounter("malformed")
	dropID        = dropCounter("unknown connection ID")
	dropService   = dropCounter("other service")
	dropHost      = dropCounter("host not allowed")
	dropGone      = dropCounter("agent gone")
	dropNoAgent   = dropCounter("no agent")
	dropDatagram  = dropCounter("datagram")
	dropKind      = dropCounter("kind")
	dropNoSocket  = dropCounter("service not bound")
	dropFormer    = dropCounter("former address")
	dropWrite     = dropCounter("write")
	dropRead      = dropCounter("read")

	resetPackets = map[GoneReason]*metrics.Counter{
		GoneLeft:     resetCounter(GoneLeft),
		GoneReplaced: resetCounter(GoneReplaced),
		GoneDead:     resetCounter(GoneDead),
	}
)

func packetCounter(kind string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("endiveflow_entry_packets_total{kind=%q}", kind))
}

func dropCounter(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("endiveflow_entry_dropped_total{reason=%q}", reason))
}

func resetCounter(reason GoneReason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("endiveflow_entry_resets_total{reason=%q}", reason))
}

// readService forwards the packets of callers until the socket is closed.
func (f *Forwarder) readService(ctx context.Context, s *serviceSocket) {
	var buf packetBuffer
	for {
		n, caller, err := s.conn.ReadFromUDPAddrPort(buf[tunnel.HeaderBytes:])
		if err != nil {
			if !f.pauseAfterReadError(ctx, err) {
				return
			}
			continue
		}
		f.handleCallerPacket(s, buf[:tunnel.HeaderBytes+n], unmap(caller))
	}
}

// readTunnel forwards answers to callers until the socket is closed.
func (f *Forwarder) readTunnel(ctx context.Context) {
	var buf packetBuffer
	for {
		n, _, err := f.cfg.Tunnel.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			if !f.pauseAfterReadError(ctx, err) {
				return
			}
			continue
		}
		f.handleAgentPacket(buf[:n])
	}
}

// pauseAfterReadError pauses after a transient error. It returns false when the socket is closed or the
// context has ended.
func (f *Forwarder) pauseAfterReadError(ctx context.Context, err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	dropRead.Inc()
	timer := time.NewTimer(readErrorPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// handleCallerPacket forwards one packet of a caller. In datagram, the packet is preceded by room for the
// tunnel header.
func (f *Forwarder) handleCallerPacket(s *serviceSocket, datagram []byte, caller netip.AddrPort) {
	packet := datagram[tunnel.HeaderBytes:]
	if len(packet) > tunnel.MaxInnerPacket {
		dropLong.Inc()
		return
	}
	head, err := quicheader.Parse(packet)
	if err != nil {
		dropMalformed.Inc()
		return
	}
	p := inbound{socket: s, caller: caller, head: head, datagram: datagram}
	place, err := f.ids.Decode(head.Destination)
	switch {
	case err == nil:
		f.forwardFlow(p, place)
	case !head.Long:
		dropID.Inc()
	case head.Version == 0:
		// Only servers send Version Negotiation packets.
		dropMalformed.Inc()
	default:
		f.forwardFirstFlight(p)
	}
}

// forwardFlow sends a packet to the agent in its connection ID, whether or not the membership lists that
// agent, unless the agent is in f.gone. The agent must serve a service that has or had the socket's
// address.
func (f *Forwarder) forwardFlow(p inbound, place flowid.Place) {
	address, former := p.socket.use.Load().addressOf(place.Service)
	if !address.IsValid() {
		dropService.Inc()
		return
	}
	host := place.Agent.Addr()
	if !f.cfg.AllowsHost(place.Service, host) && (former == nil || !former.allows(host)) {
		dropHost.Inc()
		return
	}
	if gone := *f.gone.Load(); len(gone) > 0 {
		if reason, ok := gone[place]; ok {
			f.reset(p, place.Service, reason)
			return
		}
	}
	f.send(p.datagram, tunnel.Header{
		Kind:           tunnel.KindFlow,
		Service:        place.Service,
		Incarnation:    place.Incarnation,
		Caller:         p.caller,
		ServiceAddress: address,
	}, place.Agent)
	flowPackets.Inc()
}

// forwardFirstFlight handles a packet whose connection ID was chosen by the caller. It sends the packet to an
// agent of the service that has the socket's address now.
func (f *Forwarder) forwardFirstFlight(p inbound) {
	use := p.socket.use.Load()
	if !use.current.address.IsValid() {
		dropFormer.Inc()
		return
	}
	first, second, ok := use.table.Choose(p.head.Destination)
	if !ok {
		dropNoAgent.Inc()
		return
	}
	f.send(p.datagram, tunnel.Header{
		Kind:           tunnel.KindFirstFlight,
		Service:        use.current.service,
		Incarnation:    first.Incarnation,
		Caller:         p.caller,
		SecondOrEntry:  second.Tunnel,
		ServiceAddress: use.current.address,
	}, first.Tunnel)
	firstFlights.Inc()
}

func (f *Forwarder) send(datagram []byte, h tunnel.Header, agent netip.AddrPort) {
	f.codec.Encapsulate(datagram, h)
	if _, err := f.cfg.Tunnel.WriteToUDPAddrPort(datagram, agent); err != nil {
		dropWrite.Inc()
	}
}

// reset ends the caller's flow with a stateless reset. Only packets with a short header are answered,
// because a caller in its handshake has no reset token yet.
func (f *Forwarder) reset(p inbound, tag config.ServiceTag, reason GoneReason) {
	if p.head.Long {
		dropGone.Inc()
		return
	}
	token, err := f.tokens.Token(p.head.Destination, tag)
	if err != nil {
		dropGone.Inc()
		return
	}
	answer, ok := flowid.AppendReset(p.datagram[:0], token, p.packetBytes())
	if !ok {
		dropGone.Inc()
		return
	}
	if _, err := p.socket.conn.WriteToUDPAddrPort(answer, p.caller); err != nil {
		dropWrite.Inc()
		return
	}
	resetPackets[reason].Inc()
}

// handleAgentPacket sends one answer to its caller from the service's address that the caller uses. An
// entry without that address drops the answer, because the caller would not accept it from another address.
func (f *Forwarder) handleAgentPacket(datagram []byte) {
	if len(datagram) == len(packetBuffer{}) {
		dropLong.Inc()
		return
	}
	h, packet, err := f.codec.Parse(datagram)
	if err != nil || !h.Caller.IsValid() {
		dropDatagram.Inc()
		return
	}
	if h.Kind != tunnel.KindReturn {
		dropKind.Inc()
		return
	}
	s := (*f.sockets.Load())[binding{h.Service, h.ServiceAddress}]
	if s == nil {
		dropNoSocket.Inc()
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(packet, h.Caller); err != nil {
		dropWrite.Inc()
		return
	}
	returnPackets.Inc()
}
