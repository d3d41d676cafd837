package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/packettest"
)

// playGrowth has flows open at some agents, adds others, restarts all processes beside their hosts, and has each flow send another
// request. It returns the callers.
func playGrowth(f *packettest.Fleet, agents, added, flows int) []*packettest.Caller {
	const entries, pause = 3, 3 * time.Millisecond
	for n := range entries {
		f.AddEntry(packettest.Address(1 + n))
	}
	for n := range agents {
		f.AddAgent(packettest.Address(100+n), packettest.FirstService)
	}
	f.Run(2 * time.Second)
	callers := packettest.NewCallers(f)
	all := make([]*packettest.Caller, 0, flows)
	for n := range flows {
		all = append(all, callers.Start(f, packettest.Key(n), func() *packettest.Entry { return f.Entries[n%entries] }))
		f.Run(pause)
	}
	for n := range added {
		f.AddAgent(packettest.Address(1000+n), packettest.FirstService)
	}
	f.Run(5 * time.Second)
	for _, a := range f.Agents {
		f.StartAgent(a)
	}
	for _, e := range f.Entries {
		f.StartEntry(e)
	}
	f.Run(8 * time.Second)
	for _, c := range all {
		c.Request()
		f.Run(pause)
	}
	f.Run(3 * time.Second)
	return all
}

// requireAllFound checks that all requests after a restart of all processes were answered.
func requireAllFound(t *testing.T, f *packettest.Fleet, all []*packettest.Caller) {
	t.Helper()
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

// Guards against searches that use up a budget although they find their flows: a flow that was found in the last step returned only
// what that step had drawn, so that after some hundred flows no search was made any more.
func TestSearchesThatFindTheirFlowsInTheLastStep(t *testing.T) {
	f := packettest.NewFleet(1)
	requireAllFound(t, f, playGrowth(f, 12, 3, 3000))
}

// Guards against packets of open flows that reach other hosts, and not their own, when agents were added and all processes restart:
// the agent that has a flow is no longer among the first in rendezvous order, and no process remembers which agents joined since.
func TestOpenFlowsAreFoundAfterGrowthAndRestartOfAllProcesses(t *testing.T) {
	for name, fleet := range map[string]struct{ agents, added int }{"a few more": {12, 3}, "twice as many": {40, 40}, "four times as many": {60, 180}} {
		t.Run(name, func(t *testing.T) {
			f := packettest.NewFleet(1)
			requireAllFound(t, f, playGrowth(f, fleet.agents, fleet.added, 3000))
		})
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
	callers := packettest.NewCallers(f)
	var all []*packettest.Caller
	for n := range 300 {
		all = append(all, callers.Start(f, packettest.Key(n), func() *packettest.Entry { return f.Entries[0] }))
		f.Run(10 * time.Millisecond)
	}
	for _, a := range f.Agents {
		f.StartAgent(a)
	}
	f.StartEntry(f.Entries[0])
	f.Run(5 * time.Second)
	for _, c := range all {
		c.Request()
		f.Run(10 * time.Millisecond)
	}
	f.Run(3 * time.Second)
	requireAllFound(t, f, all)
}
