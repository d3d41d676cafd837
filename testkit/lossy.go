package testkit

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Lossy is a packet connection that drops packets from and to blocked addresses. Like tunnel.Conn, it hides
// the other methods of UDP sockets, so that a QUIC transport can't bypass it.
type Lossy struct {
	net.PacketConn
	// blocked has the string forms of addresses as keys.
	blocked sync.Map
}

// ListenLossy returns a connection at a UDP address. It is closed when the test ends.
func ListenLossy(t testing.TB, addr string) *Lossy {
	t.Helper()
	var listener net.ListenConfig
	socket, err := listener.ListenPacket(t.Context(), "udp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return &Lossy{PacketConn: socket}
}

// Addr returns the address of the connection.
func (l *Lossy) Addr() netip.AddrPort { return AddrOf(l.PacketConn) }

// Block drops all packets from and to an address until Unblock.
func (l *Lossy) Block(addr string) { l.blocked.Store(addr, true) }

// Unblock ends the effect of Block.
func (l *Lossy) Unblock(addr string) { l.blocked.Delete(addr) }

// ReadFrom implements net.PacketConn.
func (l *Lossy) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, addr, err := l.PacketConn.ReadFrom(p)
		if err != nil || !l.drops(addr) {
			return n, addr, err
		}
	}
}

// WriteTo implements net.PacketConn.
func (l *Lossy) WriteTo(p []byte, addr net.Addr) (int, error) {
	if l.drops(addr) {
		return len(p), nil
	}
	return l.PacketConn.WriteTo(p, addr)
}

func (l *Lossy) drops(addr net.Addr) bool {
	_, ok := l.blocked.Load(addr.String())
	return ok
}
