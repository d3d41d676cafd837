package control

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
)

// service is the tag of the first service. Each service has up to 15 agents.
const service config.ServiceTag = 5

// objectStore is a minimal replacement for config.View that keeps the newest version of each key.
type objectStore struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// object encodes a version of a key: version, key length, key, padding.
func object(key string, version uint64, padding int) []byte {
	b := binary.BigEndian.AppendUint64(nil, version)
	b = append(append(b, byte(len(key))), key...)
	return append(b, make([]byte, padding)...)
}

func (o *objectStore) apply(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := string(b[9 : 9+b[8]])
	if old := o.objects[key]; old == nil || bytes.Compare(b[:8], old[:8]) > 0 {
		o.objects[key] = b
	}
	return nil
}

func (o *objectStore) all() (digest uint64, encoded [][]byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(o.objects)) {
		digest ^= xxhash.Sum64(o.objects[key])
		encoded = append(encoded, o.objects[key])
	}
	return digest, encoded
}

// node is one process of a fleet under test.
type node struct {
	// id and addr are immutable.
	id        member.ID
	addr      netip.AddrPort
	mu        sync.Mutex
	self      member.Record
	pauseGate chan struct{}
	refuted   []member.Summary
	changed   chan struct{}
	applied   chan []byte
	view      *member.View
	objects   *objectStore
	entry     *Entry
	stop      context.CancelFunc
	done      <-chan error
}

func (n *node) record() member.Record {
	n.mu.Lock()
	self, gate := n.self, n.pauseGate
	n.mu.Unlock()
	if gate != nil {
		<-gate
	}
	return self
}

// current returns the record without blocking, unlike record, while the process is paused.
func (n *node) current() member.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// pause stops the process when it next reads its record, until the returned function is called.
func (n *node) pause() (resume func()) {
	gate := make(chan struct{})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pauseGate = gate
	return func() {
		n.mu.Lock()
		n.pauseGate = nil
		n.mu.Unlock()
		close(gate)
	}
}

func (n *node) set(change func(member.Record) member.Record) {
	n.mu.Lock()
	n.self = change(n.self)
	n.mu.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// refute raises the version above that of the summary, as the owner of a record must.
func (n *node) refute(s member.Summary) {
	n.mu.Lock()
	n.refuted = append(n.refuted, s)
	n.mu.Unlock()
	if s.Incarnation == n.current().Incarnation {
		n.set(func(r member.Record) member.Record {
			r.Version = s.Version + 1
			return r
		})
	}
}

// fleet is the set of processes of one region, connected by a fake network.
type fleet struct {
	t   *testing.T
	net *network
	// listen opens the socket of a process; nil means on the fake network.
	listen          func(*node) net.PacketConn
	ring            *fleetkey.Ring
	rand            *rand.Rand
	seeds           func() []netip.AddrPort
	entries, agents []*node
	// added counts all entries that were started.
	added int
}

func newFleet(t *testing.T, seed uint64, entries, agents int) *fleet {
	ring, err := fleetkey.New(fleetkey.Config{Keys: []fleetkey.Key{{ID: 1, Secret: make([]byte, fleetkey.MinSecretBytes)}}})
	require.NoError(t, err)
	f := &fleet{t: t, seeds: seedAddresses, net: newNetwork(seed), ring: ring, rand: rand.New(rand.NewPCG(seed, 1))}
	for range entries {
		f.addEntry()
	}
	for range agents {
		f.addAgent(f.seeds)
	}
	return f
}

func address(kind byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, kind, byte(i >> 8), byte(i)}), 7000)
}

// seedAddresses returns the control addresses of the first two entries, which are the seeds.
func seedAddresses() []netip.AddrPort { return []netip.AddrPort{address(1, 0), address(1, 1)} }

func (f *fleet) newNode(role member.Role, control netip.AddrPort) *node {
	n := &node{
		changed: make(chan struct{}, 1), applied: make(chan []byte, 16), view: member.NewView(),
		objects: &objectStore{objects: make(map[string][]byte)}, id: member.IDOf(role, control), addr: control,
	}
	n.self = member.Record{
		ID: n.id, Role: role, Zone: "okn-a", Tunnel: control, Control: control, Peer: control,
		Incarnation: 1 << 20, Version: 1, State: member.StateReady, Slots: 4, Weight: member.FullWeight,
	}
	return n
}

func (f *fleet) addEntry() *node {
	n := f.newNode(member.RoleEntry, address(1, f.added))
	f.added++
	f.entries = append(f.entries, n)
	f.startEntry(n)
	return n
}

func (f *fleet) startEntry(n *node) {
	digest := func() uint64 { d, _ := n.objects.all(); return d }
	entry, err := NewEntry(EntryConfig{
		Socket: f.socket(n), Ring: f.ring, Self: n.record, Changed: n.changed, Refute: n.refute,
		Members: n.view, Seeds: f.seeds, Trail: discardTrail(), Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 1)),
		ConfigDigest: digest, ConfigObjects: func() [][]byte { _, all := n.objects.all(); return all },
		ApplyConfig: n.objects.apply, ConfigChanged: n.applied, Client: f.client(),
		ObjectsFor: n.objectsFor,
	})
	require.NoError(f.t, err)
	n.entry = entry
	n.run(entry.Run)
}

func (f *fleet) addAgent(seeds func() []netip.AddrPort) *node {
	n := f.newNode(member.RoleAgent, address(2, len(f.agents)))
	n.self.Service = service + config.ServiceTag(len(f.agents)/15)
	f.agents = append(f.agents, n)
	f.startAgent(n, seeds)
	return n
}

func (f *fleet) startAgent(n *node, seeds func() []netip.AddrPort) {
	agent, err := NewAgent(AgentConfig{
		Socket: f.socket(n), Ring: f.ring, Self: n.record, Changed: n.changed, Refute: n.refute,
		Members: n.view, Seeds: seeds, Trail: discardTrail(), Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 1)),
		ConfigDigest: func() uint64 { d, _ := n.objects.all(); return d }, ApplyConfig: n.objects.apply, Client: f.client(),
	})
	require.NoError(f.t, err)
	n.run(agent.Run)
}

func (n *node) objectsFor(config.ServiceTag) (uint64, [][]byte) { return n.objects.all() }

func (n *node) run(run func(context.Context) <-chan error) {
	ctx, stop := context.WithCancel(context.Background())
	n.stop, n.done = stop, run(ctx)
}

func (f *fleet) socket(n *node) net.PacketConn {
	if f.listen != nil {
		return f.listen(n)
	}
	return f.net.listen(n.addr)
}

// client returns a client that reaches the StateHandler of the entry named by the URL.
func (f *fleet) client() *http.Client {
	return &http.Client{Transport: roundTrip(func(req *http.Request) (*http.Response, error) {
		for _, n := range f.entries {
			if n.addr.String() == req.URL.Host {
				rec := httptest.NewRecorder()
				n.entry.StateHandler().ServeHTTP(rec, req)
				return rec.Result(), nil
			}
		}
		return nil, fmt.Errorf("no entry at %s", req.URL.Host)
	})}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// kill stops processes as by a crash: their last messages are lost.
func (f *fleet) kill(nodes ...*node) {
	f.net.mu.Lock()
	for _, n := range nodes {
		delete(f.net.conns, n.addr)
	}
	f.net.mu.Unlock()
	for _, n := range nodes {
		n.stop()
		require.NoError(f.t, <-n.done)
	}
}

func (f *fleet) close() {
	for _, n := range append(f.entries, f.agents...) {
		n.stop()
		<-n.done
	}
}

// within waits until a condition holds and fails the test after the limit.
func (f *fleet) within(limit time.Duration, what string, ok func() bool) {
	f.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			f.t.Fatalf("not within %s: %s (%s)", limit, what, f.difference())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// entriesSee reports whether all running entries have a node's record in a state.
func (f *fleet) entriesSee(n *node, state member.State) bool {
	for _, e := range f.entries {
		if r, ok := e.view.Get(n.id); !ok || r.State != state {
			return false
		}
	}
	return true
}

// converged reports whether all entries have the current records of all nodes, and all agents those of their
// peers and at least two entries.
func (f *fleet) converged() bool { return f.difference() == "" }

func (f *fleet) difference() string {
	for _, n := range slices.Concat(f.entries, f.agents) {
		for _, e := range f.entries {
			if r, ok := e.view.Get(n.id); !ok || r.Summary() != n.current().Summary() || e.view.Suspect(n.id) {
				return fmt.Sprintf("%s holds %v, suspect %t; it is %v", e.addr, r.Summary(), e.view.Suspect(n.id), n.current().Summary())
			}
		}
	}
	for _, a := range f.agents {
		if len(a.view.LiveEntries()) < min(2, len(f.entries)) {
			return fmt.Sprintf("%s has the records of %d entries", a.addr, len(a.view.LiveEntries()))
		}
		for _, peer := range f.agents {
			r, ok := a.view.Get(peer.id)
			if want := peer.current(); want.Service == a.current().Service && (!ok || r.Summary() != want.Summary()) {
				return fmt.Sprintf("%s holds %v of its peer %v", a.addr, r.Summary(), want.Summary())
			}
		}
	}
	return ""
}
