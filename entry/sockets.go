package entry

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/route"
)

// manyServices is the number of services past which each has one reader. A
// second reader would cost 6.5 KB per service, 60 MB for 9,300 addresses, and the
// load of each of so many is small.
const manyServices = 64

var bindErrors = metrics.GetOrCreateCounter("endiveflow_entry_bind_errors_total")

// serviceSocket is the socket that callers of one service send to.
type serviceSocket struct {
	tag config.ServiceTag
	// address is the configured address, which may differ from the bound one.
	address netip.AddrPort
	conn    *net.UDPConn
	table   atomic.Pointer[route.Table]
}

// bind makes the sockets those of the configured services. A socket is closed
// before another service gets its address.
func (f *Forwarder) bind(ctx context.Context) {
	before := *f.sockets.Load()
	after := maps.Clone(before)
	for tag, s := range before {
		if f.services[tag] == s.address {
			continue
		}
		delete(after, tag)
	}
	// Answers stop using a socket before it closes.
	f.sockets.Store(&after)
	for tag, s := range before {
		if after[tag] == nil {
			_ = s.conn.Close()
		}
	}
	bound := maps.Clone(after)
	for tag, address := range f.services {
		if bound[tag] != nil {
			continue
		}
		s, err := f.open(tag, address)
		if err != nil {
			bindErrors.Inc()
			f.cfg.Log.Error("service not bound", "service", uint32(tag), "address", address.String(), "err", err)
			continue
		}
		bound[tag] = s
	}
	f.sockets.Store(&bound)
	for tag, s := range bound {
		if after[tag] != nil {
			continue
		}
		for range f.readersPerService() {
			f.readers.Go(func() { f.readService(ctx, s) })
		}
	}
}

// readersPerService returns Readers, or 1 when there are many services.
func (f *Forwarder) readersPerService() int {
	if len(f.services) > manyServices {
		return 1
	}
	return f.cfg.Readers
}

func (f *Forwarder) open(tag config.ServiceTag, address netip.AddrPort) (*serviceSocket, error) {
	at := address
	if f.cfg.BindIP.IsValid() {
		at = netip.AddrPortFrom(f.cfg.BindIP, address.Port())
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("binding %v: %w", at, err)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	s := &serviceSocket{tag: tag, address: address, conn: conn}
	table := f.table(tag)
	s.table.Store(&table)
	return s, nil
}

// close closes all sockets and waits for their readers.
func (f *Forwarder) close() {
	sockets := *f.sockets.Load()
	f.sockets.Store(&map[config.ServiceTag]*serviceSocket{})
	for _, s := range sockets {
		_ = s.conn.Close()
	}
	_ = f.cfg.Tunnel.Close()
	f.readers.Wait()
}
