package packetagent_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetagent"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/placement"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

const (
	ownIP          = 0x0a010001
	peerIP         = 0x0a010002
	entryIP        = 0x0a020001
	hostSeq        = 50_000
	service        = "rota"
	hostStartedAt  = 2_000_000
	agentStartedAt = 1_000_000
)

var hostAddress = flow.Endpoint{IP: ownIP, Port: 8165}

// testAgent is an agent whose outgoing datagrams are recorded.
type testAgent struct {
	*packetagent.Agent
	t           *testing.T
	now         time.Duration
	toHost      [][]byte
	toCaller    [][]byte
	toMember    []sent
	idleTimeout time.Duration
	log         *eventlog.Log
	logged      bytes.Buffer
}

type sent struct {
	to uint32
	mesh.Message
}

func newTestAgent(t *testing.T) *testAgent { return newTestAgentAt(t, 0) }

// newTestAgentAt returns an agent that starts at a time.
func newTestAgentAt(t *testing.T, now time.Duration) *testAgent {
	a := &testAgent{t: t, now: now, idleTimeout: routing.MinIdleTimeout}
	a.log = eventlog.New(eventlog.Config{Out: &a.logged, Node: "agent"})
	a.Agent = packetagent.New(packetagent.Config{
		IP: ownIP, Service: service, Host: hostAddress, Zone: "a", CallerPort: 9000, Incarnation: agentStartedAt,
		Now:       func() time.Duration { return a.now },
		UnixMilli: func() int64 { return hostStartedAt + a.now.Milliseconds() },
		ToHost:    func(p []byte) { a.toHost = append(a.toHost, append([]byte(nil), p...)) },
		ToCaller: func(_ flow.Endpoint, p []byte) {
			a.toCaller = append(a.toCaller, append([]byte(nil), p...))
		},
		ToMember: func(ip uint32, d []byte) {
			var m mesh.Message
			require.NoError(t, m.Decode(append([]byte(nil), d...)))
			a.toMember = append(a.toMember, sent{ip, m})
		},
		ConfigVersion: func() uint64 { return 1 }, IdleTimeout: func() time.Duration { return a.idleTimeout },
		NewerConfig: func(uint32) {}, ReportChanged: func() {}, ScheduleTick: func(time.Duration) {},
		Log: a.log,
	})
	return a
}

func (a *testAgent) heartbeat(id string, startedAt int64, sequence uint64, s host.State) {
	a.t.Helper()
	require.NoError(a.t, a.Heartbeat(host.Report{
		ID: id, StartedAt: startedAt, Sequence: sequence, State: s, Slots: 4, Service: service, Address: hostAddress,
	}))
}

// receive delivers a message of an entry that carries a packet.
func (a *testAgent) receive(k mesh.Kind, packet []byte) {
	m := mesh.Message{
		Kind: k, Service: mesh.ServiceTag(service), Origin: entryIP, ConfigVersion: 1, Body: packet,
		Terms:      mesh.Terms{Best: mesh.NoCandidate, TargetLatency: mesh.MillisOf(150 * time.Millisecond)},
		Candidates: [mesh.MaxCandidates]uint32{ownIP, peerIP}, Count: 2,
	}
	if k == mesh.KindSearch {
		m.Step = mesh.StepAll
	}
	a.Receive(m.Append(nil))
}

// takeSentToHost returns the packets sent to the host since the last call.
func (a *testAgent) takeSentToHost() [][]byte {
	got := a.toHost
	a.toHost = nil
	return got
}

func (a *testAgent) takeSentToCaller() [][]byte {
	got := a.toCaller
	a.toCaller = nil
	return got
}

func (a *testAgent) takeSentToMembers() []sent {
	got := a.toMember
	a.toMember = nil
	return got
}

func (a *testAgent) takeSentKinds() []mesh.Kind {
	var out []mesh.Kind
	for _, s := range a.takeSentToMembers() {
		out = append(out, s.Kind)
	}
	return out
}

// openFlow opens a flow at the agent's host.
func (a *testAgent) openFlow(k flow.Key) {
	a.t.Helper()
	a.receive(mesh.KindOffer, packettest.Open(k, 0))
	a.FromHost(packettest.Accept(k, hostSeq))
	a.receive(mesh.KindDeliver, packettest.Request(k, hostSeq+1, 100))
	require.Len(a.t, a.takeSentToHost(), 2)
	require.Len(a.t, a.takeSentToCaller(), 1)
	require.Equal(a.t, []mesh.Kind{mesh.KindTaken}, a.takeSentKinds())
}

func requireResets(t *testing.T, packets [][]byte, keys ...flow.Key) {
	t.Helper()
	var got []flow.Key
	for _, p := range packets {
		s, err := platform.DecodePacket(p, platform.FromHost)
		require.NoError(t, err)
		require.True(t, s.IsRST)
		got = append(got, s.Key)
	}
	require.ElementsMatch(t, keys, got)
}

// Guards against a reset of an open flow. A host answers data of a flow that it has bounced with a reset. An
// agent that probed its host for the flow forwarded this reset, and the caller lost its flow at another host.
func TestSearchDoesNotForwardReset(t *testing.T) {
	a := newTestAgent(t)
	k := packettest.Key(1)
	a.receive(mesh.KindOffer, packettest.Open(k, 0))
	a.FromHost(packettest.Bounce(a.takeSentToHost()[0]))
	require.Equal(t, []mesh.Kind{mesh.KindTaken, mesh.KindOffer, mesh.KindPassed}, a.takeSentKinds())

	request := packettest.Request(k, 90_001, 100)
	a.receive(mesh.KindSearch, request)
	require.Empty(t, a.takeSentToHost(), "the host bounced the flow's opening packet")

	other := packettest.Key(2)
	a.receive(mesh.KindSearch, packettest.Request(other, 90_001, 100))
	require.Len(t, a.takeSentToHost(), 1)
	a.FromHost(packettest.Packet{Flow: other, FromHost: true, Flags: packettest.RST, Seq: 90_001}.Bytes())
	require.Empty(t, a.takeSentToCaller())
	require.Empty(t, a.takeSentToMembers())
}

// Guards against a host that is not running yet and gets every new flow first, only to bounce it.
func TestHostBeforeItsFirstHeartbeat(t *testing.T) {
	a := newTestAgent(t)
	a.receive(mesh.KindOffer, packettest.Open(packettest.Key(1), 0))
	a.FromHost(packettest.Bounce(a.takeSentToHost()[0]))
	require.False(t, a.Load().Open)
	a.receive(mesh.KindOffer, packettest.Open(packettest.Key(2), 0))
	require.Empty(t, a.takeSentToHost())
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	require.True(t, a.Load().Open)
}

// Guards against flows of a restarted host that get no answer until their callers' deadlines, and against
// resets of flows that are open at the new host.
func TestNewIncarnationResetsFlows(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.openFlow(packettest.Key(1))
	a.openFlow(packettest.Key(2))
	a.now += time.Second
	a.heartbeat("h", hostStartedAt, 2, host.Draining)
	require.Empty(t, a.takeSentToCaller())
	a.heartbeat("h", hostStartedAt+5000, 1, host.Ready)
	requireResets(t, a.takeSentToCaller(), packettest.Key(1), packettest.Key(2))
	require.Zero(t, a.Load().Busy)
	a.openFlow(packettest.Key(3))
}

// Guards against new flows for a draining host, and against resets of its open flows.
func TestDrainingHost(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.openFlow(packettest.Key(1))
	a.heartbeat("h", hostStartedAt, 2, host.Draining)
	a.receive(mesh.KindOffer, packettest.Open(packettest.Key(2), 0))
	require.Empty(t, a.takeSentToHost())
	require.Equal(t, []mesh.Kind{mesh.KindOffer, mesh.KindPassed}, a.takeSentKinds())
	a.receive(mesh.KindDeliver, packettest.Request(packettest.Key(1), hostSeq+1, 100))
	require.Len(t, a.takeSentToHost(), 1)
	a.FromHost(packettest.Answer(packettest.Key(1), hostSeq+1, 500))
	require.Len(t, a.takeSentToCaller(), 1)
}

// Guards against an opening packet that is lost at a host that doesn't answer.
func TestUnresponsiveHost(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.receive(mesh.KindOffer, packettest.Open(packettest.Key(1), 0))
	require.Equal(t, []mesh.Kind{mesh.KindTaken}, a.takeSentKinds())
	a.now += packetagent.DefaultAnswerTimeout - time.Millisecond
	a.Tick()
	require.Empty(t, a.takeSentKinds())
	a.now += time.Millisecond
	a.Tick()
	sent := a.takeSentToMembers()
	require.Len(t, sent, 2)
	require.Equal(t, uint32(peerIP), sent[0].to)
	require.Equal(t, packettest.Open(packettest.Key(1), 0), sent[0].Body)
	require.Zero(t, a.Load().Busy)
	require.False(t, a.HostUnresponsive())
	a.receive(mesh.KindOffer, packettest.Open(packettest.Key(2), 0))
	a.now += packetagent.DefaultAnswerTimeout
	a.Tick()
	require.True(t, a.HostUnresponsive())
}

// Guards against packets delivered to the wrong host if two hosts answered copies of the opening packet.
func TestFlowOpenedAtAnotherHost(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	k := packettest.Key(1)
	a.receive(mesh.KindOffer, packettest.Open(k, 0))
	a.FromHost(packettest.Accept(k, hostSeq))
	a.takeSentToHost()
	a.takeSentToMembers()
	request := packettest.Request(k, hostSeq+1<<30, 100)
	a.receive(mesh.KindSearch, request)
	require.Empty(t, a.takeSentToHost())
	a.receive(mesh.KindDeliver, request)
	require.Empty(t, a.takeSentToHost())
	sent := a.takeSentToMembers()
	require.Len(t, sent, 1)
	require.Equal(t, mesh.KindMissing, sent[0].Kind)
	require.Equal(t, request, sent[0].Body)
}

// Guards against a reset of a flow that is open at another host, although two hosts answered copies of its opening
// packet. An agent that had started after its host probed the host with the caller's request; the host answered
// with a reset, and the agent forwarded it to the caller.
func TestHostWithUnconfirmedFlowDoesNotResetIt(t *testing.T) {
	for name, ack := range map[string]uint32{
		"distant sequence numbers": hostSeq + 1<<30, "close sequence numbers": hostSeq + 1000,
	} {
		for _, kind := range []mesh.Kind{mesh.KindDeliver, mesh.KindSearch} {
			t.Run(name+", "+kind.String(), func(t *testing.T) {
				a := newTestAgent(t)
				a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
				k := packettest.Key(1)
				a.receive(mesh.KindOffer, packettest.Open(k, 0))
				a.FromHost(packettest.Accept(k, hostSeq))
				a.takeSentToHost()
				a.takeSentToCaller()
				a.receive(kind, packettest.Request(k, ack, 100))
				require.Empty(t, a.takeSentToHost())
				a.FromHost(packettest.Packet{Flow: k, FromHost: true, Flags: packettest.RST, Seq: ack}.Bytes())
				require.Empty(t, a.takeSentToCaller())
			})
		}
	}
}

// Guards against flows that are lost at an agent that restarts beside a running host: the clock was set back between the starts
// of the two, so that the agent took the host for one that had started after it and gave it no packets of unknown flows.
func TestRestartedAgentLearnsFlowsAfterClockWasSetBack(t *testing.T) {
	for _, kind := range []mesh.Kind{mesh.KindDeliver, mesh.KindSearch} {
		t.Run(kind.String(), func(t *testing.T) {
			a := newTestAgent(t)
			a.heartbeat("h", agentStartedAt+2_000, 40, host.Ready)
			k := packettest.Key(1)
			a.receive(kind, packettest.Request(k, hostSeq+1, 100))
			require.Len(t, a.takeSentToHost(), 1)
			a.FromHost(packettest.Answer(k, hostSeq+1, 500))
			require.Len(t, a.takeSentToCaller(), 1)
		})
	}
}

// Guards against an agent that restarts beside a running host and resets the host's flows.
func TestRestartedAgentLearnsFlows(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
	k := packettest.Key(1)
	a.receive(mesh.KindSearch, packettest.Request(k, hostSeq+1, 100))
	require.Len(t, a.takeSentToHost(), 1)
	require.Empty(t, a.takeSentToMembers())
	a.FromHost(packettest.Answer(k, hostSeq+1, 500))
	require.Len(t, a.takeSentToCaller(), 1)
	require.Equal(t, []mesh.Kind{mesh.KindTaken}, a.takeSentKinds())
	a.receive(mesh.KindDeliver, packettest.Request(k, hostSeq+501, 100))
	require.Len(t, a.takeSentToHost(), 1)

	unknown := packettest.Key(2)
	a.receive(mesh.KindDeliver, packettest.Request(unknown, hostSeq, 100))
	a.FromHost(packettest.Bounce(a.takeSentToHost()[0]))
	require.Equal(t, []mesh.Kind{mesh.KindMissing}, a.takeSentKinds())
	a.receive(mesh.KindSearch, packettest.Request(unknown, hostSeq, 100))
	require.Empty(t, a.takeSentToHost(), "the host bounced the flow before")
}

// Guards against an agent that has a record of all flows of its host and still probes it for others.
func TestAgentOlderThanHostDoesNotProbeIt(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.receive(mesh.KindSearch, packettest.Request(packettest.Key(1), hostSeq, 100))
	require.Empty(t, a.takeSentToHost())
	require.Empty(t, a.takeSentToMembers())
}

// Guards against packets for the service that previously had the agent's address.
func TestPacketsForAnotherServiceAreDropped(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	m := mesh.Message{Kind: mesh.KindOffer, Service: mesh.ServiceTag("draws"), Origin: entryIP, Count: 1, Body: packettest.Open(packettest.Key(1), 0)}
	a.Receive(m.Append(nil))
	m.Kind = mesh.KindSearch
	a.Receive(m.Append(nil))
	require.Empty(t, a.takeSentToHost())
	require.Error(t, a.Heartbeat(host.Report{ID: "x", Service: "draws", Address: hostAddress, State: host.Ready, Slots: 1}))
	require.Error(t, a.Heartbeat(host.Report{ID: "x", Service: service, Address: flow.Endpoint{IP: 1, Port: 2}, State: host.Ready, Slots: 1}))
}

// Guards against packets for a service that previously had the agent's address and whose name has the same tag.
func TestPacketsForServiceWithEqualTagAreDropped(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	m := mesh.Message{Kind: mesh.KindOffer, Origin: entryIP, Count: 1, Body: packettest.Open(packettest.Key(1), 0)}
	other := mesh.ServiceIDOf(service)
	other.Digest[0]++
	m.SetService(other)
	a.Receive(m.Append(nil))
	require.Empty(t, a.takeSentToHost())
	m.SetService(mesh.ServiceIDOf(service))
	a.Receive(m.Append(nil))
	require.Len(t, a.takeSentToHost(), 1)
}

// Guards against a load that differs from the number of requests in the host.
func TestLoadFollowsFlows(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	k := packettest.Key(1)
	a.openFlow(k)
	require.EqualValues(t, 1, a.Load().Busy)
	a.receive(mesh.KindDeliver, packettest.Request(k, hostSeq+1, 100))
	a.now += 40 * time.Millisecond
	a.FromHost(packettest.Answer(k, hostSeq+1, 500))
	require.Zero(t, a.Load().Busy)
	a.receive(mesh.KindDeliver, packettest.Request(k, hostSeq+1, 100))
	require.Zero(t, a.Load().Busy, "a retransmitted request is not counted again")
	for _, fromHost := range []bool{true, false} {
		p := packettest.Packet{Flow: k, FromHost: fromHost, Flags: packettest.FIN | packettest.ACK, Seq: hostSeq + 501, Ack: hostSeq + 502}
		if fromHost {
			a.FromHost(p.Bytes())
		} else {
			a.receive(mesh.KindDeliver, p.Bytes())
		}
	}
	require.Zero(t, a.Flows())
	a.receive(mesh.KindOffer, packettest.Open(packettest.Key(2), 0))
	a.FromHost(packettest.Accept(packettest.Key(2), hostSeq))
	require.EqualValues(t, 1, a.Load().Busy)
	a.now += packetagent.DefaultAnswerTimeout
	a.Tick()
	require.Zero(t, a.Load().Busy, "the caller did not send its request")
	a.receive(mesh.KindDeliver, packettest.Request(packettest.Key(2), hostSeq+1, 100))
	require.EqualValues(t, 1, a.Load().Busy, "the caller sent its request late")
}

// Guards against callers that left while their flows were held: each occupied a slot for seconds, so that under
// a load above its capacity the host ran no requests.
func TestAbandonedHeldFlowsFreeTheirSlots(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	const callers = 40
	for i := range callers {
		m := mesh.Message{
			Kind: mesh.KindOffer, Service: mesh.ServiceTag(service), Origin: entryIP, Body: packettest.Open(packettest.Key(i), 0), Count: 1,
			Candidates: [mesh.MaxCandidates]uint32{ownIP},
			Terms:      mesh.Terms{Best: mesh.NoCandidate, TargetLatency: mesh.MillisOf(2 * time.Second)},
		}
		a.Receive(m.Append(nil))
	}
	answered := 0
	for a.now < 600*time.Millisecond {
		for _, p := range a.takeSentToHost() {
			s, err := platform.DecodePacket(p, platform.FromCaller)
			require.NoError(t, err)
			a.FromHost(packettest.Accept(s.Key, hostSeq))
			answered++
		}
		a.now += 10 * time.Millisecond
		a.Tick()
	}
	require.Equal(t, callers, answered)
}

// Guards against a search with a retransmitted opening packet that opens the flow at every host of the
// service: after an outage the hosts were full of flows that no caller used.
func TestSearchDoesNotOpenFlows(t *testing.T) {
	a := newTestAgent(t)
	a.receive(mesh.KindSearch, packettest.Open(packettest.Key(1), 1))
	require.Empty(t, a.takeSentToHost())
	require.Empty(t, a.takeSentToMembers())
	a.receive(mesh.KindOffer, packettest.Open(packettest.Key(1), 0))
	a.FromHost(packettest.Accept(packettest.Key(1), hostSeq))
	a.takeSentToHost()
	a.takeSentToMembers()
	a.receive(mesh.KindSearch, packettest.Open(packettest.Key(1), 1))
	require.Len(t, a.takeSentToHost(), 1, "the host that has the flow gets the retransmission")
	require.Equal(t, []mesh.Kind{mesh.KindTaken}, a.takeSentKinds())
}

// Guards against held flows that bypass the queue: after an outage the routers sent retransmitted opening
// packets to other entries, which searched for the flows, and the agent gave these packets to its host. For a
// second the host served flows whose callers had waited too long.
func TestRetransmissionsDoNotBypassTheQueue(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	for i := range 4 {
		a.openFlow(packettest.Key(i))
	}
	held := packettest.Key(4)
	m := mesh.Message{
		Kind: mesh.KindOffer, Service: mesh.ServiceTag(service), Origin: entryIP, Body: packettest.Open(held, 0), Count: 1,
		Candidates: [mesh.MaxCandidates]uint32{ownIP},
		Terms:      mesh.Terms{Best: mesh.NoCandidate, TargetLatency: mesh.MillisOf(150 * time.Millisecond)},
	}
	a.Receive(m.Append(nil))
	require.Equal(t, []mesh.Kind{mesh.KindTaken}, a.takeSentKinds())
	for _, k := range []mesh.Kind{mesh.KindSearch, mesh.KindDeliver, mesh.KindOffer} {
		a.receive(k, packettest.Open(held, 1))
		require.Empty(t, a.takeSentToHost(), "%s of a retransmission", k)
		require.Equal(t, []mesh.Kind{mesh.KindTaken}, a.takeSentKinds(), "%s of a retransmission", k)
	}
	a.FromHost(packettest.Answer(packettest.Key(0), hostSeq+1, 500))
	require.Len(t, a.takeSentToHost(), 1, "the held flow is admitted when a slot is free")
}

// Guards against refusals of held flows that reach their callers up to a second late.
func TestHeldFlowIsRefusedAtHoldLimit(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	for i := range 4 {
		a.openFlow(packettest.Key(i))
	}
	m := mesh.Message{
		Kind: mesh.KindOffer, Service: mesh.ServiceTag(service), Origin: entryIP, Body: packettest.Open(packettest.Key(4), 0), Count: 1,
		Candidates: [mesh.MaxCandidates]uint32{ownIP},
		Terms:      mesh.Terms{Best: mesh.NoCandidate, TargetLatency: mesh.MillisOf(150 * time.Millisecond), Waited: mesh.MillisOf(200 * time.Millisecond)},
	}
	a.Receive(m.Append(nil))
	a.takeSentToMembers()
	for a.now < placement.DefaultHoldLimit-200*time.Millisecond {
		require.Empty(t, a.takeSentToCaller())
		next := a.Tick()
		require.Positive(t, next)
		a.now += next
	}
	a.Tick()
	sent := a.takeSentToMembers()
	require.Len(t, sent, 1)
	require.Equal(t, mesh.KindRefused, sent[0].Kind)
	require.EqualValues(t, mesh.RefusedHeld, sent[0].Step)
	require.Empty(t, a.takeSentToCaller(), "only the entry knows whether another agent has the flow")
	require.LessOrEqual(t, a.now, placement.DefaultHoldLimit-200*time.Millisecond+time.Millisecond)
}

// Guards against records of flows that are removed before the configured idle timeout: the agent had an idle
// timeout of its own, and no process had a record of the flow when its next packet arrived.
func TestIdleFlowIsKeptAsConfigured(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	k := packettest.Key(1)
	a.openFlow(k)
	a.FromHost(packettest.Answer(k, hostSeq+1, 500))
	a.takeSentToCaller()
	a.idleTimeout = 40 * time.Second
	for range 35 {
		a.now += time.Second
		a.Sweep()
	}
	a.takeSentToMembers()
	a.receive(mesh.KindDeliver, packettest.Packet{Flow: k, Flags: packettest.ACK, Seq: 1200, Ack: hostSeq + 501, DataBytes: 100}.Bytes())
	require.Len(t, a.takeSentToHost(), 1)
	require.NotContains(t, a.takeSentKinds(), mesh.KindMissing)
}

// Guards against resets that count as failures of the host although the host had closed the flow: a request
// of the caller was in transit at that time.
func TestResetAfterHostClosedIsNotAFailure(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	for round, hostClosed := range []bool{true, false} {
		for i := 0; i < 20 && !a.Load().Faulty; i++ {
			k := packettest.Key(100*round + i)
			a.openFlow(k)
			if hostClosed {
				a.FromHost(packettest.Answer(k, hostSeq+1, 500))
				a.FromHost(packettest.Packet{Flow: k, FromHost: true, Flags: packettest.FIN | packettest.ACK, Seq: hostSeq + 501, Ack: 1200}.Bytes())
				a.receive(mesh.KindDeliver, packettest.Packet{Flow: k, Flags: packettest.ACK, Seq: 1200, Ack: hostSeq + 501, DataBytes: 100}.Bytes())
			}
			a.FromHost(packettest.Packet{Flow: k, FromHost: true, Flags: packettest.RST | packettest.ACK, Seq: hostSeq + 502, Ack: 1300}.Bytes())
			a.takeSentToHost()
			a.takeSentToCaller()
		}
		require.Equal(t, !hostClosed, a.Load().Faulty, "host closed first: %t", hostClosed)
	}
}

// Guards against a flow of which its directory agents have no record, and against a search that is forwarded in
// a loop.
func TestDirectoryAgentRecordsFlowLocation(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	k := packettest.Key(1)
	m := mesh.Message{
		Kind: mesh.KindOffer, Service: mesh.ServiceTag(service), Origin: entryIP, Body: packettest.Open(k, 0), Count: 1,
		Candidates: [mesh.MaxCandidates]uint32{ownIP}, Directories: [mesh.DirectoryCount]uint32{peerIP, ownIP},
		Terms: mesh.Terms{Best: mesh.NoCandidate},
	}
	a.Receive(m.Append(nil))
	sentForOffer := a.takeSentToMembers()
	require.Len(t, sentForOffer, 2)
	require.Equal(t, mesh.KindLocated, sentForOffer[1].Kind)
	require.Equal(t, uint32(peerIP), sentForOffer[1].to)

	other := packettest.Key(2)
	located := mesh.Message{Kind: mesh.KindLocated, Service: mesh.ServiceTag(service), Origin: peerIP, Flow: other}
	a.Receive(located.Append(nil))
	search := mesh.Message{Kind: mesh.KindSearch, Service: mesh.ServiceTag(service), Origin: entryIP, Body: packettest.Request(other, 5, 10)}
	a.Receive(search.Append(nil))
	sent := a.takeSentToMembers()
	require.Len(t, sent, 1)
	require.Equal(t, mesh.KindSearch, sent[0].Kind)
	require.Equal(t, uint32(peerIP), sent[0].to)
	require.EqualValues(t, entryIP, sent[0].Origin)

	forwardedSearch := sent[0].Message
	forwardedSearch.Body = packettest.Request(packettest.Key(4), 5, 10)
	a.Receive(located.Append(nil))
	a.Receive(forwardedSearch.Append(nil))
	require.Equal(t, []mesh.Kind{mesh.KindMissing}, a.takeSentKinds(), "the agent recorded by the directory agent doesn't have the flow")

	search.Body = packettest.Request(packettest.Key(3), 5, 10)
	a.Receive(search.Append(nil))
	require.Equal(t, []mesh.Kind{mesh.KindMissing}, a.takeSentKinds(), "a directory agent without a record returns the packet")
	require.Empty(t, a.takeSentToHost()[1:])
}

// Guards against a flow that is searched for at each step again, because its current directory agents are not told of it:
// agents joined after it opened, or its agent learned it from the host.
func TestSearchUpdatesDirectoryAgents(t *testing.T) {
	directories := [mesh.DirectoryCount]uint32{peerIP, peerIP + 1}
	search := func(a *testAgent, key flow.Key) {
		m := mesh.Message{
			Kind: mesh.KindSearch, Service: mesh.ServiceTag(service), Origin: entryIP, Step: mesh.StepAll, Directories: directories,
			Body: packettest.Request(key, hostSeq+1, 100),
		}
		a.Receive(m.Append(nil))
	}
	requireTold := func(t *testing.T, a *testAgent) {
		t.Helper()
		var told []uint32
		for _, m := range a.takeSentToMembers() {
			if m.Kind == mesh.KindLocated && m.Step == mesh.LocatedHere {
				told = append(told, m.to)
			}
		}
		require.Equal(t, directories[:], told)
	}
	t.Run("agents joined", func(t *testing.T) {
		a := newTestAgent(t)
		a.openFlow(packettest.Key(1))
		search(a, packettest.Key(1))
		requireTold(t, a)
		search(a, packettest.Key(1))
		require.Equal(t, []mesh.Kind{mesh.KindTaken}, a.takeSentKinds(), "the directory agents have not changed")
	})
	t.Run("directory agents restarted", func(t *testing.T) {
		a := newTestAgent(t)
		a.openFlow(packettest.Key(1))
		search(a, packettest.Key(1))
		requireTold(t, a)
		a.now += time.Second
		search(a, packettest.Key(1))
		requireTold(t, a)
	})
	t.Run("flow learned from the host", func(t *testing.T) {
		a := newTestAgent(t)
		a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
		search(a, packettest.Key(1))
		a.FromHost(packettest.Answer(packettest.Key(1), hostSeq+1, 500))
		requireTold(t, a)
	})
}

// Guards against a reset of flows at a new host. It accepts flows before its first heartbeat, and that
// heartbeat ended all flows as those of the previous host. Found by the soak test with seed 1.
func TestNewHostKeepsFlowsFromBeforeItsFirstHeartbeat(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.openFlow(packettest.Key(1))
	a.now += time.Second
	a.heartbeat("h", hostStartedAt, 2, host.Ready)
	a.now += 200 * time.Millisecond
	// The host restarts here.
	a.openFlow(packettest.Key(2))
	a.now += 200 * time.Millisecond
	a.heartbeat("h", hostStartedAt+1200, 1, host.Ready)
	requireResets(t, a.takeSentToCaller(), packettest.Key(1))
	a.receive(mesh.KindDeliver, packettest.Request(packettest.Key(2), hostSeq+1, 100))
	require.Len(t, a.takeSentToHost(), 1)
}

// Guards against a host that stays closed after its port refused a connection once, although its heartbeats
// continue. Found by the soak test with seed 104.
func TestHeartbeatReopensHostThatWasDown(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.openFlow(packettest.Key(1))
	a.HostDown()
	requireResets(t, a.takeSentToCaller(), packettest.Key(1))
	require.False(t, a.Load().Open)
	a.heartbeat("h", hostStartedAt, 2, host.Ready)
	require.True(t, a.Load().Open)
}

// Guards against requests that count as busy indefinitely: callers that gave up while their requests ran left
// a host idle for 13 s, since its agent considered it full.
func TestAbandonedRequestsFreeTheirSlots(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	for i := range 4 {
		k := packettest.Key(i)
		a.openFlow(k)
		if i < 3 {
			fin := packettest.Packet{Flow: k, Flags: packettest.FIN | packettest.ACK, Seq: 1101, Ack: hostSeq + 1}
			a.receive(mesh.KindDeliver, fin.Bytes())
			require.Len(t, a.takeSentToHost(), 1)
		}
	}
	require.EqualValues(t, 1, a.Load().Busy)
	a.now += 4 * time.Second
	a.Sweep()
	require.Zero(t, a.Load().Busy, "a request without an answer")
	a.FromHost(packettest.Answer(packettest.Key(3), hostSeq+1, 500))
	require.Len(t, a.takeSentToCaller(), 1, "a late answer is still delivered")
	require.Zero(t, a.Load().Busy)
}

// Guards against a reset of a flow that is open at another host: an agent that was paused took opening
// packets of flows that others had taken meanwhile, and reset those flows when its host restarted. Found by
// the soak test with seed 109.
func TestUnconfirmedFlowsAreNotReset(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.openFlow(packettest.Key(1))
	a.receive(mesh.KindOffer, packettest.Open(packettest.Key(2), 0))
	a.FromHost(packettest.Accept(packettest.Key(2), hostSeq))
	a.takeSentToCaller()
	a.HostDown()
	requireResets(t, a.takeSentToCaller(), packettest.Key(1))
}

// Guards against a reset of flows at a new host by an agent that was paused: it reads the previous host's
// last heartbeat after it gave flows to the new host.
func TestDelayedHeartbeatDoesNotResetFlowsAtNewHost(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.now += 3 * time.Second
	// The host restarted one second ago, while the agent was paused.
	a.openFlow(packettest.Key(1))
	a.now += 10 * time.Millisecond
	a.heartbeat("h", hostStartedAt, 2, host.Ready)
	a.now += 10 * time.Millisecond
	a.heartbeat("h", hostStartedAt+2000, 1, host.Ready)
	require.Empty(t, a.takeSentToCaller())
}

// Guards against an agent that probes a host that started right before it with the VM, and so has no flows of an earlier
// agent.
func TestAgentStartedWithItsHostDoesNotProbeIt(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", agentStartedAt-300, 1, host.Ready)
	a.receive(mesh.KindSearch, packettest.Request(packettest.Key(1), hostSeq+1, 100))
	require.Empty(t, a.takeSentToHost())
}

// Guards against a flow that is lost when its agent restarts right after the start of the VM: the entry knows where the flow
// is.
func TestAgentThatRestartsRightAfterItsHostFindsFlows(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", agentStartedAt-450, 2, host.Ready)
	a.receive(mesh.KindDeliver, packettest.Request(packettest.Key(1), hostSeq+1, 100))
	require.Len(t, a.takeSentToHost(), 1)
}

// Guards against FINs that a search at all agents gives to hosts one after the other: they are repeated for seconds.
func TestSearchAtAllAgentsDoesNotProbeWithFIN(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
	k := packettest.Key(1)
	a.receive(mesh.KindSearch, packettest.Packet{Flow: k, Flags: packettest.ACK | packettest.FIN, Seq: 1200, Ack: hostSeq + 501}.Bytes())
	require.Empty(t, a.takeSentToHost())
	a.receive(mesh.KindSearch, packettest.Request(k, hostSeq+1, 100))
	require.Len(t, a.takeSentToHost(), 1)
}

// Guards against packets of an open flow that are repeatedly sent to a wrong host: that host also opened the
// flow from a copy of the opening packet, so it doesn't bounce them.
func TestHostIsProbedOnce(t *testing.T) {
	a := newTestAgent(t)
	k := packettest.Key(1)
	a.receive(mesh.KindSearch, packettest.Request(k, 90_001, 0))
	require.Empty(t, a.takeSentToHost(), "a host doesn't answer an acknowledgement without data")
	for range 5 {
		a.receive(mesh.KindSearch, packettest.Request(k, 90_001, 100))
		a.receive(mesh.KindDeliver, packettest.Request(k, 90_001, 100))
		a.now += 200 * time.Millisecond
	}
	require.Len(t, a.takeSentToHost(), 1)
}

// Guards against an agent that was paused and then gives its host flows whose callers' attempts have ended meanwhile: each
// occupies a slot until its answer timer ends, while callers that are still there wait.
func TestPausedAgentGivesTheHostNoExpiredFlows(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	for i := range 4 {
		a.openFlow(packettest.Key(i))
	}
	for i := 4; i < 8; i++ {
		m := mesh.Message{
			Kind: mesh.KindOffer, Service: mesh.ServiceTag(service), Origin: entryIP, Body: packettest.Open(packettest.Key(i), 0), Count: 1,
			Candidates: [mesh.MaxCandidates]uint32{ownIP},
			Terms:      mesh.Terms{Best: mesh.NoCandidate, TargetLatency: mesh.MillisOf(150 * time.Millisecond)},
		}
		a.Receive(m.Append(nil))
	}
	a.takeSentToHost()
	a.takeSentToCaller()
	// The process was paused; the host's answers are the first that it handles.
	a.now += 3 * time.Second
	for i := range 4 {
		a.FromHost(packettest.Answer(packettest.Key(i), hostSeq+1, 500))
	}
	require.Empty(t, a.takeSentToHost())
}

// Guards against an agent that takes the host's acknowledgement of a FIN for a sign that the flow is open there: a host
// acknowledges the FIN of a flow that has ended at it, such as a copy that its caller opened elsewhere. All further packets of
// the flow went to that host.
func TestAcknowledgedFINIsNoOpenFlow(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
	k := packettest.Key(1)
	fin := packettest.Packet{Flow: k, Flags: packettest.ACK | packettest.FIN, Seq: 1200, Ack: hostSeq + 501}.Bytes()
	a.receive(mesh.KindDeliver, fin)
	require.Len(t, a.takeSentToHost(), 1)
	a.FromHost(packettest.Packet{Flow: k, FromHost: true, Flags: packettest.ACK, Seq: hostSeq + 501, Ack: 1201}.Bytes())
	require.Empty(t, a.takeSentKinds(), "no entry is told that the flow is here")
	for range 3 {
		a.now += time.Second
		a.receive(mesh.KindDeliver, fin)
	}
	require.Empty(t, a.takeSentToHost())
	require.Equal(t, []mesh.Kind{mesh.KindMissing, mesh.KindMissing, mesh.KindMissing}, a.takeSentKinds())
}

// Guards against a copy of a flow that its caller opened at another host and that the agent forgets within seconds: the
// host is then probed with packets of the flow.
func TestGivenUpCopyIsRemembered(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
	k := packettest.Key(1)
	a.receive(mesh.KindOffer, packettest.Open(k, 0))
	a.FromHost(packettest.Accept(k, hostSeq))
	a.takeSentToHost()
	for range 10 {
		a.receive(mesh.KindDeliver, packettest.Request(k, hostSeq+5_000_000, 100))
		a.now += 4 * time.Second / 3
		a.Sweep()
	}
	a.now += 5 * time.Second
	a.Sweep()
	a.receive(mesh.KindDeliver, packettest.Request(k, hostSeq+5_000_000, 100))
	require.Empty(t, a.takeSentToHost())
	require.EqualValues(t, 0, a.Load().Busy, "the copy occupies no slot")
}

// Guards against resets of the flows of a host that started again under the ID that it had: the notice that its former
// incarnation shuts down was handled after the first heartbeat of the new one, by an agent that was paused.
func TestDelayedLeaveOfFormerIncarnation(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.heartbeat("h", hostStartedAt, 2, host.Draining)
	a.now += 3 * time.Second
	a.heartbeat("h", hostStartedAt+1000, 1, host.Ready)
	a.openFlow(packettest.Key(1))
	require.NoError(t, a.HostLeft("h"))
	require.Empty(t, a.takeSentToCaller(), "an open flow of the new incarnation was reset")
	a.heartbeat("h", hostStartedAt+1000, 2, host.Draining)
	require.NoError(t, a.HostLeft("h"))
	requireResets(t, a.takeSentToCaller(), packettest.Key(1))
}

// Guards against a draining that is acknowledged and ignored: the host's clock was set back before it started again, so that its
// heartbeats counted as those of a former incarnation for as long as the agent ran.
func TestDrainingOfHostWhoseClockWasSetBack(t *testing.T) {
	a := newTestAgent(t)
	heartbeat := func(sequence uint64, s host.State) error {
		return a.Heartbeat(host.Report{
			ID: "restarted", StartedAt: hostStartedAt - 1400, Sequence: sequence, State: s, Slots: 4, Service: service, Address: hostAddress,
		})
	}
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	for sequence := range uint64(4) {
		a.now += time.Second
		require.NoError(t, heartbeat(sequence+1, host.Ready))
		require.True(t, a.IsOpen())
	}
	require.NoError(t, heartbeat(5, host.Draining))
	require.False(t, a.IsOpen(), "acknowledged")
	require.NoError(t, a.HostLeft("restarted"))
	require.Equal(t, host.Gone, a.Report(time.Second).HostState)
}

// Guards against an acknowledgement of what isn't in effect, as it isn't certain yet that the host is the current one.
func TestDrainingIsNotAcknowledgedBeforeItIsInEffect(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	draining := host.Report{ID: "restarted", StartedAt: hostStartedAt - 1400, State: host.Draining, Slots: 4, Service: service, Address: hostAddress}
	for a.IsOpen() {
		draining.Sequence++
		err := a.Heartbeat(draining)
		require.Equal(t, a.IsOpen(), err != nil, "acknowledged: %v", err == nil)
		if err != nil {
			require.False(t, errors.Is(err, errors.NotValid), "the host must try again")
			require.Error(t, a.HostLeft("restarted"))
		}
		require.Less(t, a.now, 4*time.Second)
		a.now += time.Second
	}
}

// Guards against a host that is never open again after the agent noticed the crash of its former incarnation.
func TestHostOpensAfterCrashWithItsClockSetBack(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.HostDown()
	require.False(t, a.IsOpen())
	a.heartbeat("restarted", hostStartedAt-1400, 1, host.Ready)
	require.True(t, a.IsOpen())
}

// Guards against an offer that ends the process: it names a best candidate that isn't among its candidates, and the host has no
// room.
func TestOfferWithBestCandidateOutOfRange(t *testing.T) {
	for _, best := range []uint8{2, mesh.MaxCandidates, mesh.NoCandidate - 1} {
		for _, isOpen := range []bool{false, true} {
			a := newTestAgent(t)
			a.heartbeat("h", hostStartedAt, 1, host.Ready)
			if !isOpen {
				a.heartbeat("h", hostStartedAt, 2, host.Draining)
			}
			a.takeSentKinds()
			m := mesh.Message{
				Kind: mesh.KindOffer, Service: mesh.ServiceTag(service), Origin: entryIP, ConfigVersion: 1, Body: packettest.Open(packettest.Key(1), 0),
				Terms:      mesh.Terms{Current: 1, Best: best, BestLatency: 1, TargetLatency: 100},
				Candidates: [mesh.MaxCandidates]uint32{peerIP, ownIP}, Count: 2,
			}
			require.NotPanics(t, func() { a.Receive(m.Append(nil)) })
			require.Empty(t, a.takeSentKinds())
			require.Empty(t, a.takeSentToHost())
		}
	}
}

// Guards against resets of the flows of a running host, because another writer sent a heartbeat with its identity and a sequence
// number that is far ahead: the host's own heartbeats then count as those of a restart under the same identity.
func TestFlowsSurviveHeartbeatsOutOfSequence(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	a.openFlow(packettest.Key(1))
	a.now += time.Second
	a.heartbeat("h", hostStartedAt, 1<<50, host.Ready)
	for sequence := range uint64(5) {
		a.now += time.Second
		a.heartbeat("h", hostStartedAt, sequence+2, host.Ready)
	}
	require.Empty(t, a.takeSentToCaller())
	a.heartbeat("h", hostStartedAt, 7, host.Draining)
	require.False(t, a.IsOpen())
}

// Guards against a draining that is acknowledged and undone by an earlier heartbeat that is handled at the same time, as by an
// agent that was paused.
func TestParallelHeartbeats(t *testing.T) {
	for round := range 10_000 {
		a := newTestAgent(t)
		heartbeat := func(sequence uint64, s host.State) {
			assert.NoError(t, a.Heartbeat(host.Report{
				ID: "h", StartedAt: hostStartedAt, Sequence: sequence, State: s, Slots: 4, Service: service, Address: hostAddress,
			}))
		}
		heartbeat(1, host.Ready)
		var wg sync.WaitGroup
		for sequence := range uint64(8) {
			wg.Go(func() { heartbeat(sequence+2, host.Ready) })
		}
		wg.Go(func() { heartbeat(20, host.Draining) })
		wg.Wait()
		require.False(t, a.IsOpen(), "round %d", round)
	}
}
