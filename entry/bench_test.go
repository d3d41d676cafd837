package entry

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/testkit"
	"endiveflow.example/endiveflow/tunnel"
)

// benchPacketBytes is the size of a full-size packet of a caller.
const benchPacketBytes = 1200

// benchPath runs packets through a forwarder's functions, including the system calls for sending, without
// reading them from a socket.
type benchPath struct {
	f       *Forwarder
	s       *serviceSocket
	agent   *sink
	caller  netip.AddrPort
	buf     packetBuffer
	inFlow  []byte
	opening []byte
	answers []byte
}

func newBenchPath(t testing.TB) *benchPath {
	ring := testkit.Ring(t, 1)
	agent := newSink(t, ring, serviceA)
	r := record(1, serviceA, member.Incarnation(agent.place.Incarnation), member.StateReady)
	r.Tunnel = agent.place.Agent
	f := newForwarder(t, ring, newView(r))
	bind(t, f)
	p := &benchPath{f: f, s: (*f.sockets.Load())[binding{service: serviceA}], agent: agent, caller: testkit.AddrOf(testkit.Listen(t))}
	p.inFlow = append(agent.packet(t, 1), make([]byte, benchPacketBytes)...)[:benchPacketBytes]
	p.opening = append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, benchPacketBytes-6)...)
	h := tunnel.Header{Kind: tunnel.KindReturn, Service: serviceA, Incarnation: 5, Caller: p.caller, ServiceAddress: anyPort(1)}
	p.answers = agent.codec.Append(nil, h, p.inFlow)
	return p
}

func (p *benchPath) forward(packet []byte) {
	n := copy(p.buf[tunnel.HeaderBytes:], packet)
	p.f.handleCallerPacket(p.s, p.buf[:tunnel.HeaderBytes+n], p.caller)
}

func (p *benchPath) flow()        { p.forward(p.inFlow) }
func (p *benchPath) firstFlight() { p.forward(p.opening) }

func (p *benchPath) answer() {
	n := copy(p.buf[:], p.answers)
	p.f.handleAgentPacket(p.buf[:n])
}

func BenchmarkPath(b *testing.B) {
	p := newBenchPath(b)
	for name, run := range map[string]func(){"flow": p.flow, "firstFlight": p.firstFlight, "return": p.answer} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				run()
			}
		})
	}
}

// BenchmarkLoopback sends as fast as possible through the sockets of one forwarder and reports the rate at
// which the agent receives packets; loopback drops the rest.
func BenchmarkLoopback(b *testing.B) {
	const senders = 4
	p := newBenchPath(b)
	p.f.readers.Go(func() { p.f.readService(b.Context(), p.s) })
	to := testkit.AddrOf(p.s.conn)
	require.NoError(b, p.agent.SetReadBuffer(socketBuffer))
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range senders {
		from := testkit.Listen(b)
		running.Go(func() { flood(from, to, p.inFlow, stop) })
	}
	buf := make([]byte, 1500)
	require.NoError(b, p.agent.SetReadDeadline(time.Time{}))
	begin := time.Now()
	for b.Loop() {
		if _, err := p.agent.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/time.Since(begin).Seconds(), "packets/s")
	close(stop)
	running.Wait()
}

func flood(from *net.UDPConn, to netip.AddrPort, packet []byte, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			_, _ = from.WriteToUDPAddrPort(packet, to)
		}
	}
}

// BenchmarkRefresh measures a refresh of an entry in a large region.
func BenchmarkRefresh(b *testing.B) {
	const agents = 15_000
	var records []member.Record
	for i := range agents {
		r := record(0, config.ServiceTag(i%930), 5, member.StateReady)
		r.Tunnel = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), 4000)
		r.ID = member.IDOf(member.RoleAgent, r.Tunnel)
		records = append(records, r)
	}
	byService := make(map[config.ServiceTag][]member.Record)
	for _, r := range records {
		byService[r.Service] = append(byService[r.Service], r)
	}
	f := newForwarder(b, testkit.Ring(b, 1), newView())
	f.cfg.Members = func(tag config.ServiceTag) []member.Record { return byService[tag] }
	services := make(map[config.ServiceTag]netip.AddrPort)
	for tag := range byService {
		services[tag] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(tag >> 8), byte(tag)}), 0)
	}
	f.cfg.Services = func() map[config.ServiceTag]netip.AddrPort { return services }
	bind(b, f)
	for b.Loop() {
		f.refresh(b.Context())
	}
}

// BenchmarkServices reports the memory of the forwarder by the number of bound services, including the
// stacks of their readers and excluding kernel memory.
func BenchmarkServices(b *testing.B) {
	for _, n := range []int{100, 300, 930} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := inUse()
				services := make(map[config.ServiceTag]netip.AddrPort, n)
				for i := range n {
					services[config.ServiceTag(i+1)] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 0)
				}
				f := newForwarder(b, testkit.Ring(b, 1), newView())
				f.cfg.Services = func() map[config.ServiceTag]netip.AddrPort { return services }
				f.refresh(b.Context())
				after := inUse()
				f.close()
				b.ReportMetric(float64(after-before)/float64(n), "bytes/service")
			}
		})
	}
}

// inUse returns the bytes of heap and stacks in use after a collection.
func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
