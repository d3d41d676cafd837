package node

import (
	"fmt"
	"net"
	"net/netip"

	"endiveflow.example/endiveflow/settings"
)

// socketBuffer is the size of a socket's kernel buffers in bytes; the kernel may grant less.
const socketBuffer = 4 << 20

// Sockets are the UDP sockets of a process.
type Sockets struct {
	Tunnel, Control, Peer *net.UDPConn
}

// Listen binds the three sockets of a process. Port 0 picks a free port; AddrOf returns the bound address.
func Listen(settings settings.Node) (Sockets, error) {
	var s Sockets
	var err error
	if s.Tunnel, err = listen("tunnel", settings.TunnelAddress); err != nil {
		return Sockets{}, err
	}
	if s.Control, err = listen("control", settings.ControlAddress); err != nil {
		s.Close()
		return Sockets{}, err
	}
	if s.Peer, err = listen("peer", settings.PeerAddress); err != nil {
		s.Close()
		return Sockets{}, err
	}
	return s, nil
}

func listen(name string, addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("binding %s address %s: %w", name, addr, err)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// Close closes all sockets. It may be called more than once.
func (s Sockets) Close() {
	for _, c := range []*net.UDPConn{s.Tunnel, s.Control, s.Peer} {
		if c != nil {
			c.Close()
		}
	}
}

// AddrOf returns the bound address of a socket.
func AddrOf(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}
