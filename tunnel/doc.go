// Package tunnel carries QUIC packets between entries and agents in
// authenticated UDP datagrams, and gives an agent the net.PacketConn on which
// its QUIC transport exchanges packets with callers.
package tunnel
