package packetnode

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetentry"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/routing"
)

// forwardedBytes is the size of the packets that BenchmarkForwardDatagram forwards.
const forwardedBytes = 1200

// BenchmarkForwardDatagram measures the processor time that an entry needs to receive a packet of 1,200 bytes of an open
// flow and to send it on, from which rotation.CoreBytesPerSecond is derived. Per packet, the entry makes two system calls
// (recvfrom and sendto), and three more if it was idle before: a recvfrom that finds nothing, and a wait and a wake-up
// around the arrival. "direct" is the same exchange without an entry; the difference between the cases is the entry's share.
func BenchmarkForwardDatagram(b *testing.B) {
	for _, c := range []struct {
		name string
		// batch is the number of packets that wait when the entry runs.
		batch   int
		forward bool
	}{
		{"direct/busy", 64, false}, {"forwarded/busy", 64, true}, {"direct/idle", 1, false}, {"forwarded/idle", 1, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			listen := func() *net.UDPConn {
				conn, err := listenUDP(b.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
				require.NoError(b, err)
				b.Cleanup(func() { _ = conn.Close() })
				return conn
			}
			addressOfConn := func(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }
			caller, entryConn, agent := listen(), listen(), listen()
			to := addressOfConn(agent)
			if c.forward {
				to = addressOfConn(entryConn)
				e := newForwardingEntry(b, func(_ uint32, d []byte) { sendTo(entryConn, addressOfConn(agent), d) })
				ended := receive(entryConn, e.FromCaller)
				b.Cleanup(func() { _ = entryConn.Close(); <-ended })
			}
			packet := packettest.Request(packettest.Key(1), 7, forwardedBytes-36)
			buffer := make([]byte, 2*forwardedBytes)
			start, packets := processorTime(b), 0
			for b.Loop() {
				for range c.batch {
					sendTo(caller, to, packet)
				}
				for range c.batch {
					_, _, err := agent.ReadFromUDPAddrPort(buffer)
					require.NoError(b, err)
				}
				packets += c.batch
			}
			b.ReportMetric(float64(processorTime(b)-start)/float64(packets), "cpu-ns/packet")
		})
	}
}

// processorTime returns the processor time that the process has used, in the system's part too. The time that passes depends
// on what else the machine does.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// newForwardingEntry returns an entry that has a record of the first flow.
func newForwardingEntry(b *testing.B, toMember func(uint32, []byte)) *packetentry.Entry {
	b.Helper()
	var routes routing.Holder
	at := packettest.Key(0).Service
	routes.StoreIfNewer(routing.NewTable(1, 0, []routing.Route{{Endpoint: at, Shares: []routing.Share{{Service: packettest.FirstService, Weight: 1}}}}))
	e := packetentry.New(packetentry.Config{
		IP: packettest.Address(1), Zone: "a", Now: monotonicClock(), Routes: &routes, ToCaller: func(flow.Endpoint, []byte) {}, ToMember: toMember,
		NewerConfig: func(uint32) {}, PeerDiscovered: func(uint32) {}, ScheduleTick: func(time.Duration) {}, Log: eventlog.New(eventlog.Config{Out: io.Discard}),
	})
	taken := mesh.Message{Kind: mesh.KindTaken, Origin: packettest.Address(100), Flow: packettest.Key(1), ConfigVersion: 1, Service: mesh.ServiceTag(packettest.FirstService)}
	e.Receive(taken.Append(nil))
	return e
}
