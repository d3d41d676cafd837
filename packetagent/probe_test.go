package packetagent_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtrace"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetagent"
	"endiveflow.example/endiveflow/packettest"
)

// history returns the lines about a flow that were logged since the last call, as the trace command reads them.
func (a *testAgent) history(key flow.Key) []flowtrace.Line {
	a.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(a.t, <-a.log.Run(ctx))
	lines, err := flowtrace.Read(&a.logged, key.String())
	require.NoError(a.t, err)
	return lines
}

// counted returns the increase of a counter since the call of counted.
func counted(name string) func() int {
	c := metrics.GetOrCreateCounter(name)
	before := c.Get()
	return func() int { return int(c.Get() - before) }
}

// Guards against flows that are not found, and reset by entries, after an agent restarted within seconds of its host's start: the host's clock
// had been ahead then, so that the host seemed to have started after the agent.
func TestFlowsOfHostWhoseClockWasAhead(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", agentStartedAt+1_300, 2, host.Ready)
	search := mesh.Message{Kind: mesh.KindSearch, Service: mesh.ServiceTag(service), Origin: entryIP, Step: mesh.StepAll, Body: packettest.Request(packettest.Key(1), 5, 10)}
	a.Receive(search.Append(nil))
	require.Len(t, a.takeSentToHost(), 1)
}

// Guards against a directory agent that gives its host packets of flows that it has no location of: the host gets packets of
// flows that are open at others.
func TestDirectoryAgentDoesNotProbeItsHost(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
	for position := range mesh.DirectorySteps {
		m := mesh.Message{
			Kind: mesh.KindSearch, Service: mesh.ServiceTag(service), Origin: entryIP, Step: mesh.DirectoryStep(position), Body: packettest.Request(packettest.Key(1), hostSeq+1, 100),
		}
		a.Receive(m.Append(nil))
	}
	require.Empty(t, a.takeSentToHost())
	require.Equal(t, slices.Repeat([]mesh.Kind{mesh.KindMissing}, mesh.DirectorySteps), a.takeSentKinds())
}

// Guards against packets that reach a host that isn't the flow's without a line that says why they were given to it and
// what the host answered, and against outcomes that are counted twice.
func TestProbesAreLogged(t *testing.T) {
	k := packettest.Key(1)
	packet := packettest.Request(k, hostSeq+1, 100)
	message := mesh.Message{Kind: mesh.KindSearch, Service: mesh.ServiceTag(service), Origin: entryIP, ConfigVersion: 1, Body: packet}
	reset := packettest.Packet{Flow: k, FromHost: true, Flags: packettest.RST, Seq: hostSeq + 1}.Bytes()
	acknowledgement := packettest.Packet{Flow: k, FromHost: true, Flags: packettest.ACK, Seq: hostSeq + 1, Ack: 1200}.Bytes()
	for _, test := range []struct {
		reason, outcome string
		change          func(*mesh.Message)
		answer          func(probe []byte) []byte
		logged          bool
	}{
		{"expected", "bounced", func(m *mesh.Message) { m.Kind = mesh.KindDeliver }, packettest.Bounce, true},
		{"expected", "reset", func(m *mesh.Message) { m.Kind = mesh.KindDeliver }, func([]byte) []byte { return reset }, true},
		{"forwarded", "acknowledged", func(m *mesh.Message) { m.Terms.Resent = true }, func([]byte) []byte { return acknowledgement }, true},
		// A learned flow has a line of its own.
		{"all", "learned", func(m *mesh.Message) { m.Step = mesh.StepAll }, func([]byte) []byte { return packettest.Answer(k, hostSeq+1, 500) }, false},
	} {
		t.Run(test.reason+" "+test.outcome, func(t *testing.T) {
			given := counted(`endiveflow_packetagent_probes_total{reason="` + test.reason + `"}`)
			answered := counted(`endiveflow_packetagent_probe_outcomes_total{outcome="` + test.outcome + `"}`)
			a := newTestAgent(t)
			m := message
			test.change(&m)
			a.Receive(m.Append(nil))
			probes := a.takeSentToHost()
			require.Len(t, probes, 1)
			lines := a.history(k)
			require.Len(t, lines, 1)
			require.Equal(t, "probe", lines[0].Message)
			require.Equal(t, "given to the host", lines[0].Outcome)
			require.Equal(t, test.reason, lines[0].Fields["reason"])
			require.EqualValues(t, mesh.DirectoryPosition(m.Step), lines[0].Fields["step"])
			for range 2 {
				a.FromHost(append([]byte(nil), test.answer(probes[0])...))
			}
			lines = a.history(k)
			if test.logged {
				require.Equal(t, "probe", lines[0].Message)
				require.Equal(t, test.outcome, lines[0].Outcome)
			} else {
				require.Equal(t, "flow learned from its host", lines[0].Message)
				require.Equal(t, true, lines[0].Fields["probed"])
			}
			for _, l := range lines[1:] {
				require.NotEqual(t, "probe", l.Message, "a second outcome")
			}
			require.Equal(t, 1, given())
			require.Equal(t, 1, answered())
		})
	}
}

// Guards against a copy that is given up without a line, and against a line for each packet of the flow.
func TestGivenUpCopyIsLoggedOnce(t *testing.T) {
	givenUp := counted(`endiveflow_packetagent_copies_given_up_total`)
	a := newTestAgent(t)
	a.heartbeat("h", hostStartedAt, 1, host.Ready)
	k := packettest.Key(1)
	a.receive(mesh.KindOffer, packettest.Open(k, 0))
	a.FromHost(packettest.Accept(k, hostSeq))
	a.history(k)
	for range 3 {
		a.receive(mesh.KindDeliver, packettest.Request(k, hostSeq+5_000_000, 100))
	}
	n := 0
	for _, l := range a.history(k) {
		if l.Message == "copy given up: the caller opened the flow at another host" {
			n++
			require.Equal(t, true, l.Fields["hostAnswered"])
		}
	}
	require.Equal(t, 1, n)
	require.Equal(t, 1, givenUp())
}

// Guards against directory agents that had no location of a flow and can't be told from those that had a wrong one.
func TestLookupsAreCounted(t *testing.T) {
	found, notFound := counted(`endiveflow_packetagent_lookups_total{result="found"}`), counted(`endiveflow_packetagent_lookups_total{result="notFound"}`)
	a := newTestAgent(t)
	known, unknown := packettest.Key(1), packettest.Key(2)
	located := mesh.Message{Kind: mesh.KindLocated, Service: mesh.ServiceTag(service), Origin: peerIP, Flow: known}
	a.Receive(located.Append(nil))
	for _, k := range []flow.Key{known, unknown} {
		for _, step := range []uint8{0, mesh.StepAll} {
			m := mesh.Message{Kind: mesh.KindSearch, Service: mesh.ServiceTag(service), Origin: entryIP, Step: step, Body: packettest.Request(k, 5, 10)}
			a.Receive(m.Append(nil))
		}
	}
	require.Equal(t, 1, found())
	require.Equal(t, 1, notFound())
	require.Equal(t, "search forwarded by a directory agent", a.history(known)[0].Message)
}

// Guards against an agent that forgets after some seconds that its host doesn't have a flow, and gives the host another packet
// of the flow.
func TestAbsenceIsRememberedWhileAgentIsYoung(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
	k := packettest.Key(1)
	probes := 0
	for a.now < 30*time.Second {
		a.receive(mesh.KindSearch, packettest.Request(k, 90_001, 100))
		for _, p := range a.takeSentToHost() {
			probes++
			a.FromHost(packettest.Bounce(p))
		}
		a.now += 1600 * time.Millisecond
		a.Sweep()
	}
	require.Equal(t, 1, probes, "packets at a host that doesn't have the flow")
}

// upload returns the nth packet of a request of 100 bytes a packet.
func upload(k flow.Key, n uint32) []byte {
	return packettest.Packet{Flow: k, Flags: packettest.ACK, Seq: 2000 + 100*n, Ack: hostSeq + 1, DataBytes: 100}.Bytes()
}

// Guards against a request whose further packets are returned while the host waits for them, and against a host that doesn't
// have the flow and gets more than one packet of it.
func TestFurtherPacketsAwaitAnswerToProbe(t *testing.T) {
	k := packettest.Key(1)
	acknowledgement := packettest.Packet{Flow: k, FromHost: true, Flags: packettest.ACK, Seq: hostSeq + 1, Ack: 2200}.Bytes()
	// start returns a restarted agent that got the first packets of a request, and the packet that it gave its host.
	start := func(t *testing.T, packets uint32) (a *testAgent, probe []byte) {
		a = newTestAgent(t)
		a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
		for n := range packets {
			a.receive(mesh.KindDeliver, upload(k, n))
		}
		probes := a.takeSentToHost()
		require.Len(t, probes, 1, "the probe")
		require.Empty(t, a.takeSentKinds(), "packets returned before the host answers")
		return a, probes[0]
	}
	expire := func(a *testAgent) {
		a.now += packetagent.DefaultAnswerTimeout
		a.Tick()
	}
	t.Run("the host is silent, as it waits for the rest", func(t *testing.T) {
		a, _ := start(t, 4)
		expire(a)
		require.Len(t, a.takeSentToHost(), 1, "the second packet")
		a.FromHost(append([]byte(nil), acknowledgement...))
		require.Len(t, a.takeSentToHost(), 2, "the others")
		require.Equal(t, []mesh.Kind{mesh.KindTaken}, a.takeSentKinds())
		a.receive(mesh.KindDeliver, upload(k, 4))
		require.Len(t, a.takeSentToHost(), 1)
	})
	t.Run("the second packet comes later", func(t *testing.T) {
		a, _ := start(t, 1)
		expire(a)
		a.now += time.Second
		a.receive(mesh.KindDeliver, upload(k, 1))
		require.Len(t, a.takeSentToHost(), 1)
	})
	t.Run("the host acknowledges the first one", func(t *testing.T) {
		a, _ := start(t, 3)
		a.FromHost(append([]byte(nil), acknowledgement...))
		require.Len(t, a.takeSentToHost(), 2)
	})
	t.Run("the host bounces the first one", func(t *testing.T) {
		a, probe := start(t, 3)
		a.FromHost(packettest.Bounce(probe))
		require.Empty(t, a.takeSentToHost())
		require.Equal(t, []mesh.Kind{mesh.KindMissing, mesh.KindMissing, mesh.KindMissing}, a.takeSentKinds())
		expire(a)
		require.Empty(t, a.takeSentToHost())
	})
	t.Run("the host answers neither", func(t *testing.T) {
		a, _ := start(t, 4)
		expire(a)
		a.takeSentToHost()
		expire(a)
		require.Empty(t, a.takeSentToHost())
		require.Equal(t, []mesh.Kind{mesh.KindMissing, mesh.KindMissing}, a.takeSentKinds())
		a.receive(mesh.KindDeliver, upload(k, 4))
		require.Empty(t, a.takeSentToHost())
	})
	t.Run("more packets than a caller has in flight", func(t *testing.T) {
		a := newTestAgent(t)
		a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
		for n := range uint32(40) {
			a.receive(mesh.KindDeliver, upload(k, n))
		}
		require.Len(t, a.takeSentKinds(), 40-1-16)
	})
}
