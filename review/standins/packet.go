package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Packets as PROTOCOL.md, "Packets", describes them.
const (
	headBytes = 36
	maxData   = 1200
	fACK      = 1
	fRST      = 8
	fFIN      = 16
	fBOUNCED  = 32
	fSYN      = 64
	// resetWindow is how far the number of a reset may be from the client's last ack on an open flow.
	resetWindow = 76800
)

// key identifies a flow.
type key struct{ client, route netip.AddrPort }

func (k key) String() string { return k.client.String() + ">" + k.route.String() }

// packet is a decoded packet. raw are its bytes.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	raw      []byte
}

func (p packet) is(f byte) bool { return p.flags&f != 0 }
func (p packet) opens() bool    { return p.is(fSYN) && !p.is(fACK) }

func (p packet) flagNames() string {
	out := ""
	for _, f := range []struct {
		bit  byte
		name string
	}{{fSYN, "SYN "}, {fACK, "ACK "}, {fFIN, "FIN "}, {fRST, "RST "}, {fBOUNCED, "BOUNCED "}} {
		if p.is(f.bit) {
			out += f.name
		}
	}
	return out + fmt.Sprintf("seq %d ack %d data %d", p.seq, p.ack, len(p.data))
}

func putAddr(b []byte, a netip.AddrPort, ipAt, portAt int) {
	v := a.Addr().As4()
	binary.LittleEndian.PutUint32(b[ipAt:], binary.BigEndian.Uint32(v[:]))
	binary.LittleEndian.PutUint16(b[portAt:], a.Port())
}

func getAddr(b []byte, ipAt, portAt int) netip.AddrPort {
	var v [4]byte
	binary.BigEndian.PutUint32(v[:], binary.LittleEndian.Uint32(b[ipAt:]))
	return netip.AddrPortFrom(netip.AddrFrom4(v), binary.LittleEndian.Uint16(b[portAt:]))
}

// sum is the keyed sum over all fields but echo, pad and BOUNCED.
func sum(b []byte) uint32 {
	c := bytes.Clone(b)
	clear(c[0:8])
	c[22] &^= fBOUNCED
	clear(c[23:28])
	h := fnv.New32a()
	h.Write([]byte("a key that the system does not know"))
	h.Write(c)
	return h.Sum32()
}

func encode(src, dst netip.AddrPort, flags byte, seq, ack uint32, data []byte) []byte {
	b := make([]byte, headBytes+len(data))
	putAddr(b, dst, 12, 8)
	putAddr(b, src, 16, 10)
	binary.LittleEndian.PutUint16(b[20:], uint16(len(data)))
	b[22] = flags
	binary.LittleEndian.PutUint32(b[28:], seq)
	binary.LittleEndian.PutUint32(b[32:], ack)
	copy(b[headBytes:], data)
	binary.LittleEndian.PutUint32(b, sum(b))
	return b
}

// decode decodes a packet. valid reports whether its sender wrote it so; a reset of the system's own has a sum of 0.
func decode(b []byte) (p packet, valid bool) {
	if len(b) < headBytes || int(binary.LittleEndian.Uint16(b[20:])) != len(b)-headBytes {
		return packet{}, false
	}
	raw := bytes.Clone(b)
	p = packet{
		src: getAddr(raw, 16, 10), dst: getAddr(raw, 12, 8), flags: raw[22],
		seq: binary.LittleEndian.Uint32(raw[28:]), ack: binary.LittleEndian.Uint32(raw[32:]), data: raw[headBytes:], raw: raw,
	}
	return p, binary.LittleEndian.Uint32(raw) == sum(raw)
}

func isOwnReset(p packet) bool {
	return p.is(fRST) && len(p.data) == 0 && binary.LittleEndian.Uint32(p.raw) == 0
}
