package entry

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/testkit"
	"endiveflow.example/endiveflow/tunnel"
)

const protocol = "test"

// fabric distributes the packets of callers over entries in turn and passes answers back, with one socket
// per caller.
type fabric struct {
	// front is the socket that callers send to.
	front *net.UDPConn
	mu    sync.Mutex
	// mu guards the fields below.
	entries []netip.AddrPort
	// used holds all entries so far. Answers from other addresses are dropped.
	used map[netip.AddrPort]bool
	next int
	// callerSockets holds the socket towards the entries of each caller.
	callerSockets map[netip.AddrPort]*net.UDPConn
}

func newFabric(t *testing.T) *fabric {
	f := &fabric{front: testkit.Listen(t), used: make(map[netip.AddrPort]bool), callerSockets: make(map[netip.AddrPort]*net.UDPConn)}
	var readers sync.WaitGroup
	t.Cleanup(func() {
		f.front.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, socket := range f.callerSockets {
			socket.Close()
		}
		readers.Wait()
	})
	readers.Go(func() {
		buf := make([]byte, 1500)
		for {
			n, caller, err := f.front.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			f.pass(&readers, caller, buf[:n])
		}
	})
	return f
}

func (f *fabric) pass(readers *sync.WaitGroup, caller netip.AddrPort, packet []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	socket := f.callerSockets[caller]
	if socket == nil {
		socket, _ = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(testkit.Loopback, 0)))
		f.callerSockets[caller] = socket
		readers.Go(func() {
			buf := make([]byte, 1500)
			for {
				n, from, err := socket.ReadFromUDPAddrPort(buf)
				if err != nil {
					return
				}
				if !f.uses(from) {
					continue
				}
				_, _ = f.front.WriteToUDPAddrPort(buf[:n], caller)
			}
		})
	}
	f.next++
	_, _ = socket.WriteToUDPAddrPort(packet, f.entries[f.next%len(f.entries)])
}

func (f *fabric) use(entries ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = entries
	for _, e := range entries {
		f.used[e] = true
	}
}

func (f *fabric) uses(entry netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.used[entry]
}

// echoAgent answers each stream with its number and what it received.
type echoAgent struct {
	socket    *net.UDPConn
	transport *quic.Transport
	record    member.Record
	draining  atomic.Bool
}

func startAgent(t *testing.T, ring *fleetkey.Ring, service config.ServiceTag, number byte, entries func() []netip.AddrPort) *echoAgent {
	socket := testkit.Listen(t)
	r := record(int(number), service, member.Incarnation(number)*1000, member.StateReady)
	r.Tunnel = testkit.AddrOf(socket)
	place := Observation{Record: r}.place()
	codec, err := tunnel.NewCodec(ring)
	require.NoError(t, err)
	a := &echoAgent{socket: socket, record: r}
	conn, err := tunnel.NewConn(tunnel.ConnConfig{
		Socket: socket, Codec: codec, Service: service, Incarnation: place.Incarnation, Entries: entries,
		AcceptsFlows: func() bool { return !a.draining.Load() },
	})
	require.NoError(t, err)
	ids, err := flowid.New(flowid.Config{Ring: ring})
	require.NoError(t, err)
	key, err := flowid.StatelessResetKey(ring, ring.ActiveID(), service)
	require.NoError(t, err)
	a.transport = &quic.Transport{Conn: conn, ConnectionIDGenerator: ids.NewGenerator(place), StatelessResetKey: &key}
	listener, err := a.transport.Listen(serverTLS(t), &quic.Config{KeepAlivePeriod: time.Second})
	require.NoError(t, err)
	t.Cleanup(func() { a.transport.Close() })
	go func() {
		for {
			conn, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			go echo(conn, number)
		}
	}()
	return a
}

func echo(conn *quic.Conn, number byte) {
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		_, _ = stream.Write([]byte{number})
		_, _ = io.Copy(stream, stream)
		_ = stream.Close()
	}
}

func serverTLS(t *testing.T) *tls.Config {
	config, err := testkit.Ring(t, 9).PeerTLS(testkit.Loopback, protocol)
	require.NoError(t, err)
	return config
}

func dial(t *testing.T, f *fabric) *quic.Conn {
	config := serverTLS(t)
	config.ServerName = testkit.Loopback.String()
	transport := &quic.Transport{Conn: testkit.Listen(t)}
	t.Cleanup(func() { transport.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := transport.Dial(ctx, f.front.LocalAddr(), config, &quic.Config{MaxIdleTimeout: 30 * time.Second})
	require.NoError(t, err)
	return conn
}

// requireEcho runs one request over a flow and returns the agent's number.
func requireEcho(t *testing.T, conn *quic.Conn) byte {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stream, err := conn.OpenStreamSync(ctx)
	require.NoError(t, err)
	require.NoError(t, stream.SetDeadline(time.Now().Add(10*time.Second)))
	body := make([]byte, 20_000)
	_, err = stream.Write(body)
	require.NoError(t, err)
	require.NoError(t, stream.Close())
	answer, err := io.ReadAll(stream)
	require.NoError(t, err)
	require.Equal(t, body, answer[1:])
	return answer[0]
}

// site is a fabric with a set of agents; tests add the entries between them.
type site struct {
	*fabric
	agents []*echoAgent
	mu     sync.Mutex
	// live holds the tunnel addresses of the entries; guarded by mu.
	live []netip.AddrPort
}

func newSite(t *testing.T, agents int) *site {
	s := &site{fabric: newFabric(t)}
	for n := range agents {
		s.agents = append(s.agents, startAgent(t, testkit.Ring(t, 1, 2), serviceA, byte(n+1), s.entries))
	}
	return s
}

func (s *site) entries() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live
}

func (s *site) records() []member.Record {
	var records []member.Record
	for _, a := range s.agents {
		records = append(records, a.record)
	}
	return records
}

// useEntries makes the fabric and the agents use only the given forwarders.
func (s *site) useEntries(forwarders ...*Forwarder) {
	var addresses, tunnels []netip.AddrPort
	for _, f := range forwarders {
		addresses = append(addresses, f.Bound()[serviceA])
		tunnels = append(tunnels, testkit.AddrOf(f.cfg.Tunnel))
	}
	s.mu.Lock()
	s.live = tunnels
	s.mu.Unlock()
	s.use(addresses...)
}

// Open flows must survive the replacement of every entry: by entries with an empty membership view, a stale
// one and one that is newer, with another active fleet key, after a graceful stop and after a crash.
func TestFlowsSurviveReplacementOfAllEntries(t *testing.T) {
	s := newSite(t, 3)
	newer := s.records()
	newer[0] = newer[0].WithState(member.StateDraining)
	stale := s.records()[:1]
	stale[0].Incarnation--

	var forwarders []*Forwarder
	var cancels []context.CancelFunc
	run := func(ring *fleetkey.Ring, records ...member.Record) {
		f := newForwarder(t, ring, newView(records...))
		ctx, cancel := context.WithCancel(t.Context())
		ended := f.Run(ctx)
		t.Cleanup(func() {
			cancel()
			require.NoError(t, <-ended)
		})
		forwarders, cancels = append(forwarders, f), append(cancels, cancel)
	}
	for range 3 {
		run(testkit.Ring(t, 1, 2), s.records()...)
	}
	s.useEntries(forwarders...)
	agentOf := make(map[*quic.Conn]byte)
	for range 9 {
		conn := dial(t, s.fabric)
		agentOf[conn] = requireEcho(t, conn)
	}
	rotated := testkit.Ring(t, 2, 1)
	for i, records := range [][]member.Record{nil, stale, newer} {
		run(rotated, records...)
		s.useEntries(forwarders[i+1:]...)
		if i == 1 {
			cancels[i]()
		} else {
			go forwarders[i].Stop(t.Context(), 100*time.Millisecond)
		}
		for conn, agent := range agentOf {
			require.Equal(t, agent, requireEcho(t, conn))
		}
	}
	for conn := range agentOf {
		require.NoError(t, conn.Context().Err())
	}
}

// A draining agent must get no new flows, which its stop would cut, even from entries that have not yet
// received its state, and its open flows must stay.
func TestDrainingAgentGetsNoNewFlows(t *testing.T) {
	s := newSite(t, 3)
	f := newForwarder(t, testkit.Ring(t, 1, 2), newView(s.records()...))
	bind(t, f)
	s.useEntries(f)
	var kept *quic.Conn
	for kept == nil {
		if conn := dial(t, s.fabric); requireEcho(t, conn) == 1 {
			kept = conn
		}
	}
	s.agents[0].draining.Store(true)
	for range 20 {
		require.NotEqual(t, byte(1), requireEcho(t, dial(t, s.fabric)))
	}
	require.Equal(t, byte(1), requireEcho(t, kept))
}

// A flow of an agent that is gone must end with a stateless reset. Without it, the caller waits for its
// idle timeout, here 30 s.
func TestResetEndsFlowsOfGoneAgent(t *testing.T) {
	s := newSite(t, 3)
	v := newView(s.records()...)
	f := newForwarder(t, testkit.Ring(t, 1, 2), v)
	bind(t, f)
	s.useEntries(f)
	conn := dial(t, s.fabric)
	number := requireEcho(t, conn)
	s.agents[number-1].socket.Close()
	records := s.records()
	records[number-1] = records[number-1].WithState(member.StateLeft)
	v.members.Store(&records)
	f.refresh(t.Context())

	stream, err := conn.OpenStreamSync(t.Context())
	require.NoError(t, err)
	begin := time.Now()
	_, err = stream.Write([]byte("request"))
	require.NoError(t, err)
	select {
	case <-conn.Context().Done():
	case <-time.After(5 * time.Second):
		t.Fatal("flow still open 5 s after its packet was answered with a reset")
	}
	var reset *quic.StatelessResetError
	require.ErrorAs(t, context.Cause(conn.Context()), &reset)
	t.Logf("flow ended after %v", time.Since(begin))
}
