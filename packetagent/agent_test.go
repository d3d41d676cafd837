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
	"endiveflow.example/endiveflow/placement"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

const (
	ownIP    = 0x0a010001
	peerIP   = 0x0a010002
	entryIP  = 0x0a020001
	hostSeq  = 50_000
	service  = "rota"
	bornAt   = 2_000_000
	startsAt = 1_000_000
)

var hostAddress = flow.Endpoint{IP: ownIP, Port: 8165}

// bench is an agent whose datagrams are collected.
type bench struct {
	*packetagent.Agent
	t        *testing.T
	now      time.Duration
	toHost   [][]byte
	toCaller [][]byte
	toMember []sent
	idle     time.Duration
}

type sent struct {
	to uint32
	mesh.Message
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, idle: routing.MinIdleTimeout}
	b.Agent = packetagent.New(packetagent.Config{
		IP: ownIP, Service: service, Host: hostAddress, Zone: "a", CallerPort: 9000, Incarnation: startsAt,
		Now:       func() time.Duration { return b.now },
		UnixMilli: func() int64 { return bornAt + b.now.Milliseconds() },
		ToHost:    func(p []byte) { b.toHost = append(b.toHost, append([]byte(nil), p...)) },
		ToCaller: func(_ flow.Endpoint, p []byte) {
			b.toCaller = append(b.toCaller, append([]byte(nil), p...))
		},
		ToMember: func(ip uint32, d []byte) {
			var m mesh.Message
			require.NoError(t, m.Decode(append([]byte(nil), d...)))
			b.toMember = append(b.toMember, sent{ip, m})
		},
		ConfigVersion: func() uint64 { return 1 }, IdleTimeout: func() time.Duration { return b.idle }, NewerConfig: func(uint32) {}, Changed: func() {}, Waiting: func(time.Duration) {},
		Log: eventlog.New(eventlog.Config{Out: io.Discard}),
	})
	return b
}

func (b *bench) heartbeat(id string, born int64, sequence uint64, s host.State) {
	b.t.Helper()
	require.NoError(b.t, b.Heartbeat(host.Report{
		ID: id, Born: born, Sequence: sequence, State: s, Slots: 4, Service: service, Address: hostAddress,
	}))
}

// message sends the agent a message of an entry with a packet.
func (b *bench) message(k mesh.Kind, packet []byte) {
	m := mesh.Message{
		Kind: k, Service: mesh.ServiceTag(service), Entry: entryIP, ConfigVersion: 1, Body: packet,
		Offered:    mesh.Terms{Best: mesh.NoCandidate, Target: mesh.WaitOf(150 * time.Millisecond)},
		Candidates: [mesh.MaxCandidates]uint32{ownIP, peerIP}, Count: 2,
	}
	if k == mesh.Search {
		m.Step = mesh.StepAll
	}
	b.Receive(m.Append(nil))
}

// takeHost returns what the host got since the last call.
func (b *bench) takeHost() [][]byte {
	got := b.toHost
	b.toHost = nil
	return got
}

func (b *bench) takeCaller() [][]byte {
	got := b.toCaller
	b.toCaller = nil
	return got
}

func (b *bench) takeMember() []sent {
	got := b.toMember
	b.toMember = nil
	return got
}

func (b *bench) kinds() []mesh.Kind {
	var out []mesh.Kind
	for _, s := range b.takeMember() {
		out = append(out, s.Kind)
	}
	return out
}

// open opens a flow at the agent's host.
func (b *bench) open(k flow.Key) {
	b.t.Helper()
	b.message(mesh.Offer, packettest.Open(k, 0))
	b.FromHost(packettest.Accept(k, hostSeq))
	b.message(mesh.Deliver, packettest.Request(k, hostSeq+1, 100))
	require.Len(b.t, b.takeHost(), 2)
	require.Len(b.t, b.takeCaller(), 1)
	require.Equal(b.t, []mesh.Kind{mesh.Taken}, b.kinds())
}

func requireResets(t *testing.T, packets [][]byte, keys ...flow.Key) {
	t.Helper()
	var got []flow.Key
	for _, p := range packets {
		s, err := platform.DecodePacket(p, platform.FromHost)
		require.NoError(t, err)
		require.True(t, s.Resetting)
		got = append(got, s.Key)
	}
	require.ElementsMatch(t, keys, got)
}

// Guards against a reset of an open flow: a host that the flow isn't at
// answers data of a flow that it once declined with a reset. An agent that
// searches passed it on, and the caller lost its flow at another host.
func TestSearchDoesNotPassOnReset(t *testing.T) {
	b := newBench(t)
	k := packettest.Key(1)
	b.message(mesh.Offer, packettest.Open(k, 0))
	b.FromHost(packettest.Bounce(b.takeHost()[0]))
	require.Equal(t, []mesh.Kind{mesh.Taken, mesh.Offer, mesh.Passed}, b.kinds())

	request := packettest.Request(k, 90_001, 100)
	b.message(mesh.Search, request)
	require.Empty(t, b.takeHost(), "the host said that it doesn't have the flow")

	other := packettest.Key(2)
	b.message(mesh.Search, packettest.Request(other, 90_001, 100))
	require.Len(t, b.takeHost(), 1)
	b.FromHost(packettest.Packet{Flow: other, FromHost: true, Flags: packettest.RST, Seq: 90_001}.Bytes())
	require.Empty(t, b.takeCaller())
	require.Empty(t, b.takeMember())
}

// Guards against a host that isn't there yet and gets every new flow first,
// only to bounce it.
func TestHostBeforeItsFirstHeartbeat(t *testing.T) {
	b := newBench(t)
	b.message(mesh.Offer, packettest.Open(packettest.Key(1), 0))
	b.FromHost(packettest.Bounce(b.takeHost()[0]))
	require.False(t, b.Load().Open)
	b.message(mesh.Offer, packettest.Open(packettest.Key(2), 0))
	require.Empty(t, b.takeHost())
	b.heartbeat("h", bornAt, 1, host.Ready)
	require.True(t, b.Load().Open)
}

// Guards against flows of a restarted host that stay silent until their
// callers' deadlines, and against resets of flows that are at the new host.
func TestNewIncarnationResetsFlows(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	b.open(packettest.Key(1))
	b.open(packettest.Key(2))
	b.now += time.Second
	b.heartbeat("h", bornAt, 2, host.Draining)
	require.Empty(t, b.takeCaller())
	b.heartbeat("h", bornAt+5000, 1, host.Ready)
	requireResets(t, b.takeCaller(), packettest.Key(1), packettest.Key(2))
	require.Zero(t, b.Load().Busy)
	b.open(packettest.Key(3))
}

// Guards against new flows for a draining host, and against old ones that are cut off.
func TestDrainingHost(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	b.open(packettest.Key(1))
	b.heartbeat("h", bornAt, 2, host.Draining)
	b.message(mesh.Offer, packettest.Open(packettest.Key(2), 0))
	require.Empty(t, b.takeHost())
	require.Equal(t, []mesh.Kind{mesh.Offer, mesh.Passed}, b.kinds())
	b.message(mesh.Deliver, packettest.Request(packettest.Key(1), hostSeq+1, 100))
	require.Len(t, b.takeHost(), 1)
	b.FromHost(packettest.Answer(packettest.Key(1), hostSeq+1, 500))
	require.Len(t, b.takeCaller(), 1)
}

// Guards against an opening packet that is lost in a host that doesn't answer.
func TestSilentHost(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	b.message(mesh.Offer, packettest.Open(packettest.Key(1), 0))
	require.Equal(t, []mesh.Kind{mesh.Taken}, b.kinds())
	b.now += packetagent.DefaultAnswerTimeout - time.Millisecond
	b.Tick()
	require.Empty(t, b.kinds())
	b.now += time.Millisecond
	b.Tick()
	moved := b.takeMember()
	require.Len(t, moved, 2)
	require.Equal(t, uint32(peerIP), moved[0].to)
	require.Equal(t, packettest.Open(packettest.Key(1), 0), moved[0].Body)
	require.Zero(t, b.Load().Busy)
	require.False(t, b.Suspect())
	b.message(mesh.Offer, packettest.Open(packettest.Key(2), 0))
	b.now += packetagent.DefaultAnswerTimeout
	b.Tick()
	require.True(t, b.Suspect())
}

// Guards against a packet of a flow at another host that is delivered here,
// because two hosts answered copies of the opening packet.
func TestFlowThatOpenedElsewhere(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	k := packettest.Key(1)
	b.message(mesh.Offer, packettest.Open(k, 0))
	b.FromHost(packettest.Accept(k, hostSeq))
	b.takeHost()
	b.takeMember()
	request := packettest.Request(k, hostSeq+1<<30, 100)
	b.message(mesh.Search, request)
	require.Empty(t, b.takeHost())
	b.message(mesh.Deliver, request)
	require.Empty(t, b.takeHost())
	back := b.takeMember()
	require.Len(t, back, 1)
	require.Equal(t, mesh.Missing, back[0].Kind)
	require.Equal(t, request, back[0].Body)
}

// Guards against an agent that starts beside a living host and cuts its flows off.
func TestRestartedAgentLearnsFlows(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", startsAt-60_000, 40, host.Ready)
	k := packettest.Key(1)
	b.message(mesh.Search, packettest.Request(k, hostSeq+1, 100))
	require.Len(t, b.takeHost(), 1)
	require.Empty(t, b.takeMember())
	b.FromHost(packettest.Answer(k, hostSeq+1, 500))
	require.Len(t, b.takeCaller(), 1)
	require.Equal(t, []mesh.Kind{mesh.Taken}, b.kinds())
	b.message(mesh.Deliver, packettest.Request(k, hostSeq+501, 100))
	require.Len(t, b.takeHost(), 1)

	unknown := packettest.Key(2)
	b.message(mesh.Deliver, packettest.Request(unknown, hostSeq, 100))
	b.FromHost(packettest.Bounce(b.takeHost()[0]))
	require.Equal(t, []mesh.Kind{mesh.Missing}, b.kinds())
	b.message(mesh.Search, packettest.Request(unknown, hostSeq, 100))
	require.Empty(t, b.takeHost(), "the host bounced the flow before")
}

// Guards against an agent that knows all flows of its host and still bothers it with others.
func TestAgentOlderThanHostKnowsItsFlows(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	b.message(mesh.Search, packettest.Request(packettest.Key(1), hostSeq, 100))
	require.Empty(t, b.takeHost())
	require.Empty(t, b.takeMember())
}

// Guards against packets for the service that had the address before.
func TestOtherService(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	m := mesh.Message{Kind: mesh.Offer, Service: mesh.ServiceTag("draws"), Entry: entryIP, Count: 1, Body: packettest.Open(packettest.Key(1), 0)}
	b.Receive(m.Append(nil))
	m.Kind = mesh.Search
	b.Receive(m.Append(nil))
	require.Empty(t, b.takeHost())
	require.Error(t, b.Heartbeat(host.Report{ID: "x", Service: "draws", Address: hostAddress, State: host.Ready, Slots: 1}))
	require.Error(t, b.Heartbeat(host.Report{ID: "x", Service: service, Address: flow.Endpoint{IP: 1, Port: 2}, State: host.Ready, Slots: 1}))
}

// Guards against a load that drifts from the requests in the host.
func TestLoadFollowsFlows(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	k := packettest.Key(1)
	b.open(k)
	require.EqualValues(t, 1, b.Load().Busy)
	b.message(mesh.Deliver, packettest.Request(k, hostSeq+1, 100))
	b.now += 40 * time.Millisecond
	b.FromHost(packettest.Answer(k, hostSeq+1, 500))
	require.Zero(t, b.Load().Busy)
	b.message(mesh.Deliver, packettest.Request(k, hostSeq+1, 100))
	require.Zero(t, b.Load().Busy, "a request that is sent again is no new one")
	for _, fromHost := range []bool{true, false} {
		p := packettest.Packet{Flow: k, FromHost: fromHost, Flags: packettest.FIN | packettest.ACK, Seq: hostSeq + 501, Ack: hostSeq + 502}
		if fromHost {
			b.FromHost(p.Bytes())
		} else {
			b.message(mesh.Deliver, p.Bytes())
		}
	}
	require.Zero(t, b.Flows())
	b.message(mesh.Offer, packettest.Open(packettest.Key(2), 0))
	b.FromHost(packettest.Accept(packettest.Key(2), hostSeq))
	require.EqualValues(t, 1, b.Load().Busy)
	b.now += packetagent.DefaultAnswerTimeout
	b.Tick()
	require.Zero(t, b.Load().Busy, "a caller that never sent its request")
	b.message(mesh.Deliver, packettest.Request(packettest.Key(2), hostSeq+1, 100))
	require.EqualValues(t, 1, b.Load().Busy, "it did send, late")
}

// Guards against callers that left while their flows were held: each kept a
// slot for seconds, which stopped the host at a load above its capacity.
func TestCallersThatLeftFreeTheirSlots(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	const callers = 40
	for i := range callers {
		m := mesh.Message{
			Kind: mesh.Offer, Service: mesh.ServiceTag(service), Entry: entryIP, Body: packettest.Open(packettest.Key(i), 0), Count: 1,
			Candidates: [mesh.MaxCandidates]uint32{ownIP},
			Offered:    mesh.Terms{Best: mesh.NoCandidate, Target: mesh.WaitOf(2 * time.Second)},
		}
		b.Receive(m.Append(nil))
	}
	answered := 0
	for b.now < 600*time.Millisecond {
		for _, p := range b.takeHost() {
			s, err := platform.DecodePacket(p, platform.FromCaller)
			require.NoError(t, err)
			b.FromHost(packettest.Accept(s.Key, hostSeq))
			answered++
		}
		b.now += 10 * time.Millisecond
		b.Tick()
	}
	require.Equal(t, callers, answered)
}

// Guards against a search for a copy of an opening packet that opens the flow
// at every host of the service: after an outage the hosts were full of flows that no caller used.
func TestSearchDoesNotOpenFlows(t *testing.T) {
	b := newBench(t)
	b.message(mesh.Search, packettest.Open(packettest.Key(1), 1))
	require.Empty(t, b.takeHost())
	require.Empty(t, b.takeMember())
	b.message(mesh.Offer, packettest.Open(packettest.Key(1), 0))
	b.FromHost(packettest.Accept(packettest.Key(1), hostSeq))
	b.takeHost()
	b.takeMember()
	b.message(mesh.Search, packettest.Open(packettest.Key(1), 1))
	require.Len(t, b.takeHost(), 1, "a copy for the host that has the flow")
	require.Equal(t, []mesh.Kind{mesh.Taken}, b.kinds())
}

// Guards against held flows that pass the queue: after an outage the routers
// sent copies of opening packets to other entries, which searched for the flows, and the agent gave the copies to
// its host. For a second the host worked for those who had waited too long.
func TestCopiesOfHeldFlowsWait(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	for i := range 4 {
		b.open(packettest.Key(i))
	}
	held := packettest.Key(4)
	m := mesh.Message{
		Kind: mesh.Offer, Service: mesh.ServiceTag(service), Entry: entryIP, Body: packettest.Open(held, 0), Count: 1,
		Candidates: [mesh.MaxCandidates]uint32{ownIP},
		Offered:    mesh.Terms{Best: mesh.NoCandidate, Target: mesh.WaitOf(150 * time.Millisecond)},
	}
	b.Receive(m.Append(nil))
	require.Equal(t, []mesh.Kind{mesh.Taken}, b.kinds())
	for _, k := range []mesh.Kind{mesh.Search, mesh.Deliver, mesh.Offer} {
		b.message(k, packettest.Open(held, 1))
		require.Empty(t, b.takeHost(), "%s of a copy", k)
		require.Equal(t, []mesh.Kind{mesh.Taken}, b.kinds(), "%s of a copy", k)
	}
	b.FromHost(packettest.Answer(packettest.Key(0), hostSeq+1, 500))
	require.Len(t, b.takeHost(), 1, "its turn")
}

// Guards against callers that learn up to a second late that they were given up.
func TestHeldFlowIsRefusedAtItsLimit(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	for i := range 4 {
		b.open(packettest.Key(i))
	}
	m := mesh.Message{
		Kind: mesh.Offer, Service: mesh.ServiceTag(service), Entry: entryIP, Body: packettest.Open(packettest.Key(4), 0), Count: 1,
		Candidates: [mesh.MaxCandidates]uint32{ownIP},
		Offered:    mesh.Terms{Best: mesh.NoCandidate, Target: mesh.WaitOf(150 * time.Millisecond), Waited: mesh.WaitOf(200 * time.Millisecond)},
	}
	b.Receive(m.Append(nil))
	b.takeMember()
	for b.now < placement.DefaultHoldLimit-200*time.Millisecond {
		require.Empty(t, b.takeCaller())
		next := b.Tick()
		require.Positive(t, next)
		b.now += next
	}
	b.Tick()
	requireResets(t, b.takeCaller(), packettest.Key(4))
	require.Equal(t, []mesh.Kind{mesh.Refused}, b.kinds())
	require.LessOrEqual(t, b.now, placement.DefaultHoldLimit-200*time.Millisecond+time.Millisecond)
}

// Guards against flows that are forgotten while the configuration keeps them open:
// the agent had an idle time-out of its own, and the flow's next packet found nobody.
func TestIdleFlowIsKeptAsConfigured(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	k := packettest.Key(1)
	b.open(k)
	b.FromHost(packettest.Answer(k, hostSeq+1, 500))
	b.takeCaller()
	b.idle = 40 * time.Second
	for range 35 {
		b.now += time.Second
		b.Sweep()
	}
	b.takeMember()
	b.message(mesh.Deliver, packettest.Packet{Flow: k, Flags: packettest.ACK, Seq: 1200, Ack: hostSeq + 501, Data: 100}.Bytes())
	require.Len(t, b.takeHost(), 1)
	require.NotContains(t, b.kinds(), mesh.Missing)
}

// Guards against a host that is blamed for resets that follow from its own
// end of a flow: a caller's request crossed it on the way.
func TestResetAfterTheHostsEndIsNoFailure(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	for round, ended := range []bool{true, false} {
		for i := 0; i < 20 && !b.Load().Faulty; i++ {
			k := packettest.Key(100*round + i)
			b.open(k)
			if ended {
				b.FromHost(packettest.Answer(k, hostSeq+1, 500))
				b.FromHost(packettest.Packet{Flow: k, FromHost: true, Flags: packettest.FIN | packettest.ACK, Seq: hostSeq + 501, Ack: 1200}.Bytes())
				b.message(mesh.Deliver, packettest.Packet{Flow: k, Flags: packettest.ACK, Seq: 1200, Ack: hostSeq + 501, Data: 100}.Bytes())
			}
			b.FromHost(packettest.Packet{Flow: k, FromHost: true, Flags: packettest.RST | packettest.ACK, Seq: hostSeq + 502, Ack: 1300}.Bytes())
			b.takeHost()
			b.takeCaller()
		}
		require.Equal(t, !ended, b.Load().Faulty, "host ended first: %t", ended)
	}
}

// Guards against a flow whose home doesn't know where it is, and against a
// search that goes round in circles.
func TestHomeKnowsFlow(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	k := packettest.Key(1)
	m := mesh.Message{
		Kind: mesh.Offer, Service: mesh.ServiceTag(service), Entry: entryIP, Body: packettest.Open(k, 0), Count: 1,
		Candidates: [mesh.MaxCandidates]uint32{ownIP}, Homes: [mesh.HomeCount]uint32{peerIP, ownIP},
		Offered: mesh.Terms{Best: mesh.NoCandidate},
	}
	b.Receive(m.Append(nil))
	told := b.takeMember()
	require.Len(t, told, 2)
	require.Equal(t, mesh.Located, told[1].Kind)
	require.Equal(t, uint32(peerIP), told[1].to)

	other := packettest.Key(2)
	located := mesh.Message{Kind: mesh.Located, Service: mesh.ServiceTag(service), Entry: peerIP, Flow: other}
	b.Receive(located.Append(nil))
	search := mesh.Message{Kind: mesh.Search, Service: mesh.ServiceTag(service), Entry: entryIP, Body: packettest.Request(other, 5, 10)}
	b.Receive(search.Append(nil))
	sent := b.takeMember()
	require.Len(t, sent, 1)
	require.Equal(t, mesh.Search, sent[0].Kind)
	require.Equal(t, uint32(peerIP), sent[0].to)
	require.EqualValues(t, entryIP, sent[0].Entry)

	again := sent[0].Message
	again.Body = packettest.Request(packettest.Key(4), 5, 10)
	b.Receive(located.Append(nil))
	b.Receive(again.Append(nil))
	require.Equal(t, []mesh.Kind{mesh.Missing}, b.kinds(), "the agent that a home named doesn't have the flow")

	search.Body = packettest.Request(packettest.Key(3), 5, 10)
	b.Receive(search.Append(nil))
	require.Equal(t, []mesh.Kind{mesh.Missing}, b.kinds(), "a home that doesn't know says so")
	require.Empty(t, b.takeHost()[1:])
}

// Guards against a reset of flows at a new host: it takes flows before its
// first heartbeat, and that heartbeat ended all flows as the former host's.
// Found by the soak with seed 1.
func TestFlowsBeforeTheFirstHeartbeatOfANewHost(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	b.open(packettest.Key(1))
	b.now += time.Second
	b.heartbeat("h", bornAt, 2, host.Ready)
	b.now += 200 * time.Millisecond
	// The host starts anew here.
	b.open(packettest.Key(2))
	b.now += 200 * time.Millisecond
	b.heartbeat("h", bornAt+1200, 1, host.Ready)
	requireResets(t, b.takeCaller(), packettest.Key(1))
	b.message(mesh.Deliver, packettest.Request(packettest.Key(2), hostSeq+1, 100))
	require.Len(t, b.takeHost(), 1)
}

// Guards against a host that stays closed for good after its port refused a
// connection once, although its heartbeats go on. Found by the soak with seed 104.
func TestHostThatWasDownComesBack(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	b.open(packettest.Key(1))
	b.HostDown()
	requireResets(t, b.takeCaller(), packettest.Key(1))
	require.False(t, b.Load().Open)
	b.heartbeat("h", bornAt, 2, host.Ready)
	require.True(t, b.Load().Open)
}

// Guards against requests that count as busy for ever: callers that gave up
// while their request ran left a host idle for 13 s, since its agent took it for full.
func TestCallersThatGaveUpFreeTheirSlots(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	for i := range 4 {
		k := packettest.Key(i)
		b.open(k)
		if i < 3 {
			fin := packettest.Packet{Flow: k, Flags: packettest.FIN | packettest.ACK, Seq: 1101, Ack: hostSeq + 1}
			b.message(mesh.Deliver, fin.Bytes())
			require.Len(t, b.takeHost(), 1)
		}
	}
	require.EqualValues(t, 1, b.Load().Busy)
	b.now += 4 * time.Second
	b.Sweep()
	require.Zero(t, b.Load().Busy, "a request whose answer never comes")
	b.FromHost(packettest.Answer(packettest.Key(3), hostSeq+1, 500))
	require.Len(t, b.takeCaller(), 1, "an answer is delivered, also late")
	require.Zero(t, b.Load().Busy)
}

// Guards against a reset of a flow that is open at another host: an agent that
// stood still took opening packets that others had taken meanwhile, and reset those
// flows when its host started anew. Found by the soak with seed 109.
func TestUnconfirmedFlowsAreNotReset(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	b.open(packettest.Key(1))
	b.message(mesh.Offer, packettest.Open(packettest.Key(2), 0))
	b.FromHost(packettest.Accept(packettest.Key(2), hostSeq))
	b.takeCaller()
	b.HostDown()
	requireResets(t, b.takeCaller(), packettest.Key(1))
}

// Guards against a reset of flows at a new host by an agent that stood still:
// it reads the former host's last heartbeat after it gave flows to the new one.
func TestOldHeartbeatReadLate(t *testing.T) {
	b := newBench(t)
	b.heartbeat("h", bornAt, 1, host.Ready)
	b.now += 3 * time.Second
	// The host started anew one second ago, while the agent stood still.
	b.open(packettest.Key(1))
	b.now += 10 * time.Millisecond
	b.heartbeat("h", bornAt, 2, host.Ready)
	b.now += 10 * time.Millisecond
	b.heartbeat("h", bornAt+2000, 1, host.Ready)
	require.Empty(t, b.takeCaller())
}

// Guards against packets of an open flow that go to another host again and
// again, because that host has another half of the flow and doesn't bounce them.
func TestHostIsAskedOnce(t *testing.T) {
	b := newBench(t)
	k := packettest.Key(1)
	b.message(mesh.Search, packettest.Request(k, 90_001, 0))
	require.Empty(t, b.takeHost(), "an acknowledgement alone gets no answer")
	for range 5 {
		b.message(mesh.Search, packettest.Request(k, 90_001, 100))
		b.message(mesh.Deliver, packettest.Request(k, 90_001, 100))
		b.now += 200 * time.Millisecond
	}
	require.Len(t, b.takeHost(), 1)
}
