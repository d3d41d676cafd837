package tunnel

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// silenceAfter is how long an agent that sends to a caller may receive nothing from it before the
	// answers go through another entry.
	silenceAfter = time.Second
	// ackWindow is how long after a packet of the caller the agent may send packets that contain only
	// acknowledgements, which the caller does not answer. QUIC delays them by up to 25 ms; the rest is a
	// margin for a busy host.
	ackWindow = 50 * time.Millisecond
)

var pathMoves = metrics.GetOrCreateCounter("endiveflow_tunnel_path_moves_total")

// path is the route by which packets reach one caller.
type path struct {
	// addr is the caller's address as QUIC sees it. It is never modified.
	addr *net.UDPAddr
	// entry is the tunnel address of the entry that answers go through.
	entry netip.AddrPort
	// service is the service's address that the caller last sent to. It is not valid until a packet of the
	// caller has arrived.
	service netip.AddrPort
	// lastReceived is when the last packet of the caller arrived.
	lastReceived time.Time
	// unansweredSince is when the first packet was sent through entry that the caller should have answered
	// but has not; zero if there is none.
	unansweredSince time.Time
}

// init sets the caller's address of a new path.
func (p *path) init(caller netip.AddrPort) {
	if p.addr == nil {
		p.addr = net.UDPAddrFromAddrPort(caller)
	}
}

// received records a packet that the caller sent to an address of the service and that arrived through an
// entry.
func (p *path) received(entry, service netip.AddrPort, now time.Time) {
	p.entry = entry
	p.service = service
	p.lastReceived = now
	p.unansweredSince = time.Time{}
}

// chooseEntry returns the entry for a packet to the caller and records that the packet is sent. An idle
// caller causes no switch to another entry, because silence counts from the first packet that the agent
// sends after the ackWindow. Only an entry that is no longer live is replaced immediately, and only if the
// caller has been silent for silenceAfter too. The result is not valid when there is no entry.
func (p *path) chooseEntry(live []netip.AddrPort, now time.Time) netip.AddrPort {
	silence := now.Sub(p.lastReceived)
	switch {
	case !p.entry.IsValid():
		p.switchEntry(live, now)
	case silence <= ackWindow:
	case p.unansweredSince.IsZero():
		p.unansweredSince = now
		if silence >= silenceAfter && len(live) > 0 && !slices.Contains(live, p.entry) {
			p.switchEntry(live, now)
		}
	case now.Sub(p.unansweredSince) >= silenceAfter-ackWindow:
		p.switchEntry(live, now)
	}
	return p.entry
}

// switchEntry switches to the live entry that follows the current one. It keeps the current one if there is
// no other.
func (p *path) switchEntry(live []netip.AddrPort, now time.Time) {
	p.unansweredSince = now
	if len(live) == 0 {
		return
	}
	at := slices.Index(live, p.entry)
	next := at + 1
	if at < 0 {
		// The port spreads the callers of a lost entry over the others.
		next = p.addr.Port
	}
	to := live[next%len(live)]
	if to == p.entry {
		return
	}
	if p.entry.IsValid() {
		pathMoves.Inc()
	}
	p.entry = to
}
