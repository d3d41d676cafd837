package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/packettest"
	_ "endiveflow.example/endiveflow/testseed"
)

// newVMHostLead is how long before its agent a host of a new VM starts.
const newVMHostLead = 200 * time.Millisecond

// searchTime is within what a caller waits before it repeats a packet.
const searchTime = 200 * time.Millisecond

// newFleetWithFlows returns a fleet of 4 entries and 40 agents, whose hosts started some time before them, and the callers
// of 400 flows that opened through the first two entries. offerDelay is by how much one in ten messages between processes is
// late meanwhile.
func newFleetWithFlows(hostLead, offerDelay time.Duration) (*packettest.Fleet, []*packettest.Caller) {
	const agents, flows = 40, 400
	f := packettest.NewFleet(1)
	for n := range 4 {
		f.AddEntry(packettest.Address(1 + n))
	}
	for n := range agents {
		f.AddAgent(packettest.Address(100+n), packettest.FirstService).Host.StartedAt -= hostLead.Milliseconds()
	}
	f.Run(time.Second)
	if offerDelay > 0 {
		f.Delay = func(uint32, uint32) time.Duration { return offerDelay * time.Duration(f.Random.IntN(10)/9) }
	}
	callers := packettest.NewCallers(f)
	all := make([]*packettest.Caller, 0, flows)
	for n := range flows {
		e := f.Entries[n%2]
		all = append(all, callers.Start(f, packettest.Key(n), func() *packettest.Entry { return e }))
		f.Run(2 * time.Millisecond)
	}
	f.Run(200 * time.Millisecond)
	f.Delay = func(uint32, uint32) time.Duration { return 0 }
	return f, all
}

// closeThroughOthers has callers close their flows through the other two entries, which the fabric changes with each packet.
func closeThroughOthers(f *packettest.Fleet, all []*packettest.Caller) {
	for n, c := range all {
		next := n
		c.NextEntry = func() *packettest.Entry {
			next++
			return f.Entries[2+next%2]
		}
		c.Close()
	}
}

func requireClosed(t *testing.T, f *packettest.Fleet, all []*packettest.Caller) {
	t.Helper()
	closed := 0
	for _, c := range all {
		if c.Closed {
			closed++
		}
	}
	require.Equal(t, len(all), closed)
	require.Empty(t, f.Violations)
}

func requireNoneMisdelivered(t *testing.T, agents []*packettest.Agent) {
	t.Helper()
	misdelivered := 0
	for _, a := range agents {
		misdelivered += a.Host.Misdelivered
	}
	require.Zero(t, misdelivered)
}

// Guards against packets of open flows that reach other hosts, and not their own, after agents join.
func TestOpenFlowsAreFoundAfterAgentsJoin(t *testing.T) {
	f, all := newFleetWithFlows(newVMHostLead, 0)
	for n := range len(f.Agents) / 2 {
		f.AddAgent(packettest.Address(200+n), packettest.FirstService).Host.StartedAt -= newVMHostLead.Milliseconds()
	}
	f.Run(500 * time.Millisecond)
	closeThroughOthers(f, all)
	f.Run(searchTime)
	requireClosed(t, f, all)
	requireNoneMisdelivered(t, f.Agents)
}

// Guards against packets of open flows that reach other hosts, and not their own, after offers were answered late, so that
// two agents took the flow.
func TestOpenFlowsOfferedTwiceAreFound(t *testing.T) {
	f, all := newFleetWithFlows(newVMHostLead, 35*time.Millisecond)
	closeThroughOthers(f, all)
	f.Run(searchTime)
	requireClosed(t, f, all)
	requireNoneMisdelivered(t, f.Agents)
}

// Guards against packets of open flows that reach hosts of new VMs, while no process has a record of the flows.
func TestSearchOmitsHostsThatHaveNotReported(t *testing.T) {
	f, all := newFleetWithFlows(time.Hour, 0)
	for _, a := range f.Agents {
		f.StartAgent(a)
	}
	joined := len(f.Agents)
	for n := range joined / 2 {
		f.AddAgent(packettest.Address(200+n), packettest.FirstService).Host.WithoutHeartbeats = true
	}
	f.Run(500 * time.Millisecond)
	for _, c := range all[:5] {
		c.NextEntry = func() *packettest.Entry { return f.Entries[2] }
		c.Request()
	}
	f.Run(2 * time.Second)
	requireNoneMisdelivered(t, f.Agents[joined:])
}

// Guards against packets of open flows that reach other hosts, and not their own, while agents join, leave and restart one
// after the other, entries restart, and messages are lost or late.
func TestOpenFlowsAreFoundDuringChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := packettest.NewFleet(rapid.Uint64().Draw(t, "seed"))
		for n := range 3 {
			f.AddEntry(packettest.Address(1 + n))
		}
		for n := range rapid.IntRange(4, 24).Draw(t, "agents") {
			f.AddAgent(packettest.Address(100+n), packettest.FirstService).Host.StartedAt -= rapid.SampledFrom([]int64{0, 200, 60_000}).Draw(t, "hostLeadMs")
		}
		f.Run(1500 * time.Millisecond)
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
		late := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "late")
		f.Drop = func(uint32, uint32) bool { return f.Random.Float64() < loss }
		f.Delay = func(uint32, uint32) time.Duration {
			if f.Random.Float64() < late {
				return time.Duration(f.Random.IntN(60)) * time.Millisecond
			}
			return 0
		}
		callers := packettest.NewCallers(f)
		// The fabric moves all flows to other entries with each change of the rotation.
		rotation := 0
		next := func(n int) func() *packettest.Entry {
			return func() *packettest.Entry { return f.Entries[(n+rotation)%len(f.Entries)] }
		}
		var all []*packettest.Caller
		for step := range rapid.IntRange(10, 40).Draw(t, "steps") {
			for i := range 4 {
				n := step*4 + i
				all = append(all, callers.Start(f, packettest.Key(n), next(n)))
			}
			switch rapid.SampledFrom([]string{"none", "join", "leave", "restart", "entry", "rotate"}).Draw(t, "change") {
			case "join":
				f.AddAgent(packettest.Address(200+step), packettest.FirstService)
			case "leave":
				a := f.Agents[rapid.IntRange(0, len(f.Agents)-1).Draw(t, "agent")]
				a.Host.State = host.Draining
				f.SendHeartbeat(a)
			case "restart":
				f.StartAgent(f.Agents[rapid.IntRange(0, len(f.Agents)-1).Draw(t, "agent")])
			case "entry":
				f.StartEntry(f.Entries[rapid.IntRange(0, len(f.Entries)-1).Draw(t, "entry")])
				rotation++
			case "rotate":
				rotation++
			}
			f.Run(time.Duration(rapid.IntRange(20, 400).Draw(t, "pauseMs")) * time.Millisecond)
			for _, c := range all[:max(0, len(all)-8)] {
				switch f.Random.IntN(10) {
				case 0:
					c.Close()
				case 1, 2:
					c.Request()
				}
			}
		}
		for _, c := range all {
			c.Close()
		}
		f.Run(10 * time.Second)
		require.Empty(t, f.Violations)
	})
}

// Guards against a search that asks all restarted agents but the flow's own one, whose host has not reported since the agent
// and the entries restarted.
func TestSearchAsksRestartedAgentsBeforeTheirHostsReport(t *testing.T) {
	f, all := newFleetWithFlows(time.Hour, 0)
	for _, a := range f.Agents {
		f.StartAgent(a)
	}
	f.Run(1500 * time.Millisecond)
	c := all[0]
	owner := f.Owner(c.Key, c.InitialSeq)
	owner.Host.WithoutHeartbeats = true
	f.StartAgent(owner)
	for _, e := range f.Entries {
		f.StartEntry(e)
	}
	f.Run(300 * time.Millisecond)
	c.NextEntry = func() *packettest.Entry { return f.Entries[2] }
	c.Request()
	f.Run(3 * time.Second)
	require.Equal(t, 2, c.Answers)
	require.Empty(t, f.Violations)
}

// Guards against searches for flows that are lost, as after a loss of power, that fill the links of entries: new flows are not
// placed. Callers repeat requests of 1 kB for 400 lost flows five times a second.
func TestNewFlowsBesideSearchesForLostFlows(t *testing.T) {
	f, all := newFleetWithFlows(time.Hour, 0)
	for _, e := range f.Entries {
		f.Links[e.IP] = &packettest.Link{BytesPerSecond: entryLink, MaxDelay: 100 * time.Millisecond}
	}
	f.PowerOff(time.Second)
	f.Run(2500 * time.Millisecond)
	callers := packettest.NewCallers(f)
	const rounds = 100
	answered := 0
	for round := range rounds {
		for n, c := range all {
			e := f.Entries[(n+round)%len(f.Entries)]
			f.After(time.Duration(n)*searchTime/time.Duration(len(all)), func() {
				f.FromCaller(e, packettest.Packet{Flow: c.Key, Flags: packettest.ACK, Seq: 1201, Ack: c.InitialSeq + 1, DataBytes: 1000}.Bytes())
			})
		}
		e := f.Entries[round%len(f.Entries)]
		c := callers.Start(f, packettest.Key(len(all)+round), func() *packettest.Entry { return e })
		f.Run(searchTime)
		answered += c.Answers
	}
	require.GreaterOrEqual(t, answered, rounds*95/100)
}
