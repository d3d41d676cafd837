// Package tunnel carries QUIC packets between entries and agents in authenticated UDP datagrams. It
// provides the net.PacketConn through which an agent's QUIC transport exchanges packets with callers.
package tunnel
