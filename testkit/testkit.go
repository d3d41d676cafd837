package testkit

import (
	"bytes"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/fleetkey"
)

// Loopback is the address that test sockets bind to.
var Loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Ring returns a key ring with the given key IDs, the first of which is active. A key ID has the same secret
// in the rings of all tests.
func Ring(t require.TestingT, ids ...uint8) *fleetkey.Ring {
	var cfg fleetkey.Config
	for _, id := range ids {
		cfg.Keys = append(cfg.Keys, fleetkey.Key{ID: id, Secret: bytes.Repeat([]byte{id}, fleetkey.MinSecretBytes)})
	}
	ring, err := fleetkey.New(cfg)
	require.NoError(t, err)
	return ring
}

// Listen returns a loopback UDP socket that is closed when the test ends.
func Listen(t testing.TB) *net.UDPConn {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(Loopback, 0)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// AddrOf returns the address of a UDP socket.
func AddrOf(c interface{ LocalAddr() net.Addr }) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}
