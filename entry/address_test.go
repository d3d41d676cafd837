package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/testkit"
)

// flowCheckDuration is how long the tests check flows after a change of addresses.
const flowCheckDuration = 3 * time.Second

// addressSite is a site with two services at two addresses.
type addressSite struct {
	*site
	views      []*view
	forwarders []*Forwarder
}

// newAddressSite starts agents 1 and 2 of service A, agents 3 and 4 of service B, and three forwarders.
func newAddressSite(t *testing.T) *addressSite {
	s := &addressSite{site: newSite(t, 2)}
	for number := range byte(2) {
		s.agents = append(s.agents, startAgent(t, testkit.Ring(t, 1, 2), serviceB, 3+number, s.entries))
	}
	for range 3 {
		s.start(t, newView(s.records()...), nil)
	}
	s.useEntries(s.forwarders...)
	return s
}

// start starts one more forwarder.
func (s *addressSite) start(t *testing.T, v *view, change func(*ForwarderConfig)) {
	f := newForwarder(t, testkit.Ring(t, 1, 2), v)
	if change != nil {
		change(&f.cfg)
	}
	ended := f.Run(t.Context())
	t.Cleanup(func() { require.NoError(t, <-ended) })
	s.views, s.forwarders = append(s.views, v), append(s.forwarders, f)
}

// fabricTo returns a fabric to the address that a service has now.
func (s *addressSite) fabricTo(t *testing.T, tag config.ServiceTag) *fabric {
	fabric := newFabric(t)
	for _, f := range s.forwarders {
		fabric.entries = append(fabric.entries, f.Bound()[tag])
	}
	fabric.use(fabric.entries...)
	return fabric
}

// configure changes the addresses of the services and waits until the forwarders have bound them.
func (s *addressSite) configure(t *testing.T, services map[config.ServiceTag]netip.AddrPort) {
	before := s.forwarders[0].Bound()
	for _, v := range s.views {
		v.services.Store(&services)
		v.changed <- struct{}{}
	}
	for _, f := range s.forwarders {
		require.Eventually(t, func() bool {
			bound := f.Bound()
			return len(bound) == len(services) && bound[serviceA] != before[serviceA]
		}, 5*time.Second, time.Millisecond)
	}
}

// requireFlows sends requests over the flows for flowCheckDuration and checks that each flow stays with its
// agent.
func requireFlows(t *testing.T, agentOf map[*quic.Conn]byte) {
	t.Helper()
	for end := time.Now().Add(flowCheckDuration); time.Now().Before(end); {
		for conn, agent := range agentOf {
			require.Equal(t, agent, requireEcho(t, conn))
		}
	}
}

func dialFlows(t *testing.T, f *fabric, flows int, into map[*quic.Conn]byte) {
	for range flows {
		conn := dial(t, f)
		into[conn] = requireEcho(t, conn)
	}
}

// Flows on a former address of a service must stay open when an operator moves the service to another
// address and then deletes it.
func TestFlowsSurviveChangeOfAddress(t *testing.T) {
	s := newAddressSite(t)
	agentOf := make(map[*quic.Conn]byte)
	dialFlows(t, s.fabricTo(t, serviceA), 6, agentOf)
	s.configure(t, map[config.ServiceTag]netip.AddrPort{serviceA: anyPort(3), serviceB: anyPort(2)})
	dialFlows(t, s.fabricTo(t, serviceA), 2, agentOf)
	requireFlows(t, agentOf)
	s.configure(t, map[config.ServiceTag]netip.AddrPort{serviceB: anyPort(2)})
	requireFlows(t, agentOf)
}

// Entries that start after a service was deleted together with its Upstreams must forward the flows that
// are still open.
func TestFlowsSurviveNewEntriesAfterDeletion(t *testing.T) {
	s := newAddressSite(t)
	toA := s.fabricTo(t, serviceA)
	agentOf := make(map[*quic.Conn]byte)
	dialFlows(t, toA, 6, agentOf)
	s.forwarders = nil
	for range 3 {
		v := newView()
		v.services.Store(&map[config.ServiceTag]netip.AddrPort{serviceB: anyPort(2)})
		s.start(t, v, func(cfg *ForwarderConfig) {
			cfg.AllowsHost = func(tag config.ServiceTag, _ netip.Addr) bool { return tag == serviceB }
			cfg.Former = func() []FormerAddress {
				networks := []netip.Prefix{netip.PrefixFrom(testkit.Loopback, 8)}
				return []FormerAddress{{Service: serviceA, Address: anyPort(1), Until: time.Now().Add(-time.Minute), Networks: networks}}
			}
		})
	}
	s.useEntries(s.forwarders...)
	var addresses []netip.AddrPort
	for _, f := range s.forwarders {
		addresses = append(addresses, testkit.AddrOf((*f.sockets.Load())[binding{serviceA, anyPort(1)}].conn))
	}
	toA.use(addresses...)
	requireFlows(t, agentOf)
}

// Two services that swap their addresses in one change must keep their flows, and no packet of one service
// may reach an agent of the other.
func TestAddressSwapKeepsServicesSeparate(t *testing.T) {
	s := newAddressSite(t)
	toA, toB := s.fabricTo(t, serviceA), s.fabricTo(t, serviceB)
	agentOf := make(map[*quic.Conn]byte)
	dialFlows(t, toA, 4, agentOf)
	dialFlows(t, toB, 4, agentOf)
	before := wrongService.Get()
	s.configure(t, map[config.ServiceTag]netip.AddrPort{serviceA: anyPort(2), serviceB: anyPort(1)})
	for range 3 {
		require.Greater(t, requireEcho(t, dial(t, toA)), byte(2))
		require.LessOrEqual(t, requireEcho(t, dial(t, toB)), byte(2))
	}
	requireFlows(t, agentOf)
	require.Equal(t, before, wrongService.Get())
}

// wrongService counts the packets that reached an agent of another service.
var wrongService = metrics.GetOrCreateCounter(`endiveflow_tunnel_dropped_total{reason="service"}`)
