package control

import "net/netip"

// maxSources bounds the senders whose last sequence number is kept: the entries of a region at the target size,
// the watched agents, and a reserve for restarted processes.
const maxSources = 4096

// freshness distinguishes new datagrams from duplicated and reordered ones. The latter are harmless for
// versioned state but must not count as evidence that the
// sender is alive.
type freshness struct {
	last map[source]uint64
}

// source is one run of a process. A restarted process has another prefix. The old one is kept, so that datagrams
// of the earlier run do not become fresh again.
type source struct {
	from   netip.AddrPort
	prefix uint32
}

func newFreshness() *freshness {
	return &freshness{last: make(map[source]uint64)}
}

// isFresh reports whether a datagram was sent after all those received from the same run of the process. A
// datagram of an earlier run can be fresh, too: callers must tell runs apart by the incarnation that the message
// proves.
func (f *freshness) isFresh(d datagram) bool {
	key := source{from: d.from, prefix: d.seq.prefix}
	last, ok := f.last[key]
	if ok && int64(d.seq.counter-last) <= 0 {
		return false
	}
	if !ok && len(f.last) >= maxSources {
		f.evictOne()
	}
	f.last[key] = d.seq.counter
	return true
}

func (f *freshness) evictOne() {
	for key := range f.last {
		delete(f.last, key)
		return
	}
}
