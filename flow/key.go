package flow

import (
	"cmp"
	"encoding/binary"
	"net/netip"
)

// Endpoint is an IPv4 address with a port. Unlike netip.AddrPort it contains no pointer, so that the garbage
// collector need not scan tables of millions of flows.
type Endpoint struct {
	IP   uint32
	Port uint16
}

// EndpointOf returns the endpoint of an IPv4 address, or the zero Endpoint for other addresses.
func EndpointOf(a netip.AddrPort) Endpoint {
	addr := a.Addr().Unmap()
	if !addr.Is4() {
		return Endpoint{}
	}
	b := addr.As4()
	return Endpoint{IP: binary.BigEndian.Uint32(b[:]), Port: a.Port()}
}

// Addr returns the address without the port.
func (e Endpoint) Addr() netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], e.IP)
	return netip.AddrFrom4(b)
}

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort { return netip.AddrPortFrom(e.Addr(), e.Port) }

// String returns the endpoint as ADDRESS:PORT.
func (e Endpoint) String() string { return e.AddrPort().String() }

// IPText returns an IPv4 address in dotted-decimal form, for logs.
func IPText(ip uint32) string { return Endpoint{IP: ip}.Addr().String() }

// Key identifies a flow.
type Key struct {
	// Caller is the endpoint of the caller.
	Caller Endpoint
	// Service is the address and port of the route.
	Service Endpoint
}

// String returns the flow ID that logs and commands show.
func (k Key) String() string { return k.Caller.String() + ">" + k.Service.String() }

// Compare orders keys, for collections whose order must not depend on that of a map.
func (k Key) Compare(other Key) int {
	return cmp.Or(k.Caller.compare(other.Caller), k.Service.compare(other.Service))
}

func (e Endpoint) compare(other Endpoint) int {
	return cmp.Or(cmp.Compare(e.IP, other.IP), cmp.Compare(e.Port, other.Port))
}

// Hash returns a hash of the key, by which flows are assigned to shards and candidates.
func (k Key) Hash() uint64 {
	return Mix(uint64(k.Caller.IP)<<32|uint64(k.Caller.Port)<<16|uint64(k.Service.Port)) ^ Mix(uint64(k.Service.IP)+1)
}

// Mix is the finalizer of MurmurHash3. Every input bit affects every output bit.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
