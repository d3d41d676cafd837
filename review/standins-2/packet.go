package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Layout and flags of packets, see PROTOCOL.md.
const (
	headerBytes = 36
	flagACK     = 1
	flagRST     = 8
	flagFIN     = 16
	flagBounced = 32
	flagSYN     = 64
)

// end is an address and port of a flow.
type end struct {
	ip   netip.Addr
	port uint16
}

func (e end) String() string { return fmt.Sprintf("%s:%d", e.ip, e.port) }

// packet is a decoded packet. raw is the datagram.
type packet struct {
	src, dst end
	flags    byte
	seq, ack uint32
	data     []byte
	sum      uint32
	raw      []byte
}

func putIP(b []byte, ip netip.Addr) {
	a := ip.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(a[:]))
}

func getIP(b []byte) netip.Addr {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(a)
}

// encode returns the datagram of a packet with its sum.
func (p packet) encode() []byte {
	b := make([]byte, headerBytes+len(p.data))
	binary.LittleEndian.PutUint16(b[8:], p.dst.port)
	binary.LittleEndian.PutUint16(b[10:], p.src.port)
	putIP(b[12:], p.dst.ip)
	putIP(b[16:], p.src.ip)
	binary.LittleEndian.PutUint16(b[20:], uint16(len(p.data)))
	b[22] = p.flags
	binary.LittleEndian.PutUint32(b[28:], p.seq)
	binary.LittleEndian.PutUint32(b[32:], p.ack)
	copy(b[headerBytes:], p.data)
	binary.LittleEndian.PutUint32(b, sumOf(b))
	return b
}

// sumOf returns the sum over all fields but echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the ends"))
	_, _ = h.Write(b[8:22])
	_, _ = h.Write([]byte{b[22] &^ flagBounced})
	_, _ = h.Write(b[28:])
	return max(h.Sum32(), 1)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || int(binary.LittleEndian.Uint16(b[20:])) != len(b)-headerBytes {
		return packet{}, false
	}
	raw := append([]byte(nil), b...)
	return packet{
		dst: end{getIP(raw[12:]), binary.LittleEndian.Uint16(raw[8:])}, src: end{getIP(raw[16:]), binary.LittleEndian.Uint16(raw[10:])},
		flags: raw[22], seq: binary.LittleEndian.Uint32(raw[28:]), ack: binary.LittleEndian.Uint32(raw[32:]),
		data: raw[headerBytes:], sum: binary.LittleEndian.Uint32(raw), raw: raw,
	}, true
}

// intact reports whether the packet is as its sender wrote it.
func (p packet) intact() bool { return p.sum == sumOf(p.raw) }

func (p packet) is(flags byte) bool { return p.flags&flags == flags }

// kind names a packet in the record.
func (p packet) kind() string {
	s := ""
	for _, f := range []struct {
		flag byte
		name string
	}{{flagSYN, "SYN"}, {flagACK, "ACK"}, {flagFIN, "FIN"}, {flagRST, "RST"}} {
		if p.is(f.flag) {
			s += f.name + " "
		}
	}
	return fmt.Sprintf("%sseq %d ack %d, %d bytes", s, p.seq, p.ack, len(p.data))
}

func bounced(p packet) []byte {
	b := append([]byte(nil), p.raw...)
	b[22] |= flagBounced
	clear(b[23:28])
	return b
}

// flowKey identifies a flow by the client's and the route's end.
type flowKey struct{ client, route end }

func (k flowKey) String() string { return k.client.String() + ">" + k.route.String() }
