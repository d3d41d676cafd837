package control

import "net/netip"

// maxSources bounds the senders whose last sequence is kept: the entries of a
// region at the target size, the watched agents and room for restarted ones.
const maxSources = 4096

// freshness tells new datagrams from repeated and overtaken ones. Those are
// harmless for versioned state but must not count as signs of life.
type freshness struct {
	last map[source]uint64
}

// source is one process. A restarted process has another prefix; the old one
// is kept, so that its datagrams do not become fresh again.
type source struct {
	from   netip.AddrPort
	prefix uint32
}

func newFreshness() *freshness {
	return &freshness{last: make(map[source]uint64)}
}

// fresh says whether a datagram was sent after all those seen from its
// process. That the process is the expected one must follow from the
// incarnation that the message proves.
func (f *freshness) fresh(d datagram) bool {
	key := source{from: d.from, prefix: d.seq.prefix}
	last, ok := f.last[key]
	if ok && int64(d.seq.counter-last) <= 0 {
		return false
	}
	if !ok && len(f.last) >= maxSources {
		f.dropOne()
	}
	f.last[key] = d.seq.counter
	return true
}

func (f *freshness) dropOne() {
	for key := range f.last {
		delete(f.last, key)
		return
	}
}
