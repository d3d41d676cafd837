//go:build review3

package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Header of the packet protocol, as PROTOCOL.md describes it.
const (
	headBytes = 36
	flagACK   = 1
	flagRST   = 8
	flagFIN   = 16
	flagBNC   = 32
	flagSYN   = 64
	// sumKey is the key of the sum, which only clients and hosts know.
	sumKey = "review-3"
)

// packet is one datagram between a client and a host.
type packet struct {
	src, dst     netip.AddrPort
	flags        byte
	echo         uint32
	seq, ack     uint32
	data         []byte
	sum          uint32
	pad          [5]byte
	isSystemSent bool
}

func ipText(b []byte) netip.Addr {
	return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]})
}

func putIP(b []byte, a netip.Addr) {
	v := a.As4()
	b[0], b[1], b[2], b[3] = v[3], v[2], v[1], v[0]
}

// sumOf is the keyed sum over all fields except echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	c := bytes.Clone(b)
	clear(c[0:8])
	c[22] &^= flagBNC
	clear(c[23:28])
	_, _ = h.Write(c)
	return max(h.Sum32(), 1)
}

func (p packet) bytes() []byte {
	b := make([]byte, headBytes+len(p.data))
	binary.LittleEndian.PutUint16(b[8:], p.dst.Port())
	binary.LittleEndian.PutUint16(b[10:], p.src.Port())
	putIP(b[12:], p.dst.Addr())
	putIP(b[16:], p.src.Addr())
	binary.LittleEndian.PutUint16(b[20:], uint16(len(p.data)))
	b[22] = p.flags
	binary.LittleEndian.PutUint32(b[28:], p.seq)
	binary.LittleEndian.PutUint32(b[32:], p.ack)
	copy(b[headBytes:], p.data)
	binary.LittleEndian.PutUint32(b[0:], sumOf(b))
	return b
}

// parse decodes a datagram. ok is false if its sum doesn't match, which a reset of the system's own never does.
func parse(b []byte) (p packet, ok bool) {
	if len(b) < headBytes || int(binary.LittleEndian.Uint16(b[20:])) != len(b)-headBytes {
		return packet{}, false
	}
	p = packet{
		dst:   netip.AddrPortFrom(ipText(b[12:]), binary.LittleEndian.Uint16(b[8:])),
		src:   netip.AddrPortFrom(ipText(b[16:]), binary.LittleEndian.Uint16(b[10:])),
		flags: b[22], echo: binary.LittleEndian.Uint32(b[4:]),
		seq: binary.LittleEndian.Uint32(b[28:]), ack: binary.LittleEndian.Uint32(b[32:]),
		data: bytes.Clone(b[headBytes:]), sum: binary.LittleEndian.Uint32(b[0:]),
	}
	p.isSystemSent = p.sum == 0 && p.flags&flagRST != 0 && len(p.data) == 0
	return p, p.sum == sumOf(b)
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

func (p packet) String() string {
	text := ""
	for _, f := range []struct {
		flag byte
		name string
	}{{flagSYN, "SYN "}, {flagACK, "ACK "}, {flagFIN, "FIN "}, {flagRST, "RST "}, {flagBNC, "BOUNCED "}} {
		if p.has(f.flag) {
			text += f.name
		}
	}
	return fmt.Sprintf("%s%d bytes seq %d ack %d", text, len(p.data), p.seq, p.ack)
}
