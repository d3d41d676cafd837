package tunnel_test

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/testkit"
	"endiveflow.example/endiveflow/tunnel"
)

const (
	service     = config.ServiceTag(5)
	incarnation = uint16(7)
	// readTimeout bounds the wait for a packet on loopback.
	readTimeout = 5 * time.Second
)

var (
	caller = netip.MustParseAddrPort("192.0.2.1:5000")
	// address is the service's address that the caller uses.
	address = netip.MustParseAddrPort("198.51.100.1:443")
)

// listen returns a socket on which no read waits for longer than readTimeout.
func listen(t testing.TB) *net.UDPConn {
	socket := testkit.Listen(t)
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(readTimeout)))
	return socket
}

func newConn(t testing.TB, change func(*tunnel.ConnConfig)) *tunnel.Conn {
	cfg := tunnel.ConnConfig{
		Socket:      listen(t),
		Codec:       newCodec(t, 1),
		Service:     service,
		Incarnation: incarnation,
		Entries:     func() []netip.AddrPort { return nil },
	}
	if change != nil {
		change(&cfg)
	}
	conn, err := tunnel.NewConn(cfg)
	require.NoError(t, err)
	return conn
}

// firstFlight returns a packet with a long header and an 8-byte ID, padded to n bytes.
func firstFlight(id byte, n int) []byte {
	packet := append([]byte{0xc0, 0, 0, 0, 1, 8}, bytes.Repeat([]byte{id}, 8)...)
	return append(packet, make([]byte, n-len(packet))...)
}

func deliver(t *testing.T, from *net.UDPConn, to *tunnel.Conn, h tunnel.Header, packet []byte) {
	t.Helper()
	_, err := from.WriteToUDPAddrPort(newCodec(t, 1).Append(nil, h, packet), testkit.AddrOf(to))
	require.NoError(t, err)
}

func requireRead(t *testing.T, c *tunnel.Conn, want []byte) {
	t.Helper()
	buf := make([]byte, 1500)
	n, addr, err := c.ReadFrom(buf)
	require.NoError(t, err)
	require.Equal(t, want, buf[:n])
	require.Equal(t, caller.String(), addr.String())
}

// requireAnswer reads an answer that an agent sent through an entry, and checks that it is to be sent from
// the address that the caller uses.
func requireAnswer(t *testing.T, entry *net.UDPConn, from netip.AddrPort) []byte {
	t.Helper()
	buf := make([]byte, 1500)
	n, err := entry.Read(buf)
	require.NoError(t, err)
	h, packet, err := newCodec(t, 1).Parse(buf[:n])
	require.NoError(t, err)
	require.Equal(t, tunnel.KindReturn, h.Kind)
	require.Equal(t, service, h.Service)
	require.Equal(t, caller, h.Caller)
	require.Equal(t, from, h.ServiceAddress)
	return packet
}

// A draining agent must forward first flights, because its stop would cut their flows. An agent must not
// forward a packet that was already forwarded, or it would pass between two agents for ever.
func TestFirstFlightIsForwardedOnce(t *testing.T) {
	accepts := true
	draining := newConn(t, func(c *tunnel.ConnConfig) { c.AcceptsFlows = func() bool { return accepts } })
	second := newConn(t, func(c *tunnel.ConnConfig) {
		c.Incarnation++
		c.AcceptsFlows = func() bool { return false }
	})
	entry := listen(t)
	h := tunnel.Header{Kind: tunnel.KindFirstFlight, Service: service, Incarnation: incarnation, Caller: caller, SecondOrEntry: testkit.AddrOf(second), ServiceAddress: address}
	opened, later, last := firstFlight(1, 1200), firstFlight(2, 1200), firstFlight(3, 1200)
	rest := firstFlight(4, 100)

	// A short packet opens no flow, but the second candidate may have its flow.
	deliver(t, entry, draining, h, rest)
	deliver(t, entry, draining, h, opened)
	requireRead(t, draining, opened)
	accepts = false
	deliver(t, entry, draining, h, later)
	deliver(t, entry, draining, h, opened)
	requireRead(t, draining, opened)
	requireRead(t, second, rest)
	requireRead(t, second, later)

	h.SecondOrEntry = netip.AddrPort{}
	deliver(t, entry, draining, h, last)
	requireRead(t, draining, last)

	// The answer of the second agent goes through the entry, not the first agent.
	_, err := second.WriteTo([]byte("answer"), net.UDPAddrFromAddrPort(caller))
	require.NoError(t, err)
	require.Equal(t, []byte("answer"), requireAnswer(t, entry, address))
}

// A packet for another service or incarnation must not reach the agent that now has the address. A packet
// for a former incarnation must be answered with a stateless reset, which ends its flow at the caller.
func TestPacketsForOtherAgentsAreDropped(t *testing.T) {
	tokens := flowid.NewResetTokens(testkit.Ring(t, 1))
	conn := newConn(t, func(c *tunnel.ConnConfig) { c.ResetToken = tokens.Token })
	entry := listen(t)
	id := bytes.Repeat([]byte{1}, flowid.ConnectionIDLen)
	packet := append(append([]byte{0x40}, id...), make([]byte, 19)...)
	own := tunnel.Header{Kind: tunnel.KindFlow, Service: service, Incarnation: incarnation, Caller: caller, ServiceAddress: address}

	other := own
	other.Service++
	deliver(t, entry, conn, other, packet)
	returned := own
	returned.Kind = tunnel.KindReturn
	deliver(t, entry, conn, returned, packet)
	_, err := entry.WriteToUDPAddrPort(make([]byte, 100), testkit.AddrOf(conn))
	require.NoError(t, err)
	deliver(t, entry, conn, own, make([]byte, tunnel.MaxInnerPacket+1))
	former := own
	former.Incarnation--
	deliver(t, entry, conn, former, packet)
	deliver(t, entry, conn, own, packet[:25])
	requireRead(t, conn, packet[:25])

	token, err := tokens.Token(id, service)
	require.NoError(t, err)
	reset := requireAnswer(t, entry, address)
	require.Less(t, len(reset), len(packet))
	require.Equal(t, byte(0x40), reset[0]&0xc0)
	require.Equal(t, token[:], reset[len(reset)-flowid.ResetTokenBytes:])
}

// Answers must be sent from the service's address that the caller uses, because the caller ignores packets
// from any other address.
func TestAnswersFollowServiceAddress(t *testing.T) {
	entry := listen(t)
	conn := newConn(t, func(c *tunnel.ConnConfig) {
		c.Entries = func() []netip.AddrPort { return []netip.AddrPort{testkit.AddrOf(entry)} }
	})
	answer := func() {
		_, err := conn.WriteTo([]byte("answer"), net.UDPAddrFromAddrPort(caller))
		require.NoError(t, err)
	}
	answer()
	requireAnswer(t, entry, netip.AddrPort{})
	h := tunnel.Header{Kind: tunnel.KindFlow, Service: service, Incarnation: incarnation, Caller: caller}
	for _, h.ServiceAddress = range []netip.AddrPort{address, netip.MustParseAddrPort("198.51.100.2:443"), address} {
		deliver(t, entry, conn, h, []byte("packet"))
		requireRead(t, conn, []byte("packet"))
		answer()
		requireAnswer(t, entry, h.ServiceAddress)
	}
}

// A packet that cannot be sent must be dropped like one that the network loses. An error would end the QUIC
// transport.
func TestWriteWithoutPath(t *testing.T) {
	conn := newConn(t, nil)
	for _, size := range []int{1200, tunnel.MaxInnerPacket + 1} {
		n, err := conn.WriteTo(make([]byte, size), net.UDPAddrFromAddrPort(caller))
		require.NoError(t, err)
		require.Equal(t, size, n)
	}
	_, err := conn.WriteTo(nil, &net.UDPAddr{IP: net.IPv6loopback, Port: 1})
	require.Error(t, err)
}
