package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetentry"
	"endiveflow.example/endiveflow/packettest"
	_ "endiveflow.example/endiveflow/testseed"
)

// newFleet returns a fleet whose entries and agents of the first service have exchanged reports.
func newFleet(entries, agents int) (*packettest.Fleet, packettest.Callers) {
	f := packettest.NewFleet(1)
	for i := range entries {
		f.AddEntry(packettest.Address(1 + i))
	}
	for i := range agents {
		f.AddAgent(packettest.Address(100+i), packettest.FirstService)
	}
	f.AddAgent(packettest.Address(200), packettest.SecondService)
	f.Run(50 * time.Millisecond)
	return f, packettest.NewCallers(f)
}

func through(e *packettest.Entry) func() *packettest.Entry {
	return func() *packettest.Entry { return e }
}

func requireAnswered(t require.TestingT, f *packettest.Fleet, c *packettest.Caller, answers int) {
	require.False(t, c.Reset, "flow %s was reset", c.Key)
	require.Equal(t, answers, c.Answers, "flow %s", c.Key)
	require.Empty(t, f.Violations)
}

func requireOpened(t *testing.T, f *packettest.Fleet, want int) {
	t.Helper()
	opened := 0
	for _, a := range f.Agents {
		opened += a.Host.Opened
	}
	require.Equal(t, want, opened)
}

// Guards against a flow that isn't placed, opens twice, or isn't answered.
func TestFlow(t *testing.T) {
	f, callers := newFleet(1, 3)
	c := callers.Start(f, packettest.Key(1), through(f.Entries[0]))
	f.Run(100 * time.Millisecond)
	requireAnswered(t, f, c, 1)
	requireOpened(t, f, 1)
}

// Guards against flows that break when the fabric moves them to another entry.
func TestFlowMovesToAnotherEntry(t *testing.T) {
	f, callers := newFleet(2, 5)
	c := callers.Start(f, packettest.Key(1), through(f.Entries[0]))
	f.Run(100 * time.Millisecond)
	c.NextEntry = through(f.Entries[1])
	c.Request()
	f.Run(100 * time.Millisecond)
	requireAnswered(t, f, c, 2)
}

// Guards against a retransmitted opening packet that opens the flow at a second host, because it arrives
// through another entry.
func TestRetransmissionThroughAnotherEntry(t *testing.T) {
	f, _ := newFleet(2, 5)
	f.ToCaller = func(flow.Segment, uint32) {}
	for n := range uint32(3) {
		f.FromCaller(f.Entries[n%2], packettest.Open(packettest.Key(1), n))
		f.Run(200 * time.Millisecond)
	}
	requireOpened(t, f, 1)
}

// Guards against a flow that waits for an agent that is down.
func TestUnresponsiveAgent(t *testing.T) {
	f, callers := newFleet(1, 3)
	f.Agents[0].Up = false
	for i := range 20 {
		c := callers.Start(f, packettest.Key(i), through(f.Entries[0]))
		f.Run(150 * time.Millisecond)
		requireAnswered(t, f, c, 1)
	}
}

// Guards against offers to agents whose hosts accept no flows. They have no load, so they were preferred:
// after a release and an outage, 5 of 8 candidates were such agents.
func TestClosedHostsAreOfferedFlowsLast(t *testing.T) {
	var first, count int
	e := newEntry(t, func(_ uint32, d []byte) {
		var m mesh.Message
		require.NoError(t, m.Decode(d))
		if m.Kind == mesh.KindOffer {
			first, count = int(m.Candidates[0]-packettest.Address(100)), int(m.Count)
		}
	})
	closed := mesh.Load{Slots: 2}
	for n := range 6 {
		reportAgent(t, e, n, host.Unknown, closed)
	}
	t.Run("there are no others", func(t *testing.T) {
		e.FromCaller(packettest.Open(packettest.Key(1), 0))
		require.Equal(t, 6, count)
	})
	t.Run("an open one is the only candidate", func(t *testing.T) {
		reportAgent(t, e, 6, host.Ready, mesh.Load{Slots: 2, Busy: 2, Open: true})
		e.FromCaller(packettest.Open(packettest.Key(2), 0))
		require.Equal(t, 6, first)
		require.Equal(t, 1, count)
	})
}

// Guards against an entry that stops or gives up a flow after several refusals, while it doesn't know the hosts yet.
func TestRefusalsRightAfterTheStart(t *testing.T) {
	f, callers := newFleet(1, 2)
	for _, a := range f.Agents {
		a.Host.Up = false
		f.StartAgent(a)
	}
	f.StartEntry(f.Entries[0])
	f.Run(10 * time.Millisecond)
	c := callers.Start(f, packettest.Key(1), through(f.Entries[0]))
	f.Run(500 * time.Millisecond)
	require.False(t, c.Reset)
	f.Agents[0].Up = false
	f.Agents[1].Host.Up = true
	f.SendHeartbeat(f.Agents[1])
	f.Run(300 * time.Millisecond)
	requireAnswered(t, f, c, 1)
}

// Guards against an entry that mistakes its own delay for that of agents: it offered each flow again, and two
// hosts opened it.
func TestSlowEntryDoesNotMarkAgentsUnresponsive(t *testing.T) {
	f, callers := newFleet(1, 3)
	e := f.Entries[0]
	c := callers.Start(f, packettest.Key(1), through(e))
	// The entry is paused while the agent's answer is in transit.
	f.Run(4 * time.Millisecond)
	e.Pause(f, 60*time.Millisecond)
	f.Run(300 * time.Millisecond)
	requireAnswered(t, f, c, 1)
	requireOpened(t, f, 1)
}

// Guards against flows that are reset or get no answer if only their host has a record of them.
func TestFlowSurvivesRestartOfAgentsAndEntries(t *testing.T) {
	f, callers := newFleet(2, 4)
	c := callers.Start(f, packettest.Key(1), through(f.Entries[0]))
	f.Run(100 * time.Millisecond)
	f.RestartProcesses()
	f.Run(50 * time.Millisecond)
	c.Request()
	f.Run(time.Second)
	requireAnswered(t, f, c, 2)
}

// Guards against new flows for a draining host after its agent has restarted: the agent has no record of the
// drain until the next heartbeat.
func TestDrainSurvivesAgentRestart(t *testing.T) {
	f, callers := newFleet(1, 2)
	a := f.Agents[0]
	a.Host.State = host.Draining
	f.SendHeartbeat(a)
	f.Run(10 * time.Millisecond)
	opened := a.Host.Opened
	f.StartAgent(a)
	f.Run(5 * time.Millisecond)
	for i := range 10 {
		c := callers.Start(f, packettest.Key(i), through(f.Entries[0]))
		f.Run(60 * time.Millisecond)
		requireAnswered(t, f, c, 1)
	}
	require.Equal(t, opened, a.Host.Opened)
}

// Guards against an opening packet to an address without a route that gets no answer.
func TestNoRoute(t *testing.T) {
	f, callers := newFleet(1, 1)
	k := packettest.Key(1)
	k.Service.Port++
	c := callers.Start(f, k, through(f.Entries[0]))
	f.Run(50 * time.Millisecond)
	require.True(t, c.Reset)
}

// Guards against an entry that reports that it is ready before it can place flows.
func TestReadiness(t *testing.T) {
	f := packettest.NewFleet(1)
	e := f.AddEntry(packettest.Address(1))
	ready, why := e.Ready()
	require.False(t, ready)
	require.Equal(t, "no agents", why)
	f.AddAgent(packettest.Address(100), packettest.FirstService)
	f.Run(10 * time.Millisecond)
	ready, _ = e.Ready()
	require.True(t, ready)
	e.Stop()
	ready, _ = e.Ready()
	require.False(t, ready)
}

// Guards against an entry that joins and is ready when it knows a few of the agents: it offers all flows to these, and they
// are not found later, as it takes wrong agents for their directory agents. The time for it is bounded, as other entries may
// know agents that are gone.
func TestJoiningEntryIsReadyWhenItKnowsMostAgents(t *testing.T) {
	const agents = 40
	f, _ := newFleet(2, agents)
	f.Run(2 * time.Second)
	joining := packettest.Address(3)
	f.Delay = func(from, to uint32) time.Duration {
		if to == joining && from >= packettest.Address(100) {
			return time.Duration(from-packettest.Address(100)) * 10 * time.Millisecond
		}
		return 0
	}
	e := f.AddEntry(joining)
	for range 10 {
		f.Run(10 * time.Millisecond)
		ready, why := e.Ready()
		require.False(t, ready)
		require.NotEmpty(t, why)
	}
	f.Run(agents * 10 * time.Millisecond)
	ready, _ := e.Ready()
	require.True(t, ready)

	f.Drop = func(from, _ uint32) bool { return from >= packettest.Address(100+agents/2) }
	f.StartEntry(e)
	f.Run(500 * time.Millisecond)
	ready, why := e.Ready()
	require.False(t, ready)
	require.Equal(t, "agents missing", why)
	f.Run(500 * time.Millisecond)
	ready, _ = e.Ready()
	require.True(t, ready)
}

// Guards against searches that begin with an agent that has left with its host: nothing answers there until the agent counts as
// silent.
func TestSearchSkipsAgentsThatLeft(t *testing.T) {
	var asked []uint32
	e := newEntry(t, func(ip uint32, d []byte) {
		var m mesh.Message
		require.NoError(t, m.Decode(d))
		if m.Kind == mesh.KindSearch {
			asked = append(asked, ip)
		}
	})
	for n := range 8 {
		reportAgent(t, e, n, host.Ready, mesh.Load{Slots: 4, Open: true})
	}
	e.FromCaller(packettest.Request(packettest.Key(1), 7, 100))
	require.Len(t, asked, 1)
	left, err := mesh.EncodeReport(mesh.AgentReport{IP: asked[0], Incarnation: 1, Version: 2, Service: packettest.FirstService, HostState: host.Gone})
	require.NoError(t, err)
	m := mesh.Message{Kind: mesh.KindAgentReport, Origin: asked[0], ConfigVersion: 1, Body: left}
	e.Receive(m.Append(nil))
	e.FromCaller(packettest.Request(packettest.Key(1), 7, 100))
	require.Len(t, asked, 2)
	require.NotEqual(t, asked[0], asked[1])
}

// Guards against flows that break, open at the wrong host or are reset while their hosts are running, under
// any combination of restarts, drains and pauses.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, callers := newFleet(3, 5)
		seed := rapid.Uint64().Draw(t, "seed")
		loss := rapid.SampledFrom([]float64{0, 0.03, 0.3}).Draw(t, "loss")
		f.Drop = func(uint32, uint32) bool { return f.Random.Float64() < loss }
		fabric := func() *packettest.Entry { return f.Entries[(f.Random.Uint64()+seed)%uint64(len(f.Entries))] }
		var all []*packettest.Caller
		for step := range rapid.IntRange(5, 40).Draw(t, "steps") {
			for i := range 3 {
				all = append(all, callers.Start(f, packettest.Key(step*3+i), fabric))
			}
			a := f.Agents[rapid.IntRange(0, 4).Draw(t, "agent")]
			e := f.Entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				f.StartEntry(e)
			case 1:
				f.StartAgent(a)
			case 2:
				a.Host.State = host.Draining
				f.SendHeartbeat(a)
			case 3:
				e.Pause(f, 80*time.Millisecond)
			case 4:
				if a.Host.DrainAckedAt > 0 {
					a.Host.DrainAckedAt = 0
					f.StartHost(a)
				}
			}
			f.Run(time.Duration(rapid.IntRange(1, 120).Draw(t, "pauseMs")) * time.Millisecond)
			for _, c := range all {
				if c.Reset && c.Open && f.Owner(c.Key, c.InitialSeq) != nil {
					require.Fail(t, "an open flow was reset while its host is running", "%s", c.Key)
				}
			}
		}
		require.Empty(t, f.Violations)
	})
}

// Guards against defaults that are changed to values in the wrong order.
func TestTimeouts(t *testing.T) {
	require.Less(t, packetentry.DefaultSearchTimeout, packetentry.DefaultOfferTimeout)
	require.Less(t, packetentry.DefaultOfferTimeout, 200*time.Millisecond)
}
