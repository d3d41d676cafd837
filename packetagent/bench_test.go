package packetagent_test

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetagent"
	"endiveflow.example/endiveflow/packettest"
)

// openAgent returns an agent whose host has one open flow, a message that delivers a packet of that flow, and
// the host's answer.
func openAgent(tb testing.TB) (a *packetagent.Agent, deliver, answer []byte) {
	tb.Helper()
	now := time.Duration(0)
	a = packetagent.New(packetagent.Config{
		IP: ownIP, Service: service, Host: hostAddress, Incarnation: agentStartedAt,
		Now:           func() time.Duration { now += time.Microsecond; return now },
		ToHost:        func([]byte) {},
		ToCaller:      func(flow.Endpoint, []byte) {},
		ToMember:      func(uint32, []byte) {},
		ConfigVersion: func() uint64 { return 1 }, IdleTimeout: func() time.Duration { return time.Minute },
		NewerConfig: func(uint32) {}, ReportChanged: func() {}, ScheduleTick: func(time.Duration) {},
		Log: eventlog.New(eventlog.Config{Out: io.Discard}),
	})
	require.NoError(tb, a.Heartbeat(host.Report{
		ID: "h", StartedAt: hostStartedAt, Sequence: 1, Service: service, Address: hostAddress, Slots: 4, State: host.Ready,
	}))
	k := packettest.Key(1)
	m := mesh.Message{
		Kind: mesh.KindOffer, Service: mesh.ServiceTag(service), Origin: entryIP, ConfigVersion: 1, Body: packettest.Open(k, 0),
		Terms: mesh.Terms{Best: mesh.NoCandidate}, Candidates: [mesh.MaxCandidates]uint32{ownIP}, Count: 1,
	}
	a.Receive(m.Append(nil))
	a.FromHost(packettest.Accept(k, hostSeq))
	m = mesh.Message{
		Kind: mesh.KindDeliver, Service: mesh.ServiceTag(service), Origin: entryIP, ConfigVersion: 1,
		Body: packettest.Request(k, hostSeq+1, 100),
	}
	return a, m.Append(nil), packettest.Answer(k, hostSeq+1, 1000)
}

// Guards against allocations for each packet: garbage collection pauses a slow VM.
func TestPacketsDoNotAllocate(t *testing.T) {
	a, deliver, answer := openAgent(t)
	a.Receive(deliver)
	require.Zero(t, testing.AllocsPerRun(1000, func() { a.Receive(deliver) }))
	require.Zero(t, testing.AllocsPerRun(1000, func() { a.FromHost(answer) }))
}

func BenchmarkDeliver(b *testing.B) {
	a, deliver, _ := openAgent(b)
	b.ReportAllocs()
	for b.Loop() {
		a.Receive(deliver)
	}
}

func BenchmarkAnswer(b *testing.B) {
	a, _, answer := openAgent(b)
	b.ReportAllocs()
	for b.Loop() {
		a.FromHost(answer)
	}
}
