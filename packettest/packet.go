// Package packettest provides a simulated fleet, and packets of callers and hosts, for tests of the packet
// path.
package packettest

import (
	"encoding/binary"

	"endiveflow.example/endiveflow/flow"
)

// Flags in the header of a packet.
const (
	ACK     = 1
	RST     = 8
	FIN     = 16
	Bounced = 32
	SYN     = 64
)

const headerBytes = 36

// Packet describes a packet to encode.
type Packet struct {
	Flow      flow.Key
	FromHost  bool
	Flags     byte
	Seq, Ack  uint32
	DataBytes int
}

// Bytes encodes the packet as its sender would.
func (p Packet) Bytes() []byte {
	b := make([]byte, headerBytes+p.DataBytes)
	source, destination := p.Flow.Caller, p.Flow.Service
	if p.FromHost {
		source, destination = destination, source
	}
	// The checksum is opaque to the system, which only has to leave it unchanged.
	binary.LittleEndian.PutUint32(b[0:], 0xa1b2c3d5^p.Seq)
	binary.LittleEndian.PutUint16(b[8:], destination.Port)
	binary.LittleEndian.PutUint16(b[10:], source.Port)
	binary.LittleEndian.PutUint32(b[12:], destination.IP)
	binary.LittleEndian.PutUint32(b[16:], source.IP)
	binary.LittleEndian.PutUint16(b[20:], uint16(p.DataBytes))
	b[22] = p.Flags
	binary.LittleEndian.PutUint32(b[28:], p.Seq)
	binary.LittleEndian.PutUint32(b[32:], p.Ack)
	return b
}

// Key returns the key of a caller's nth flow to the route at 198.18.0.1:8443.
func Key(n int) flow.Key {
	return flow.Key{
		Caller:  flow.Endpoint{IP: 0x64400001 + uint32(n>>14), Port: uint16(1024 + n&0x3fff)},
		Service: flow.Endpoint{IP: 0xc6120001, Port: 8443},
	}
}

// Open returns the opening packet of a flow. attempt is 0 for the first transmission and counts retransmissions.
func Open(k flow.Key, attempt uint32) []byte {
	return Packet{Flow: k, Flags: SYN, Seq: 1000, Ack: attempt}.Bytes()
}

// Accept returns a host's answer to an opening packet.
func Accept(k flow.Key, seq uint32) []byte {
	return Packet{Flow: k, FromHost: true, Flags: SYN | ACK, Seq: seq, Ack: 1001}.Bytes()
}

// Request returns a caller's data packet that acknowledges the host's sequence number ack.
func Request(k flow.Key, ack uint32, dataBytes int) []byte {
	return Packet{Flow: k, Flags: ACK, Seq: 1001, Ack: ack, DataBytes: dataBytes}.Bytes()
}

// Answer returns a host's data packet.
func Answer(k flow.Key, seq uint32, dataBytes int) []byte {
	return Packet{Flow: k, FromHost: true, Flags: ACK, Seq: seq, Ack: 1200, DataBytes: dataBytes}.Bytes()
}

// Bounce returns a caller's packet as a host bounces it.
func Bounce(packet []byte) []byte {
	b := append([]byte(nil), packet...)
	b[22] |= Bounced
	clear(b[23:28])
	return b
}
