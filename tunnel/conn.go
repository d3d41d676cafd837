package tunnel

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/quicheader"
)

// Bounds of the state that a Conn keeps.
const (
	// DefaultMaxCallers is the number of callers whose paths are kept. A host has about 2,000 connections.
	DefaultMaxCallers = 16384
	// maxFirstFlights is the number of accepted first flights that are kept. A handshake takes at most
	// 10 s, so this is enough for 800 new flows per second.
	maxFirstFlights = 8192
)

// minOpeningPacket is the length in bytes of the shortest datagram that opens
// a flow (RFC 9000, section 14.1).
const minOpeningPacket = 1200

// bufferBytes is the length of the largest datagram and one more byte, so that longer ones are detected.
const bufferBytes = HeaderBytes + MaxInnerPacket + 1

// ConnConfig configures a Conn.
type ConnConfig struct {
	// Socket receives the datagrams of entries. The Conn closes it.
	Socket *net.UDPConn
	Codec  *Codec
	// Service and Incarnation are those of the agent.
	Service     config.ServiceTag
	Incarnation uint16
	// Entries returns the tunnel addresses of the live entries. The Conn does not modify the result, which
	// may be shared.
	Entries func() []netip.AddrPort
	// AcceptsFlows reports whether the agent accepts new flows; nil means always.
	AcceptsFlows func() bool
	// ResetToken returns the stateless reset token of a connection ID. It is used to reset flows of the
	// agent's former incarnations; if it is nil, their packets are only dropped.
	ResetToken func(id []byte, service config.ServiceTag) ([flowid.ResetTokenBytes]byte, error)
	// MaxCallers is the number of callers whose paths are kept; 0 means DefaultMaxCallers.
	MaxCallers int
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Conn is the net.PacketConn of an agent's QUIC transport. Its remote addresses are those of callers; the
// entries in between are not visible. It is safe for concurrent use.
type Conn struct {
	// cfg holds the socket in a named field. If it were embedded, the QUIC library would find ReadMsgUDP
	// and read datagrams directly from the socket.
	cfg   ConnConfig
	paths *recentMap[path]
	// acceptedFlights holds the accepted first flights by caller and hash of the connection ID.
	acceptedFlights *recentMap[struct{}]
	// buffers holds *[bufferBytes]byte.
	buffers sync.Pool
}

var _ net.PacketConn = (*Conn)(nil)

// NewConn returns a Conn, or an error of kind errors.NotValid.
func NewConn(cfg ConnConfig) (*Conn, error) {
	if cfg.Socket == nil || cfg.Codec == nil || cfg.Entries == nil {
		return nil, errors.NotValidf("tunnel connection without socket, codec or entries")
	}
	if cfg.AcceptsFlows == nil {
		cfg.AcceptsFlows = func() bool { return true }
	}
	if cfg.MaxCallers <= 0 {
		cfg.MaxCallers = DefaultMaxCallers
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	c := &Conn{cfg: cfg, paths: newRecentMap[path](cfg.MaxCallers), acceptedFlights: newRecentMap[struct{}](maxFirstFlights)}
	c.buffers.New = func() any { return new([bufferBytes]byte) }
	return c, nil
}

// Counters of dropped packets, by reason.
var (
	dropLong        = dropCounter("too long")
	dropDatagram    = dropCounter("datagram")
	dropKind        = dropCounter("kind")
	dropService     = dropCounter("service")
	dropIncarnation = dropCounter("incarnation")
	dropNoEntry     = dropCounter("no entry")
	dropWrite       = dropCounter("write")

	forwarded = metrics.GetOrCreateCounter("endiveflow_tunnel_forwarded_total")
	resets    = metrics.GetOrCreateCounter("endiveflow_tunnel_resets_total")
)

func dropCounter(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("endiveflow_tunnel_dropped_total{reason=%q}", reason))
}

// ReadFrom returns the next packet of a caller and the caller's address, a *net.UDPAddr that must not be
// modified. Errors are those of the socket.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	buf := c.buffers.Get().(*[bufferBytes]byte)
	defer c.buffers.Put(buf)
	for {
		n, from, err := c.cfg.Socket.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			return 0, nil, err
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		packet, caller := c.receive(buf[:n], from)
		if caller != nil {
			return copy(p, packet), caller, nil
		}
	}
}

// receive returns the packet in a datagram and its caller, or nil when the
// packet is not for this agent.
func (c *Conn) receive(datagram []byte, from netip.AddrPort) ([]byte, *net.UDPAddr) {
	if len(datagram) == bufferBytes {
		dropLong.Inc()
		return nil, nil
	}
	h, packet, err := c.cfg.Codec.Parse(datagram)
	switch {
	case err != nil || !h.Caller.IsValid():
		dropDatagram.Inc()
		return nil, nil
	case h.Kind == KindReturn:
		dropKind.Inc()
		return nil, nil
	case h.Service != c.cfg.Service:
		dropService.Inc()
		return nil, nil
	}
	if h.Forwarded {
		// The agent that forwarded the packet does not have this agent's incarnation, and answers must go
		// through the entry, whose address it put into SecondOrEntry.
		from = h.SecondOrEntry
	} else if h.Incarnation != c.cfg.Incarnation {
		dropIncarnation.Inc()
		c.reset(h, packet, from)
		return nil, nil
	}
	if h.Kind == KindFirstFlight && !c.acceptsFirstFlight(h, packet) {
		c.forward(h, datagram, from)
		return nil, nil
	}
	return packet, c.recordPath(h, from)
}

// acceptsFirstFlight reports whether the agent accepts a first flight instead of forwarding it. It accepts
// packets of a flow that it has opened, and any packet that cannot be forwarded.
func (c *Conn) acceptsFirstFlight(h Header, packet []byte) bool {
	key := recentKey{caller: h.Caller, flight: firstFlightHash(packet)}
	canForward := !h.Forwarded && h.SecondOrEntry.IsValid()
	// A short datagram opens no flow. If this agent has not opened the flow, the second candidate may have.
	opens := len(packet) >= minOpeningPacket && c.cfg.AcceptsFlows()
	if opens || !canForward {
		c.acceptedFlights.with(key, true, func(*struct{}) {})
		return true
	}
	return c.acceptedFlights.with(key, false, func(*struct{}) {})
}

// firstFlightHash returns a hash that identifies a first flight among those of its caller.
func firstFlightHash(packet []byte) uint64 {
	head, err := quicheader.Parse(packet)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(head.Destination)
}

// forward sends a first flight on to the second candidate.
func (c *Conn) forward(h Header, datagram []byte, entry netip.AddrPort) {
	second := h.SecondOrEntry
	h.Forwarded = true
	h.SecondOrEntry = entry
	c.cfg.Codec.Encapsulate(datagram, h)
	if _, err := c.cfg.Socket.WriteToUDPAddrPort(datagram, second); err != nil {
		dropWrite.Inc()
		return
	}
	forwarded.Inc()
}

// recordPath records the entry and the service's address through which a caller's packet arrived, and
// returns the caller's address.
func (c *Conn) recordPath(h Header, entry netip.AddrPort) *net.UDPAddr {
	now := c.cfg.Now()
	var addr *net.UDPAddr
	c.paths.with(recentKey{caller: h.Caller}, true, func(p *path) {
		p.init(h.Caller)
		p.received(entry, h.ServiceAddress, now)
		addr = p.addr
	})
	return addr
}

// reset answers a packet for a former incarnation of this agent with a stateless reset. The flow no longer
// exists, because only one incarnation runs at an address at a time.
func (c *Conn) reset(h Header, packet []byte, entry netip.AddrPort) {
	head, err := quicheader.Parse(packet)
	if c.cfg.ResetToken == nil || h.Kind != KindFlow || err != nil || head.Long {
		return
	}
	token, err := c.cfg.ResetToken(head.Destination, h.Service)
	if err != nil {
		return
	}
	var buf [64]byte
	answer, ok := flowid.AppendReset(buf[:0], token, len(packet))
	if ok && c.send(answer, h.Caller, entry, h.ServiceAddress) == nil {
		resets.Inc()
	}
}

// WriteTo sends a packet to a caller through an entry. A packet that is too long or has no entry is dropped
// and counted, without an error, like a packet lost in the network. Errors are those of the socket or of
// kind errors.NotValid (address).
func (c *Conn) WriteTo(p []byte, addr net.Addr) (int, error) {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, errors.NotValidf("caller address %v of type %T", addr, addr)
	}
	caller := udp.AddrPort()
	caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
	if !caller.Addr().Is4() {
		return 0, errors.NotValidf("caller address %v that is not IPv4", caller)
	}
	if len(p) > MaxInnerPacket {
		dropLong.Inc()
		return len(p), nil
	}
	entry, service := c.pathTo(caller)
	if !entry.IsValid() {
		dropNoEntry.Inc()
		return len(p), nil
	}
	if err := c.send(p, caller, entry, service); err != nil {
		return 0, err
	}
	return len(p), nil
}

// pathTo returns the entry that a packet to a caller goes through, and the service's address that the entry
// sends it from.
func (c *Conn) pathTo(caller netip.AddrPort) (entry, service netip.AddrPort) {
	now := c.cfg.Now()
	live := c.cfg.Entries()
	c.paths.with(recentKey{caller: caller}, true, func(p *path) {
		p.init(caller)
		entry, service = p.chooseEntry(live, now), p.service
	})
	return entry, service
}

func (c *Conn) send(packet []byte, caller, entry, service netip.AddrPort) error {
	buf := c.buffers.Get().(*[bufferBytes]byte)
	defer c.buffers.Put(buf)
	h := Header{
		Kind:           KindReturn,
		Service:        c.cfg.Service,
		Incarnation:    c.cfg.Incarnation,
		Caller:         caller,
		ServiceAddress: service,
	}
	datagram := c.cfg.Codec.Append(buf[:0], h, packet)
	if _, err := c.cfg.Socket.WriteToUDPAddrPort(datagram, entry); err != nil {
		dropWrite.Inc()
		return fmt.Errorf("sending to entry %v: %w", entry, err)
	}
	return nil
}
