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

// BenchmarkAgent reports what one agent costs per second of simulated time at
// the interval of the target, with the changes of its service's 16 agents.
func BenchmarkAgent(b *testing.B) {
	for _, perHour := range []float64{0, 0.31, 3.1} {
		b.Run(fmt.Sprintf("changesPerHostHour=%g", perHour), func(b *testing.B) {
			a := newAgentRig(b)
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

// agentRig answers the heartbeats of one agent.
type agentRig struct {
	loop   *agentLoop
	sealer *fleetkey.Sealer
	rand   *rand.Rand
	now    time.Time
	inbox  chan datagram
	peers  []member.Record
	// arriving are the datagrams of the next step, by sender.
	arriving []reply
	cpu      time.Duration
	bytes    int
}

func newAgentRig(tb testing.TB) *agentRig {
	ring, err := fleetkey.New(fleetkey.Config{Keys: []fleetkey.Key{{ID: 1, Secret: make([]byte, fleetkey.MinSecretBytes)}}})
	require.NoError(tb, err)
	a := &agentRig{sealer: testSealer(tb), rand: rand.New(rand.NewPCG(1, 1)), now: time.Now(), inbox: make(chan datagram, 64)}
	view := member.NewView()
	for i := range hostsPerService {
		a.peers = append(a.peers, benchRecord(member.RoleAgent, i))
	}
	view.Merge(a.peers)
	for i := range handOut {
		view.Merge([]member.Record{benchRecord(member.RoleEntry, i)})
	}
	agent, err := NewAgent(AgentConfig{
		Socket: &captured{sent: a.sent}, Ring: ring, Self: func() member.Record { return a.peers[0] }, Members: view,
		Trail: quietTrail(), Now: func() time.Time { return a.now }, Rand: a.rand,
		ConfigDigest: func() uint64 { return 1 }, ApplyConfig: func([]byte) error { return nil },
	})
	require.NoError(tb, err)
	a.loop = newAgentLoop(agent)
	return a
}

func (a *agentRig) sent(data []byte, to netip.AddrPort) {
	a.bytes += len(data) + headerBytes
	if Kind(data[0]) == KindBeat {
		a.post(KindAnswer, Answer{Interval: 41}, to)
	}
}

func (a *agentRig) post(kind Kind, body any, from netip.AddrPort) {
	data, err := seal(a.sealer, kind, body, a.peers[0].Control)
	if err != nil {
		panic(err)
	}
	a.arriving = append(a.arriving, reply{data: data, from: from})
}

func (a *agentRig) step(changes float64) {
	a.now = a.now.Add(tickEvery)
	if a.rand.Float64() < changes*tickEvery.Seconds() {
		i := 1 + a.rand.IntN(hostsPerService-1)
		a.peers[i] = a.peers[i].WithWeight(a.peers[i].Weight)
		for entry := range member.ObserverCount {
			a.post(KindRecords, Records{Records: []wireRecord{toWire(a.peers[i])}}, benchAddress(byte(member.RoleEntry), entry))
		}
	}
	due := a.arriving
	a.arriving = nil
	start := time.Now()
	for _, r := range due {
		a.bytes += len(r.data) + headerBytes
		a.loop.link.receive(r.data, net.UDPAddrFromAddrPort(r.from), a.inbox)
		a.loop.receive(<-a.inbox)
	}
	a.loop.tick()
	a.cpu += time.Since(start)
}
