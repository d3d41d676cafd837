package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/packettest"
)

// openFlows opens flows, one after each pause, and returns their callers. The flows are spread over the entries.
func openFlows(f *packettest.Fleet, flows int, pause time.Duration) []*packettest.Caller {
	callers := packettest.NewCallers(f)
	all := make([]*packettest.Caller, 0, flows)
	for n := range flows {
		all = append(all, callers.Start(f, packettest.Key(n), func() *packettest.Entry { return f.Entries[n%len(f.Entries)] }))
		f.Run(pause)
	}
	return all
}

// requireFoundAfterRestart restarts all processes beside their hosts, has each flow send another request after a while, and checks that all
// are answered.
func requireFoundAfterRestart(t *testing.T, f *packettest.Fleet, all []*packettest.Caller, wait, pause time.Duration) {
	t.Helper()
	f.RestartProcesses()
	f.Run(wait)
	for _, c := range all {
		c.Request()
		f.Run(pause)
	}
	f.Run(3 * time.Second)
	lost := 0
	for _, c := range all {
		require.False(t, c.Reset)
		if c.Answers < 2 {
			lost++
		}
	}
	require.Zero(t, lost, "flows without an answer")
	require.Empty(t, f.Violations)
}

// requireFoundAfterGrowth checks that flows which opened at some agents are found after others were added and all processes restarted.
func requireFoundAfterGrowth(t *testing.T, agents, added int) {
	t.Helper()
	const entries, flows, pause = 3, 3000, 3 * time.Millisecond
	f := packettest.NewFleet(1)
	for n := range entries {
		f.AddEntry(packettest.Address(1 + n))
	}
	for n := range agents {
		f.AddAgent(packettest.Address(100+n), packettest.FirstService)
	}
	f.Run(2 * time.Second)
	all := openFlows(f, flows, pause)
	for n := range added {
		f.AddAgent(packettest.Address(1000+n), packettest.FirstService)
	}
	f.Run(5 * time.Second)
	requireFoundAfterRestart(t, f, all, 8*time.Second, pause)
}

// Guards against searches that use up a budget although they find their flows: a flow that was found in the last step returned only
// what that step had drawn, so that after some hundred flows no search was made any more.
func TestSearchesThatFindTheirFlowsInTheLastStep(t *testing.T) {
	requireFoundAfterGrowth(t, 12, 3)
}

// Guards against packets of open flows that reach other hosts, and not their own, when agents were added and all processes restart:
// the agent that has a flow is no longer among the first in rendezvous order, and no process remembers which agents joined since.
func TestOpenFlowsAreFoundAfterGrowthAndRestartOfAllProcesses(t *testing.T) {
	for name, fleet := range map[string]struct{ agents, added int }{"a few more": {12, 3}, "twice as many": {40, 40}, "four times as many": {60, 180}} {
		t.Run(name, func(t *testing.T) { requireFoundAfterGrowth(t, fleet.agents, fleet.added) })
	}
}

// Guards against packets of open flows that reach other hosts, and not their own, when all processes restart while hosts are leaving:
// these come first in rendezvous order and took no flows when the flows opened.
func TestOpenFlowsAreFoundAfterRestartOfAllProcessesBesideDrainingHosts(t *testing.T) {
	f := packettest.NewFleet(1)
	f.AddEntry(packettest.Address(1))
	for n := range 300 {
		f.AddAgent(packettest.Address(100+n), packettest.FirstService).Host.StartedAt -= time.Hour.Milliseconds()
	}
	f.Run(2 * time.Second)
	for _, a := range f.Agents[:200] {
		a.Host.State = host.Draining
	}
	f.Run(2 * time.Second)
	all := openFlows(f, 300, 10*time.Millisecond)
	requireFoundAfterRestart(t, f, all, 5*time.Second, 10*time.Millisecond)
}
