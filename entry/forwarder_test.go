package entry

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/testkit"
	_ "endiveflow.example/endiveflow/testseed"
	"endiveflow.example/endiveflow/tunnel"
)

// anyPort returns a loopback address with a port that the kernel chooses. Each number gives a different
// address.
func anyPort(number byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, number}), 0)
}

// view is the configuration and membership that one forwarder sees.
type view struct {
	services atomic.Pointer[map[config.ServiceTag]netip.AddrPort]
	members  atomic.Pointer[[]member.Record]
	changed  chan struct{}
}

func newView(records ...member.Record) *view {
	v := &view{changed: make(chan struct{}, 1)}
	v.services.Store(&map[config.ServiceTag]netip.AddrPort{serviceA: anyPort(1), serviceB: anyPort(2)})
	v.members.Store(&records)
	return v
}

func (v *view) agentsOf(tag config.ServiceTag) []member.Record {
	var records []member.Record
	for _, r := range *v.members.Load() {
		if r.Service == tag {
			records = append(records, r)
		}
	}
	return records
}

func newForwarder(t testing.TB, ring *fleetkey.Ring, v *view) *Forwarder {
	f, err := NewForwarder(ForwarderConfig{
		Ring:       ring,
		Tunnel:     testkit.Listen(t),
		Services:   func() map[config.ServiceTag]netip.AddrPort { return *v.services.Load() },
		Members:    v.agentsOf,
		AllowsHost: func(_ config.ServiceTag, ip netip.Addr) bool { return ip.IsLoopback() },
		Changed:    v.changed,
		Readers:    1,
		Log:        slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	return f
}

// bind starts a forwarder without its loop, so that the test controls when it refreshes.
func bind(t testing.TB, f *Forwarder) {
	f.refresh(t.Context())
	f.readers.Go(func() { f.readTunnel(t.Context()) })
	t.Cleanup(f.close)
}

// sink is an agent that only receives.
type sink struct {
	*net.UDPConn
	codec *tunnel.Codec
	place flowid.Place
	ids   *flowid.Codec
}

func newSink(t testing.TB, ring *fleetkey.Ring, service config.ServiceTag) *sink {
	codec, err := tunnel.NewCodec(ring)
	require.NoError(t, err)
	ids, err := flowid.New(flowid.Config{Ring: ring})
	require.NoError(t, err)
	socket := testkit.Listen(t)
	return &sink{socket, codec, flowid.Place{Agent: testkit.AddrOf(socket), Service: service, Incarnation: 5}, ids}
}

// packet returns a packet of a flow at the sink, recognizable by its mark.
func (s *sink) packet(t require.TestingT, mark byte) []byte {
	id, err := s.ids.NewGenerator(s.place).GenerateConnectionID()
	require.NoError(t, err)
	return append(append([]byte{0x40}, id.Bytes()...), bytes.Repeat([]byte{mark}, 30)...)
}

func (s *sink) requirePacket(t require.TestingT, want []byte) tunnel.Header {
	require.NoError(t, s.SetReadDeadline(time.Now().Add(5*time.Second)))
	buf := make([]byte, 1500)
	n, err := s.Read(buf)
	require.NoError(t, err)
	h, packet, err := s.codec.Parse(buf[:n])
	require.NoError(t, err)
	require.Equal(t, s.place.Service, h.Service)
	require.Equal(t, s.place.Incarnation, h.Incarnation)
	require.Equal(t, want, packet)
	return h
}

func sendTo(t require.TestingT, from *net.UDPConn, to netip.AddrPort, packet []byte) {
	_, err := from.WriteToUDPAddrPort(packet, to)
	require.NoError(t, err)
}

// An entry must send each packet of an open flow to the flow's agent even when its membership view is
// empty, stale or newer.
func TestFlowStaysOnAgentUnderAnyMemberView(t *testing.T) {
	ring := testkit.Ring(t, 1)
	agent, v, caller := newSink(t, ring, serviceA), newView(), testkit.Listen(t)
	f := newForwarder(t, ring, v)
	bind(t, f)
	rapid.Check(t, func(t *rapid.T) {
		var records []member.Record
		for i := range rapid.IntRange(0, 6).Draw(t, "members") {
			state := member.State(rapid.IntRange(int(member.StateStarting), int(member.StateDead)).Draw(t, "state"))
			records = append(records, record(i, serviceA, member.Incarnation(rapid.IntRange(1, 9).Draw(t, "incarnation")), state))
		}
		if rapid.Bool().Draw(t, "lists agent") {
			own := record(0, serviceA, member.Incarnation(rapid.IntRange(1, 5).Draw(t, "own incarnation")), member.StateReady)
			own.Tunnel = agent.place.Agent
			own.State = rapid.SampledFrom([]member.State{member.StateStarting, member.StateDraining, member.StateDead}).Draw(t, "own state")
			records = append(records, own)
		}
		v.members.Store(&records)
		f.refresh(context.Background())
		packet := agent.packet(t, rapid.Byte().Draw(t, "mark"))
		sendTo(t, caller, f.Bound()[serviceA], packet)
		agent.requirePacket(t, packet)
	})
}

// A packet must never reach an agent of another service, even while and after two services share an
// address, nor a host that the service does not allow.
func TestPacketsStayWithinService(t *testing.T) {
	ring := testkit.Ring(t, 1)
	a, b := newSink(t, ring, serviceA), newSink(t, ring, serviceB)
	v, caller := newView(), testkit.Listen(t)
	f := newForwarder(t, ring, v)
	bind(t, f)
	foreign := newSink(t, ring, serviceA)
	foreign.place.Agent = netip.MustParseAddrPort("192.0.2.1:9")
	refused := func(to netip.AddrPort, reason interface{ Get() uint64 }, packet []byte) {
		t.Helper()
		before := reason.Get()
		sendTo(t, caller, to, packet)
		// Each socket has one reader, so the next packet that b receives was sent after the refused one.
		sendTo(t, caller, f.Bound()[serviceB], b.packet(t, 9))
		b.SetReadDeadline(time.Now().Add(5 * time.Second))
		require.Eventually(t, func() bool { return reason.Get() == before+1 }, 5*time.Second, time.Millisecond)
		_, err := b.Read(make([]byte, 1500))
		require.NoError(t, err)
	}
	addressA, addressB := f.Bound()[serviceA], f.Bound()[serviceB]
	refused(addressB, dropService, a.packet(t, 1))
	refused(addressA, dropService, b.packet(t, 1))
	refused(addressA, dropHost, foreign.packet(t, 1))
	refused(addressA, dropID, bytes.Repeat([]byte{0x41}, 100))
	refused(addressA, dropNoAgent, append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, 1200)...))
	refused(addressA, dropMalformed, []byte{0x40})
	refused(addressA, dropLong, make([]byte, tunnel.MaxInnerPacket+1))

	// Service A is deleted, and service B moves to its address. Flows of A stay with their agent until the
	// former address is closed.
	now := time.Now()
	f.cfg.Now = func() time.Time { return now }
	v.services.Store(&map[config.ServiceTag]netip.AddrPort{serviceB: anyPort(1)})
	f.refresh(t.Context())
	require.Equal(t, map[config.ServiceTag]netip.AddrPort{serviceB: addressA}, f.Bound())
	kept := a.packet(t, 2)
	sendTo(t, caller, addressA, kept)
	a.requirePacket(t, kept)
	refused(addressB, dropService, a.packet(t, 1))
	refused(addressB, dropFormer, append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, 1200)...))
	now = now.Add(formerMaxAge)
	f.periodicCheck(t.Context())
	refused(addressA, dropService, a.packet(t, 1))
	requireNoPacket(t, a)
	requireNoPacket(t, b)
}

// requireNoPacket checks that no packet has arrived.
func requireNoPacket(t *testing.T, s *sink) {
	t.Helper()
	require.NoError(t, s.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := s.Read(make([]byte, 1500))
	require.Error(t, err)
}

// A stopping entry must keep forwarding during the grace period, because the fabric still sends packets to
// it.
func TestStopForwardsUntilGraceEnds(t *testing.T) {
	ring := testkit.Ring(t, 1)
	agent, v, caller := newSink(t, ring, serviceA), newView(), testkit.Listen(t)
	f := newForwarder(t, ring, v)
	ended := f.Run(t.Context())
	to := f.Bound()[serviceA]
	ctx, endGrace := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.Stop(ctx, time.Hour)
	}()
	for mark := range byte(3) {
		packet := agent.packet(t, mark)
		sendTo(t, caller, to, packet)
		agent.requirePacket(t, packet)
	}
	require.Empty(t, ended)
	endGrace()
	require.NoError(t, <-ended)
	<-stopped
	require.Empty(t, f.Bound())
}

// Refreshes must not occupy a core. On a busy machine, the gap between them must not delay the binding of
// new services for seconds.
func TestRefreshGap(t *testing.T) {
	require.Equal(t, minRefreshGap, refreshGapAfter(time.Millisecond))
	require.Equal(t, 500*time.Millisecond, refreshGapAfter(5*time.Millisecond))
	require.Equal(t, time.Second, refreshGapAfter(50*time.Millisecond))
}
