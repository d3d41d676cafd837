package control

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"
)

// network delivers datagrams between fake sockets with a random delay. Its faults are drawn from a seeded
// source.
type network struct {
	mu    sync.Mutex
	rand  *rand.Rand
	conns map[netip.AddrPort]*conn
	// partitioned reports whether datagrams between two addresses are lost; nil means that none are.
	partitioned func(from, to netip.AddrPort) bool
	// loss and repeat are probabilities. delay is the maximum delay; a large one reorders datagrams.
	loss, repeat float64
	delay        time.Duration
	// sent counts the bytes sent by each socket, including IP and UDP headers.
	sent map[netip.AddrPort]int
	// record enables the recording of sent datagrams for replay.
	record   bool
	recorded []recorded
}

type recorded struct {
	packet
	to netip.AddrPort
}

// replay delivers a random recorded datagram of one sender again.
func (n *network) replay(from netip.AddrPort) {
	n.mu.Lock()
	all := slices.DeleteFunc(slices.Clone(n.recorded), func(r recorded) bool { return r.from != from })
	r := all[n.rand.IntN(len(all))]
	n.mu.Unlock()
	n.deliver(r.to, r.packet)
}

func newNetwork(seed uint64) *network {
	return &network{
		rand: rand.New(rand.NewPCG(seed, seed)), conns: make(map[netip.AddrPort]*conn),
		delay: time.Millisecond, sent: make(map[netip.AddrPort]int),
	}
}

// set changes the fault settings.
func (n *network) set(change func(*network)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

func (n *network) setPartition(partitioned func(from, to netip.AddrPort) bool) {
	n.set(func(n *network) { n.partitioned = partitioned })
}

func (n *network) listen(addr netip.AddrPort) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &conn{network: n, addr: addr, in: make(chan packet, 4096), expired: make(chan struct{})}
	n.conns[addr] = c
	return c
}

type packet struct {
	data []byte
	from netip.AddrPort
}

// conn is a fake net.PacketConn. A read deadline in the past ends it.
type conn struct {
	network *network
	addr    netip.AddrPort
	in      chan packet
	once    sync.Once
	expired chan struct{}
}

func (c *conn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case <-c.expired:
		return 0, nil, os.ErrDeadlineExceeded
	case p := <-c.in:
		return copy(b, p.data), net.UDPAddrFromAddrPort(p.from), nil
	}
}

func (c *conn) WriteTo(b []byte, to net.Addr) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	dst := to.(*net.UDPAddr).AddrPort()
	n.sent[c.addr] += len(b) + 28
	if n.record {
		n.recorded = append(n.recorded, recorded{packet: packet{data: slices.Clone(b), from: c.addr}, to: dst})
	}
	if n.conns[dst] == nil || n.partitioned != nil && n.partitioned(c.addr, dst) || n.rand.Float64() < n.loss {
		return len(b), nil
	}
	copies := 1
	if n.rand.Float64() < n.repeat {
		copies = 2
	}
	for range copies {
		p := packet{data: append([]byte(nil), b...), from: c.addr}
		time.AfterFunc(time.Duration(n.rand.Int64N(int64(n.delay))), func() { n.deliver(dst, p) })
	}
	return len(b), nil
}

func (n *network) deliver(to netip.AddrPort, p packet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[to]; c != nil {
		select {
		case c.in <- p:
		default:
		}
	}
}

func (c *conn) SetReadDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		c.once.Do(func() { close(c.expired) })
	}
	return nil
}

func (c *conn) Close() error                     { return nil }
func (c *conn) LocalAddr() net.Addr              { return net.UDPAddrFromAddrPort(c.addr) }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
