package entry

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/route"
)

// singleReaderServices is the number of services above which each service socket has a single reader. A
// second reader would cost 6.5 KB per service, 60 MB for 9,300 addresses, and with so many services the
// load of each is small.
const singleReaderServices = 64

var bindErrors = metrics.GetOrCreateCounter("endiveflow_entry_bind_errors_total")

// binding is a service at one of its addresses.
type binding struct {
	service config.ServiceTag
	// address is the configured address, which may differ from the bound one.
	// In a lookup, the zero value stands for the address that the service has now.
	address netip.AddrPort
}

// serviceSocket is a socket that callers send to.
type serviceSocket struct {
	// local is the requested local address. Its port is 0 if the kernel chooses the port.
	local netip.AddrPort
	conn  *net.UDPConn
	use   atomic.Pointer[socketUse]
}

// socketUse is an immutable description of the services that a socket serves. Two services share a socket
// after one got an address of the other.
type socketUse struct {
	// current is the service that has the address now. It is zero when there is none; the socket then
	// accepts no first flights.
	current binding
	table   route.Table
	// former holds the services that had the address. The socket accepts packets of their established
	// flows.
	former []*formerAddress
}

// addressOf returns the address that a service's flows use on the socket. It is not valid when the socket
// accepts no packets of the service. The second result is non-nil when the address is a former one.
func (u *socketUse) addressOf(tag config.ServiceTag) (netip.AddrPort, *formerAddress) {
	if u.current.service == tag && u.current.address.IsValid() {
		return u.current.address, nil
	}
	for _, former := range u.former {
		if former.service == tag {
			former.markActive()
			return former.address, former
		}
	}
	return netip.AddrPort{}, nil
}

// current reports whether the socket accepts first flights for the binding.
func (s *serviceSocket) current(b binding) bool { return s.use.Load().current == b }

// local returns the address to bind for an address of a service.
func (f *Forwarder) local(address netip.AddrPort) netip.AddrPort {
	if f.cfg.BindIP.IsValid() {
		return netip.AddrPortFrom(f.cfg.BindIP, address.Port())
	}
	return address
}

// bind opens and closes sockets to match the configured services and the former addresses that may have
// flows. A socket stays open when its address moves from one service to another.
func (f *Forwarder) bind(ctx context.Context) {
	f.bindFailed = false
	uses := f.socketUses()
	f.closeUnused(uses)
	var opened []*serviceSocket
	for local, use := range uses {
		s := f.bound[local]
		if s == nil {
			conn, err := listenUDP(local)
			if err != nil {
				f.handleOpenError(use, err)
				continue
			}
			s = &serviceSocket{local: local, conn: conn}
			f.bound[local] = s
			opened = append(opened, s)
		}
		s.use.Store(use)
	}
	f.publish()
	for _, s := range opened {
		for range f.readersPerService() {
			f.readers.Go(func() { f.readService(ctx, s) })
		}
	}
}

// socketUses returns the wanted use of each socket by local address. When two services have the same
// address, which happens while only part of an address swap has reached the entry, the service that already
// has the socket keeps it.
func (f *Forwarder) socketUses() map[netip.AddrPort]*socketUse {
	uses := make(map[netip.AddrPort]*socketUse, len(f.services))
	var others []binding
	for tag, address := range f.services {
		b := binding{tag, address}
		if s := f.bound[f.local(address)]; s != nil && s.current(b) {
			uses[s.local] = &socketUse{current: b, table: f.tables[tag]}
		} else {
			others = append(others, b)
		}
	}
	slices.SortFunc(others, func(a, b binding) int { return cmp.Compare(a.service, b.service) })
	for _, b := range others {
		local := f.local(b.address)
		if u := uses[local]; u != nil {
			f.reportBindError(b, errors.AlreadyExistsf("socket %v of service %d", local, uint32(u.current.service)))
			continue
		}
		uses[local] = &socketUse{current: b, table: f.tables[b.service]}
	}
	for _, former := range f.former {
		local := f.local(former.address)
		if uses[local] == nil {
			uses[local] = &socketUse{}
		}
		uses[local].former = append(uses[local].former, former)
	}
	return uses
}

func (f *Forwarder) reportBindError(b binding, err error) {
	f.bindFailed = true
	bindErrors.Inc()
	f.cfg.Log.Error("service not bound", "service", uint32(b.service), "address", b.address.String(), "err", err)
}

// handleOpenError handles a socket that could not be opened. If no service has the address now, the address
// may have been removed from this VM for good, so the former addresses are closed.
func (f *Forwarder) handleOpenError(use *socketUse, err error) {
	if use.current.address.IsValid() {
		f.reportBindError(use.current, err)
		return
	}
	for _, former := range use.former {
		f.cfg.Log.Warn("former address not bound", "address", former.address.String(), "err", err)
		f.closeFormer(former, formerFailed)
	}
}

// closeUnused closes the sockets that have no use, after removing them from the map of sockets that answers
// are sent from.
func (f *Forwarder) closeUnused(uses map[netip.AddrPort]*socketUse) {
	var unused []*serviceSocket
	for local, s := range f.bound {
		if uses[local] == nil {
			unused = append(unused, s)
			delete(f.bound, local)
		}
	}
	if len(unused) == 0 {
		return
	}
	f.publish()
	for _, s := range unused {
		_ = s.conn.Close()
	}
}

// publish rebuilds, from the bound sockets, the map of sockets that answers are sent from.
func (f *Forwarder) publish() {
	sockets := make(map[binding]*serviceSocket, 2*len(f.bound))
	for _, s := range f.bound {
		use := s.use.Load()
		if use.current.address.IsValid() {
			sockets[use.current] = s
			sockets[binding{service: use.current.service}] = s
		}
		for _, former := range use.former {
			sockets[former.binding] = s
		}
	}
	f.sockets.Store(&sockets)
}

// readersPerService returns Readers, or 1 when there are many services.
func (f *Forwarder) readersPerService() int {
	if len(f.services) > singleReaderServices {
		return 1
	}
	return f.cfg.Readers
}

func listenUDP(local netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fmt.Errorf("binding %v: %w", local, err)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// close closes all sockets and waits for their readers.
func (f *Forwarder) close() {
	f.sockets.Store(&map[binding]*serviceSocket{})
	for _, s := range f.bound {
		_ = s.conn.Close()
	}
	_ = f.cfg.Tunnel.Close()
	f.readers.Wait()
}
