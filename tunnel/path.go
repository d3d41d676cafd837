package tunnel

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// silentAfter is how long an entry may pass nothing from a caller to whom
	// the agent sends before the answers take another entry.
	silentAfter = time.Second
	// ackWindow is how long after a packet of the caller the agent may send
	// mere acknowledgements, which the caller does not answer. QUIC delays
	// them by 25 ms; the rest is margin for a busy host.
	ackWindow = 50 * time.Millisecond
)

var pathMoves = metrics.GetOrCreateCounter("endiveflow_tunnel_path_moves_total")

// path is how packets reach one caller.
type path struct {
	// addr is the caller's address as QUIC sees it. It is never changed.
	addr *net.UDPAddr
	// entry is the tunnel address of the entry that answers go through.
	entry netip.AddrPort
	// service is the service's address that the caller last sent to. It is
	// not valid when the caller was not heard.
	service netip.AddrPort
	// heard is when a packet of the caller last came in.
	heard time.Time
	// unanswered is when the first packet was sent through entry that the
	// caller should have answered and has not; zero when there is none.
	unanswered time.Time
}

// init sets the caller's address of a new path.
func (p *path) init(caller netip.AddrPort) {
	if p.addr == nil {
		p.addr = net.UDPAddrFromAddrPort(caller)
	}
}

// hear notes a packet that the caller sent to an address of the service and
// that came in through an entry.
func (p *path) hear(entry, service netip.AddrPort, now time.Time) {
	p.entry = entry
	p.service = service
	p.heard = now
	p.unanswered = time.Time{}
}

// choose returns the entry for a packet to the caller and notes the packet. A
// caller that is idle moves nothing: silence counts from the first packet that
// the agent sends after the ackWindow. Only an entry that is no longer live is
// left at once, when the caller has been silent as well. The result is not
// valid when no entry is known.
func (p *path) choose(live []netip.AddrPort, now time.Time) netip.AddrPort {
	quiet := now.Sub(p.heard)
	switch {
	case !p.entry.IsValid():
		p.move(live, now)
	case quiet <= ackWindow:
	case p.unanswered.IsZero():
		p.unanswered = now
		if quiet >= silentAfter && len(live) > 0 && !slices.Contains(live, p.entry) {
			p.move(live, now)
		}
	case now.Sub(p.unanswered) >= silentAfter-ackWindow:
		p.move(live, now)
	}
	return p.entry
}

// move takes the live entry that follows the present one. It keeps the
// present one when there is no other.
func (p *path) move(live []netip.AddrPort, now time.Time) {
	p.unanswered = now
	if len(live) == 0 {
		return
	}
	at := slices.Index(live, p.entry)
	next := at + 1
	if at < 0 {
		// Callers of a lost entry spread over the others by their ports.
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
