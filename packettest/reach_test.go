package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
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
