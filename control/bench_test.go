package control

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
)

// Sizes of one region at the target size: 1,400 entries and 930 service addresses for 15,000 hosts.
const (
	hostsAtTarget   = 15_000
	entriesAtTarget = 1_400
	hostsPerService = 16
)

// captureConn is a socket that passes each sent datagram to a function.
type captureConn struct {
	net.PacketConn
	sent func(data []byte, to netip.AddrPort)
}

func (c *captureConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.sent(b, to.(*net.UDPAddr).AddrPort())
	return len(b), nil
}

// region drives the loop of one entry with the traffic that it would receive from the rest of a region. Time is
// simulated; only the work of the loop is measured.
type region struct {
	loop    *entryLoop
	sealer  *fleetkey.Sealer
	rand    *rand.Rand
	now     time.Time
	inbox   chan datagram
	records map[member.ID]member.Record
	agents  []member.Record
	// nextHeartbeat is when each observed member sends its next heartbeat.
	nextHeartbeat map[member.ID]time.Time
	incoming      []incomingRecord
	limiter       *rate.Limiter
	// replies are datagrams that the entry receives at the next step.
	replies []reply
	// cpu is the time used by the loop; bytes counts both directions.
	cpu   time.Duration
	bytes int
}

type reply struct {
	at   time.Time
	data []byte
	from netip.AddrPort
}

func benchAddress(kind byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, kind, byte(i >> 8), byte(i)}), 7000)
}

func benchRecord(role member.Role, i int) member.Record {
	addr := benchAddress(byte(role), i)
	r := member.Record{ID: member.IDOf(role, addr), Role: role, Zone: "saskatoon", Tunnel: addr, Control: addr, Peer: addr,
		Incarnation: 1 << 60, Version: 7, State: member.StateReady, Slots: 7, Weight: member.FullWeight}
	if role == member.RoleAgent {
		r.Service = config.ServiceTag(1 + i/hostsPerService)
	}
	return r
}

func discardTrail() *audit.Trail {
	return audit.New(audit.Config{Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
}

func newRegion(tb testing.TB, hosts int) *region {
	ring, err := fleetkey.New(fleetkey.Config{Keys: []fleetkey.Key{{ID: 1, Secret: make([]byte, fleetkey.MinSecretBytes)}}})
	require.NoError(tb, err)
	g := &region{
		sealer: testSealer(tb), rand: rand.New(rand.NewPCG(1, 1)), now: time.Now(), inbox: make(chan datagram, 64),
		limiter: newByteLimiter(DefaultGossipBytes, gossipBurst), records: make(map[member.ID]member.Record),
		nextHeartbeat: make(map[member.ID]time.Time),
	}
	view, self := member.NewView(), benchRecord(member.RoleEntry, 0)
	for i := range max(3, hosts*entriesAtTarget/hostsAtTarget) {
		g.add(view, benchRecord(member.RoleEntry, i))
	}
	for i := range hosts {
		g.agents = append(g.agents, benchRecord(member.RoleAgent, i))
		g.add(view, g.agents[i])
	}
	entry, err := NewEntry(EntryConfig{
		Socket: &captureConn{sent: g.sent}, Ring: ring, Self: func() member.Record { return self }, Members: view,
		Trail: discardTrail(), Now: func() time.Time { return g.now }, Rand: g.rand,
		ConfigDigest: func() uint64 { return 1 }, ConfigObjects: func() [][]byte { return nil },
		ApplyConfig: func([]byte) error { return nil },
		ObjectsFor:  func(config.ServiceTag) (uint64, [][]byte) { return 1, nil },
	})
	require.NoError(tb, err)
	g.loop = newEntryLoop(entry)
	g.timed(g.loop.tick)
	for _, id := range g.loop.detector.Watched() {
		g.nextHeartbeat[id] = g.now.Add(time.Duration(g.rand.Int64N(int64(g.loop.interval()))))
	}
	return g
}

func (g *region) add(view *member.View, r member.Record) {
	g.records[r.ID] = r
	view.Merge([]member.Record{r})
}

func (g *region) timed(work func()) {
	start := time.Now()
	work()
	g.cpu += time.Since(start)
}

// sent counts what the entry sends and answers its heartbeats.
func (g *region) sent(data []byte, to netip.AddrPort) {
	g.bytes += len(data) + headerBytes
	if Kind(data[0]) == KindHeartbeat {
		g.post(g.now, KindHeartbeatAnswer, HeartbeatAnswer{Interval: uint16(g.loop.interval() / (100 * time.Millisecond))}, to)
	}
}

func (g *region) post(at time.Time, kind Kind, body any, from netip.AddrPort) {
	data, err := seal(g.sealer, kind, body, benchAddress(byte(member.RoleEntry), 0))
	if err != nil {
		panic(err)
	}
	g.replies = append(g.replies, reply{at: at, data: data, from: from})
}

// change changes a member's record and queues it to arrive as often as gossip sends it.
func (g *region) change(r member.Record) {
	g.records[r.ID] = r
	copies := (&rumor{summary: r.Summary()}).sendLimit(len(g.loop.liveEntries()) - 1)
	g.incoming = append(g.incoming, incomingRecord{id: r.ID, copies: copies})
}

// incomingRecord is a record that other entries still have to send to this one.
type incomingRecord struct {
	id     member.ID
	copies int
}

// gossip delivers the queued records that other entries send in 100 ms: in a few full datagrams, within the cap
// that each of the entries has.
func (g *region) gossip() {
	for range gossipFanout {
		var message Records
		for i := range g.incoming {
			if len(message.Records) < 20 && g.incoming[i].copies > 0 {
				g.incoming[i].copies--
				message.Records = append(message.Records, toWire(g.records[g.incoming[i].id]))
			}
		}
		g.incoming = slices.DeleteFunc(g.incoming, func(n incomingRecord) bool { return n.copies == 0 })
		if len(message.Records) > 0 && g.limiter.AllowN(g.now, len(message.Records)*60+messageOverhead) {
			g.post(g.now, KindRecords, message, g.randomEntry())
		}
	}
}

func (g *region) randomEntry() netip.AddrPort {
	live := g.loop.liveEntries()
	return live[1+g.rand.IntN(len(live)-1)].Control
}

// step simulates 100 ms.
func (g *region) step(changes float64) {
	g.now = g.now.Add(tickInterval)
	if g.rand.Float64() < changes*tickInterval.Seconds() {
		i := g.rand.IntN(len(g.agents))
		g.agents[i] = g.agents[i].WithWeight(g.agents[i].Weight)
		// Two of the six record versions of a replaced host are urgent: draining and left.
		g.agents[i].State = member.StateReady
		if g.rand.IntN(3) == 0 {
			g.agents[i].State = member.StateDraining
		}
		g.change(g.agents[i])
	}
	g.gossip()
	if g.rand.Float64() < tickInterval.Seconds()/repairInterval.Seconds() {
		digests := member.AppendDigests(nil, g.loop.cfg.Members.GroupDigests())
		g.post(g.now, KindGroupDigests, GroupDigests{Digests: digests}, g.randomEntry())
	}
	for id, at := range g.nextHeartbeat {
		if !g.now.Before(at) {
			g.nextHeartbeat[id] = at.Add(g.loop.interval())
			g.postHeartbeat(g.records[id])
		}
	}
	due := g.replies
	g.replies = nil
	for _, r := range due {
		if g.now.Before(r.at) {
			g.replies = append(g.replies, r)
			continue
		}
		g.bytes += len(r.data) + headerBytes
		addr := net.UDPAddrFromAddrPort(r.from)
		g.timed(func() {
			g.loop.link.receive(r.data, addr, g.inbox)
			g.loop.receive(<-g.inbox)
		})
	}
	g.timed(g.loop.tick)
}

func (g *region) postHeartbeat(r member.Record) {
	heartbeat := Heartbeat{SummaryDigest: r.Summary().Digest(), ConfigDigest: 1}
	if r.Role == member.RoleAgent {
		heartbeat.ViewDigest = g.loop.agentViewDigest(r)
	}
	g.post(g.now, KindHeartbeat, heartbeat, r.Control)
}

// BenchmarkEntry reports the cost of one entry per second of simulated time. The regular rate of changes at the
// target size is 18,770 member ends a day in ten regions, of six record versions each: 0.13 per second and
// region.
func BenchmarkEntry(b *testing.B) {
	for _, hosts := range []int{1_500, 5_000, 15_000} {
		for _, perHour := range []float64{0, 0.031, 0.31, 1} {
			b.Run(fmt.Sprintf("hosts=%d/changesPerHostHour=%g", hosts, perHour), func(b *testing.B) {
				g := newRegion(b, hosts)
				for range 300 {
					g.step(0)
				}
				g.cpu, g.bytes = 0, 0
				start := g.now
				for b.Loop() {
					for range 600 {
						g.step(perHour * float64(hosts) / 3600)
					}
				}
				seconds := g.now.Sub(start).Seconds()
				b.ReportMetric(float64(g.bytes)/seconds, "bytes/s")
				b.ReportMetric(100*g.cpu.Seconds()/seconds, "%core")
				b.ReportMetric(float64(g.loop.detector.Count()), "watched")
				b.ReportMetric(g.loop.interval().Seconds(), "s/beat")
			})
		}
	}
}

// BenchmarkHeartbeatBytes reports the size of a regular heartbeat with its answer, including IP and UDP headers.
// heartbeatExchangeBytes must not be below it.
func BenchmarkHeartbeatBytes(b *testing.B) {
	s, to := testSealer(b), benchAddress(1, 1)
	size := 0
	for b.Loop() {
		heartbeat, _ := seal(s, KindHeartbeat, Heartbeat{SummaryDigest: 1 << 63, ConfigDigest: 1 << 63, ViewDigest: 1 << 31}, to)
		answer, _ := seal(s, KindHeartbeatAnswer, HeartbeatAnswer{Interval: 32}, to)
		size = len(heartbeat) + len(answer) + 2*headerBytes
	}
	require.LessOrEqual(b, size, heartbeatExchangeBytes)
	b.ReportMetric(float64(size), "bytes/exchange")
}

// BenchmarkViewMemory reports the heap used by a view per record, indexes and digests included.
func BenchmarkViewMemory(b *testing.B) {
	for _, hosts := range []int{1_500, 5_000, 15_000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			records := make([]member.Record, hosts)
			for i := range records {
				records[i] = benchRecord(member.RoleAgent, i)
			}
			perRecord := 0.0
			for b.Loop() {
				before := heap()
				view := member.NewView()
				view.Merge(records)
				perRecord = float64(heap()-before) / float64(hosts)
				runtime.KeepAlive(view)
			}
			b.ReportMetric(perRecord, "bytes/record")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFetchState reports the size of the state that a joining entry reads, and the time to serve and merge
// it.
func BenchmarkFetchState(b *testing.B) {
	for _, hosts := range []int{1_500, 5_000, 15_000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			serving, size := newRegion(b, hosts).loop.Entry, 0
			client := &http.Client{Transport: roundTrip(func(req *http.Request) (*http.Response, error) {
				rec := httptest.NewRecorder()
				serving.StateHandler().ServeHTTP(rec, req)
				size = rec.Body.Len()
				return rec.Result(), nil
			})}
			for b.Loop() {
				cfg := serving.cfg
				cfg.Members = member.NewView()
				joining, err := NewEntry(cfg)
				require.NoError(b, err)
				require.NoError(b, joining.FetchState(b.Context(), client, "https://10.0.0.1"+StatePath))
				require.Equal(b, serving.cfg.Members.Len()-1, cfg.Members.Len())
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
