package entry

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/testkit"
	"endiveflow.example/endiveflow/tunnel"
)

// setNow replaces the clock of a forwarder whose loop is not running.
func setNow(f *Forwarder) *time.Time {
	now := start
	f.cfg.Now = func() time.Time { return now }
	return &now
}

// addressModel checks a forwarder against a model of the addresses that services have and had.
type addressModel struct {
	f      *Forwarder
	caller *net.UDPConn
	agents []*sink
	// owners maps each address to the service that has it now.
	owners    map[netip.AddrPort]config.ServiceTag
	everBound map[binding]bool
}

// configure records which service gets each address: among several with the same address, the one that has
// it already, or else the one with the lowest tag.
func (m *addressModel) configure(services map[config.ServiceTag]netip.AddrPort) {
	owners := make(map[netip.AddrPort]config.ServiceTag)
	for address, tag := range m.owners {
		if services[tag] == address {
			owners[address] = tag
		}
	}
	for _, tag := range slices.Sorted(maps.Keys(services)) {
		if _, taken := owners[services[tag]]; !taken {
			owners[services[tag]] = tag
		}
	}
	m.owners = owners
	for address, tag := range owners {
		m.everBound[binding{tag, address}] = true
	}
}

// check sends a packet of each service and an answer through each open socket.
func (m *addressModel) check(t *rapid.T) {
	for local, s := range m.f.bound {
		require.Equal(t, m.owners[local], s.use.Load().current.service)
		for _, agent := range m.agents {
			b := binding{agent.place.Service, local}
			answer := agent.codec.Append(nil, tunnel.Header{Kind: tunnel.KindReturn, Service: b.service, Caller: testkit.AddrOf(m.caller), ServiceAddress: local}, []byte("answer"))
			packet := agent.packet(t, 1)
			if !m.everBound[b] {
				refusedPackets, refusedAnswers := dropService.Get(), dropNoSocket.Get()
				sendTo(t, m.caller, testkit.AddrOf(s.conn), packet)
				sendTo(t, agent.UDPConn, testkit.AddrOf(m.f.cfg.Tunnel), answer)
				require.Eventually(t, func() bool {
					return dropService.Get() == refusedPackets+1 && dropNoSocket.Get() == refusedAnswers+1
				}, 5*time.Second, 100*time.Microsecond)
				continue
			}
			sendTo(t, m.caller, testkit.AddrOf(s.conn), packet)
			require.Equal(t, local, agent.requirePacket(t, packet).ServiceAddress)
			sendTo(t, agent.UDPConn, testkit.AddrOf(m.f.cfg.Tunnel), answer)
			require.NoError(t, m.caller.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, from, err := m.caller.ReadFromUDPAddrPort(make([]byte, 1500))
			require.NoError(t, err)
			require.Equal(t, testkit.AddrOf(s.conn), from)
		}
	}
}

// Under any sequence of address changes, including two services with the same address, a packet must reach
// only the agent in its connection ID, only through an address that the agent's service has or had, and the
// answer must be sent from that address.
func TestSharedAddressesKeepServicesSeparate(t *testing.T) {
	ring, v := testkit.Ring(t, 1), newView()
	tags := []config.ServiceTag{serviceA, serviceB, 0xc}
	m := &addressModel{f: newForwarder(t, ring, v), caller: testkit.Listen(t)}
	for _, tag := range tags {
		m.agents = append(m.agents, newSink(t, ring, tag))
	}
	now := setNow(m.f)
	bind(t, m.f)
	configure := func(services map[config.ServiceTag]netip.AddrPort) {
		v.services.Store(&services)
		m.f.refresh(context.Background())
	}
	rapid.Check(t, func(t *rapid.T) {
		configure(nil)
		*now = now.Add(formerMaxAge)
		m.f.periodicCheck(context.Background())
		require.Empty(t, m.f.bound)
		m.owners, m.everBound = nil, make(map[binding]bool)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			services := make(map[config.ServiceTag]netip.AddrPort)
			for _, tag := range tags {
				if number := rapid.ByteRange(0, 4).Draw(t, "address"); number > 0 {
					services[tag] = anyPort(number)
				}
			}
			configure(services)
			m.configure(services)
			m.check(t)
		}
	})
}

// A former address that is closed too early breaks flows; one that is never closed holds its socket for
// ever.
func TestFormerAddressCloseReason(t *testing.T) {
	for name, c := range map[string]struct {
		drainFor, held, idle time.Duration
		want                 interface{ Get() uint64 }
	}{
		"new":             {30 * time.Second, time.Minute, time.Minute, nil},
		"idle":            {30 * time.Second, time.Hour, time.Hour, formerUnused},
		"in use":          {30 * time.Second, 11 * time.Hour, time.Minute, nil},
		"past maximum":    {30 * time.Second, 12 * time.Hour, time.Minute, formerExpired},
		"longer drainFor": {20 * time.Hour, 19 * time.Hour, 19 * time.Hour, nil},
	} {
		t.Run(name, func(t *testing.T) {
			a := &formerAddress{since: start, lastPacket: start.Add(c.held - c.idle)}
			reason := a.closeReason(c.drainFor, start.Add(c.held))
			if c.want == nil {
				require.Nil(t, reason)
				return
			}
			require.Same(t, c.want, reason)
		})
	}
}

// Packets must keep a former address open, the oldest addresses in excess of the limit must be closed, and
// an address that was closed must not be added again from the audit entries.
func TestFormerAddressesAreBounded(t *testing.T) {
	ring, v, caller := testkit.Ring(t, 1), newView(), testkit.Listen(t)
	agent, f := newSink(t, ring, serviceA), newForwarder(t, ring, v)
	now := setNow(f)
	f.cfg.Former = func() []FormerAddress {
		return []FormerAddress{{Service: serviceA, Address: anyPort(1), Until: start}}
	}
	bind(t, f)
	to := f.Bound()[serviceA]
	v.services.Store(&map[config.ServiceTag]netip.AddrPort{})
	f.refresh(t.Context())
	*now = now.Add(formerIdleTimeout - time.Second)
	packet := agent.packet(t, 1)
	sendTo(t, caller, to, packet)
	agent.requirePacket(t, packet)
	for range 2 {
		f.periodicCheck(t.Context())
		*now = now.Add(formerIdleTimeout - time.Second)
	}
	require.Len(t, f.bound, 1)
	*now = now.Add(time.Second)
	f.periodicCheck(t.Context())
	require.Empty(t, f.bound)
	f.refresh(t.Context())
	require.Empty(t, f.bound)

	for i := range maxFormer + 1 {
		b := binding{serviceB, netip.AddrPortFrom(testkit.Loopback, uint16(i))}
		f.former[b] = &formerAddress{binding: b, since: start.Add(time.Duration(i))}
	}
	f.limitFormer()
	require.Len(t, f.former, maxFormer)
	require.NotContains(t, f.former, binding{serviceB, netip.AddrPortFrom(testkit.Loopback, 0)})
}

// With BindIP, the sockets do not have the services' addresses, so an entry cannot distinguish a former
// address from the current one. It must forward the flows of both.
func TestChangeOfAddressWithBindIP(t *testing.T) {
	ring, v, caller := testkit.Ring(t, 1), newView(), testkit.Listen(t)
	agent, f := newSink(t, ring, serviceA), newForwarder(t, ring, v)
	f.cfg.BindIP = testkit.Loopback
	v.services.Store(&map[config.ServiceTag]netip.AddrPort{serviceA: anyPort(1)})
	bind(t, f)
	to := f.Bound()[serviceA]
	v.services.Store(&map[config.ServiceTag]netip.AddrPort{serviceA: anyPort(2)})
	f.refresh(t.Context())
	require.Equal(t, map[config.ServiceTag]netip.AddrPort{serviceA: to}, f.Bound())
	packet := agent.packet(t, 1)
	sendTo(t, caller, to, packet)
	require.Equal(t, anyPort(2), agent.requirePacket(t, packet).ServiceAddress)
	for _, address := range []netip.AddrPort{anyPort(1), anyPort(2), {}} {
		require.NotNil(t, (*f.sockets.Load())[binding{serviceA, address}])
	}
}
