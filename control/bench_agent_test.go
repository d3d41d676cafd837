package control

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
)

// BenchmarkAgent reports the cost of one agent per second of simulated time, at the heartbeat interval of the
// target size and with the changes of the 16 agents of its service.
func BenchmarkAgent(b *testing.B) {
	for _, perHour := range []float64{0, 0.31, 3.1} {
		b.Run(fmt.Sprintf("changesPerHostHour=%g", perHour), func(b *testing.B) {
			a := newAgentHarness(b)
			start := a.now
			for b.Loop() {
				for range 600 {
					a.step(perHour * hostsPerService / 3600)
				}
			}
			seconds := a.now.Sub(start).Seconds()
			b.ReportMetric(float64(a.bytes)/seconds, "bytes/s")
			b.ReportMetric(100*a.cpu.Seconds()/seconds, "%core")
		})
	}
}

// agentHarness runs the loop of one agent and answers its heartbeats.
type agentHarness struct {
	loop   *agentLoop
	sealer *fleetkey.Sealer
	rand   *rand.Rand
	now    time.Time
	inbox  chan datagram
	peers  []member.Record
	// pending are the datagrams that the agent receives in the next step.
	pending []reply
	cpu     time.Duration
	bytes   int
}

func newAgentHarness(tb testing.TB) *agentHarness {
	ring, err := fleetkey.New(fleetkey.Config{Keys: []fleetkey.Key{{ID: 1, Secret: make([]byte, fleetkey.MinSecretBytes)}}})
	require.NoError(tb, err)
	a := &agentHarness{sealer: testSealer(tb), rand: rand.New(rand.NewPCG(1, 1)), now: time.Now(), inbox: make(chan datagram, 64)}
	view := member.NewView()
	for i := range hostsPerService {
		a.peers = append(a.peers, benchRecord(member.RoleAgent, i))
	}
	view.Merge(a.peers)
	for i := range entriesPerAgent {
		view.Merge([]member.Record{benchRecord(member.RoleEntry, i)})
	}
	agent, err := NewAgent(AgentConfig{
		Socket: &captureConn{sent: a.sent}, Ring: ring, Self: func() member.Record { return a.peers[0] }, Members: view,
		Trail: discardTrail(), Now: func() time.Time { return a.now }, Rand: a.rand,
		ConfigDigest: func() uint64 { return 1 }, ApplyConfig: func([]byte) error { return nil },
	})
	require.NoError(tb, err)
	a.loop = newAgentLoop(agent)
	return a
}

func (a *agentHarness) sent(data []byte, to netip.AddrPort) {
	a.bytes += len(data) + headerBytes
	if Kind(data[0]) == KindHeartbeat {
		a.post(KindHeartbeatAnswer, HeartbeatAnswer{Interval: 41}, to)
	}
}

func (a *agentHarness) post(kind Kind, body any, from netip.AddrPort) {
	data, err := seal(a.sealer, kind, body, a.peers[0].Control)
	if err != nil {
		panic(err)
	}
	a.pending = append(a.pending, reply{data: data, from: from})
}

func (a *agentHarness) step(changes float64) {
	a.now = a.now.Add(tickInterval)
	if a.rand.Float64() < changes*tickInterval.Seconds() {
		i := 1 + a.rand.IntN(hostsPerService-1)
		a.peers[i] = a.peers[i].WithWeight(a.peers[i].Weight)
		for entry := range member.ObserverCount {
			a.post(KindRecords, Records{Records: []wireRecord{toWire(a.peers[i])}}, benchAddress(byte(member.RoleEntry), entry))
		}
	}
	due := a.pending
	a.pending = nil
	start := time.Now()
	for _, r := range due {
		a.bytes += len(r.data) + headerBytes
		a.loop.link.receive(r.data, net.UDPAddrFromAddrPort(r.from), a.inbox)
		a.loop.receive(<-a.inbox)
	}
	a.loop.tick()
	a.cpu += time.Since(start)
}
