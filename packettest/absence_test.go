package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/packetentry"
	"endiveflow.example/endiveflow/packettest"
)

// requestAll sends a request on each flow through an entry that changes from flow to flow, and returns how many were
// reset within a time.
func requestAll(f *packettest.Fleet, all []*packettest.Caller, within time.Duration) int {
	for n, c := range all {
		c.NextEntry = func() *packettest.Entry { return f.Entries[n%len(f.Entries)] }
		c.Request()
	}
	f.Run(within)
	n := 0
	for _, c := range all {
		if c.Reset {
			n++
		}
	}
	return n
}

// Guards against callers that wait for their deadlines because all VMs lost power, and against resets without proof: the
// member records can't be read, name an agent that doesn't report, or the agents restarted beside hosts that keep their flows.
func TestFlowsLostWithAllVMsAreReset(t *testing.T) {
	powerOff := func(f *packettest.Fleet) { f.PowerOff(time.Second); f.Run(3500 * time.Millisecond) }
	for name, c := range map[string]struct {
		fault  func(*packettest.Fleet)
		resets int
	}{
		"loss of power": {powerOff, 400},
		"no member records": {func(f *packettest.Fleet) {
			f.Membership = func(time.Duration) packetentry.Membership { return packetentry.Membership{} }
			powerOff(f)
		}, 0},
		"records of an earlier time": {func(f *packettest.Fleet) {
			m := f.ListedAgents()
			f.Membership = func(time.Duration) packetentry.Membership { return m }
			powerOff(f)
		}, 0},
		"agent that doesn't report": {func(f *packettest.Fleet) {
			f.Membership = func(time.Duration) packetentry.Membership {
				m := f.ListedAgents()
				m.Agents = append(m.Agents, packettest.Address(99))
				return m
			}
			powerOff(f)
		}, 0},
		"one agent is down": {func(f *packettest.Fleet) {
			powerOff(f)
			f.Agents[0].Up = false
		}, 0},
		"all processes restart": {func(f *packettest.Fleet) {
			f.RestartProcesses()
			f.Run(1500 * time.Millisecond)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, all := newFleetWithFlows(time.Hour, 0)
			c.fault(f)
			require.Equal(t, c.resets, requestAll(f, all, 1200*time.Millisecond))
			require.Empty(t, f.Violations)
		})
	}
}

// vmStartSkew is longer than an outage of the test, the spread of starts after it and the time by which an agent's start may
// follow its host's if both started with their VM.
const vmStartSkew = 950 * time.Millisecond

// Guards against a reset of an open flow whose agent restarted so soon after its host that both seem to have started together,
// while no other process remembers the agent's earlier process.
func TestAgentRestartsRightAfterItsHost(t *testing.T) {
	f := packettest.NewFleet(1)
	for n := range 2 {
		f.AddEntry(packettest.Address(1 + n))
	}
	for n := range 4 {
		f.AddAgent(packettest.Address(100+n), packettest.FirstService)
	}
	f.Run(100 * time.Millisecond)
	callers := packettest.NewCallers(f)
	var all []*packettest.Caller
	for n := range 8 {
		all = append(all, callers.Start(f, packettest.Key(n), func() *packettest.Entry { return f.Entries[0] }))
	}
	f.Run(200 * time.Millisecond)
	f.RestartProcesses()
	f.Run(1500 * time.Millisecond)
	requestAll(f, all, 1200*time.Millisecond)
	require.Empty(t, f.Violations)
}

// Guards against a reset of an open flow that an earlier agent process gave to its host right after the host restarted, if the
// agent restarts so soon that both seem to have started together, while no other process remembers the earlier one.
func TestHostRestartsRightBeforeItsAgent(t *testing.T) {
	f := packettest.NewFleet(1)
	for n := range 2 {
		f.AddEntry(packettest.Address(1 + n))
	}
	for n := range 4 {
		f.AddAgent(packettest.Address(100+n), packettest.FirstService)
	}
	f.Run(3 * time.Second)
	for _, a := range f.Agents {
		f.StartHost(a)
	}
	callers := packettest.NewCallers(f)
	var all []*packettest.Caller
	for n := range 8 {
		all = append(all, callers.Start(f, packettest.Key(n), func() *packettest.Entry { return f.Entries[0] }))
	}
	f.Run(80 * time.Millisecond)
	f.RestartProcesses()
	f.Run(1500 * time.Millisecond)
	requestAll(f, all, 1200*time.Millisecond)
	require.Empty(t, f.Violations)
}

// Guards against a reset of an open flow while messages are lost, late and repeated, agents are cut off, restart or join, hosts
// restart at their addresses, VMs lose power, entries restart and callers open flows. Fleet.checkReset looks at each reset.
func TestNoWrongResetDuringFaults(t *testing.T) {
	resets := 0
	rapid.Check(t, func(t *rapid.T) {
		f := packettest.NewFleet(rapid.Uint64().Draw(t, "seed"))
		for n := range 3 {
			f.AddEntry(packettest.Address(1 + n))
		}
		for n := range rapid.IntRange(2, 10).Draw(t, "agents") {
			f.AddAgent(packettest.Address(100+n), packettest.FirstService).Host.StartedAt -= rapid.SampledFrom([]int64{0, 200, 60_000}).Draw(t, "hostLeadMs")
		}
		f.Run(1500 * time.Millisecond)
		loss, late, cutOff := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"), rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late"), uint32(0)
		f.Drop = func(from, to uint32) bool { return from == cutOff || to == cutOff || f.Random.Float64() < loss }
		f.Delay = func(uint32, uint32) time.Duration {
			if f.Random.Float64() < late {
				return time.Duration(f.Random.IntN(200)) * time.Millisecond
			}
			return 0
		}
		callers := packettest.NewCallers(f)
		var all []*packettest.Caller
		for step := range rapid.IntRange(5, 20).Draw(t, "steps") {
			for i := range 4 {
				all = append(all, callers.Start(f, packettest.Key(step*4+i), func() *packettest.Entry { return f.Entries[f.Random.IntN(len(f.Entries))] }))
			}
			f.Run(time.Duration(rapid.IntRange(1, 100).Draw(t, "beforeMs")) * time.Millisecond)
			agent := f.Agents[rapid.IntRange(0, len(f.Agents)-1).Draw(t, "agent")]
			change := rapid.SampledFrom([]string{"none", "power", "join", "restart", "host", "both", "entry", "cut off", "heal", "all"}).Draw(t, "change")
			if change == "restart" || change == "all" {
				// TestAgentRestartsRightAfterItsHost has restarts within the skew of a VM's start.
				f.Run(vmStartSkew)
			}
			switch change {
			case "power":
				f.PowerOff(time.Duration(rapid.IntRange(10, 500).Draw(t, "downMs")) * time.Millisecond)
			case "join":
				f.AddAgent(packettest.Address(200+step), packettest.FirstService)
			case "restart":
				f.StartAgent(agent)
			case "host":
				f.StartHost(agent)
			case "both":
				f.StartHost(agent)
				f.StartAgent(agent)
			case "entry":
				f.StartEntry(f.Entries[step%len(f.Entries)])
			case "cut off":
				cutOff = agent.IP
			case "heal":
				cutOff = 0
			case "all":
				f.RestartProcesses()
			}
			f.Run(time.Duration(rapid.IntRange(20, 2000).Draw(t, "pauseMs")) * time.Millisecond)
			for _, c := range all {
				if f.Random.IntN(3) == 0 {
					c.Request()
				}
			}
		}
		f.Run(3 * time.Second)
		for _, v := range f.Violations {
			require.NotContains(t, v, "was reset by")
		}
		for _, c := range all {
			if c.Reset && c.Open {
				resets++
			}
		}
	})
	require.Positive(t, resets, "open flows that were reset, as their hosts had ended")
}
