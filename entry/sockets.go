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

// manyServices is the number of services past which each has one reader. A
// second reader would cost 6.5 KB per service, 60 MB for 9,300 addresses, and the
// load of each of so many is small.
const manyServices = 64

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
	// local is the address that was to be bound. Its port is 0 when the kernel chose it.
	local netip.AddrPort
	conn  *net.UDPConn
	use   atomic.Pointer[socketUse]
}

// socketUse is an immutable description of the services that a socket serves.
// Two services have one socket after one got an address of the other.
type socketUse struct {
	// current is the service that has the address now. It is zero when there
	// is none; then the socket takes no first flights.
	current binding
	table   route.Table
	// former are services that had the address. The socket takes packets of
	// their established flows.
	former []*formerAddress
}

// addressOf returns the address that a service's flows use on the socket. It is
// not valid when the socket takes no packets of the service. The second result
// is set when the address is a former one.
func (u *socketUse) addressOf(tag config.ServiceTag) (netip.AddrPort, *formerAddress) {
	if u.current.service == tag && u.current.address.IsValid() {
		return u.current.address, nil
	}
	for _, former := range u.former {
		if former.service == tag {
			former.note()
			return former.address, former
		}
	}
	return netip.AddrPort{}, nil
}

// current says whether the socket accepts first flights for the binding.
func (s *serviceSocket) current(b binding) bool { return s.use.Load().current == b }

// local returns the address to bind for an address of a service.
func (f *Forwarder) local(address netip.AddrPort) netip.AddrPort {
	if f.cfg.BindIP.IsValid() {
		return netip.AddrPortFrom(f.cfg.BindIP, address.Port())
	}
	return address
}

// bind makes the sockets those of the configured services and of the former
// addresses that may have flows. A socket stays open while its address passes
// from one service to another.
func (f *Forwarder) bind(ctx context.Context) {
	f.bindFailed = false
	uses := f.uses()
	f.closeUnused(uses)
	var opened []*serviceSocket
	for local, use := range uses {
		s := f.bound[local]
		if s == nil {
			conn, err := open(local)
			if err != nil {
				f.failUse(use, err)
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

// uses returns what the sockets are to be used for, by local address. Of two
// services with one address, which an entry sees while a swap of addresses has
// reached it in part, the one that has the socket keeps it.
func (f *Forwarder) uses() map[netip.AddrPort]*socketUse {
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
			f.failBind(b, errors.AlreadyExistsf("socket %v of service %d", local, uint32(u.current.service)))
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

func (f *Forwarder) failBind(b binding, err error) {
	f.bindFailed = true
	bindErrors.Inc()
	f.cfg.Log.Error("service not bound", "service", uint32(b.service), "address", b.address.String(), "err", err)
}

// failUse notes that a socket could not be opened. Without a service that has
// the address now, the address may have left the entry for good.
func (f *Forwarder) failUse(use *socketUse, err error) {
	if use.current.address.IsValid() {
		f.failBind(use.current, err)
		return
	}
	for _, former := range use.former {
		f.cfg.Log.Warn("former address not bound", "address", former.address.String(), "err", err)
		f.giveUp(former, formerFailed)
	}
}

// closeUnused closes the sockets without a use. Answers stop using them before.
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

// publish makes the bound sockets those that answers leave from.
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
	if len(f.services) > manyServices {
		return 1
	}
	return f.cfg.Readers
}

func open(local netip.AddrPort) (*net.UDPConn, error) {
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
