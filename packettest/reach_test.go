package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
)

// hostLead is how long before its agent a host of a new VM starts.
const hostLead = 200 * time.Millisecond

// Guards against packets of open flows that reach other hosts, and not their own, after agents join.
func TestOpenFlowsAreFoundAfterAgentsJoin(t *testing.T) {
	const agents, joining, flows = 40, 20, 400
	f := packettest.NewFleet(1)
	for n := range 4 {
		f.AddEntry(packettest.Address(1 + n))
	}
	for n := range agents {
		f.AddAgent(packettest.Address(100+n), packettest.FirstService)
	}
	f.Run(time.Second)
	callers := packettest.NewCallers(f)
	all := make([]*packettest.Caller, 0, flows)
	for n := range flows {
		e := f.Entries[n%2]
		all = append(all, callers.Start(f, packettest.Key(n), func() *packettest.Entry { return e }))
		f.Run(2 * time.Millisecond)
	}
	f.Run(200 * time.Millisecond)
	for n := range joining {
		a := f.AddAgent(packettest.Address(200+n), packettest.FirstService)
		a.Host.StartedAt -= hostLead.Milliseconds()
	}
	f.Run(500 * time.Millisecond)
	for n, c := range all {
		// The fabric moves the flow to another entry with each packet.
		next := n
		c.NextEntry = func() *packettest.Entry {
			next++
			return f.Entries[2+next%2]
		}
		require.Equal(t, 1, c.Answers)
		c.Close()
	}
	f.Run(200 * time.Millisecond)
	closed := 0
	for _, c := range all {
		if c.Closed {
			closed++
		}
	}
	t.Log("closed in 200 ms:", closed, "misdelivered:", f.Misdelivered)
	f.Run(10 * time.Second)
	require.Empty(t, f.Violations)
	require.Equal(t, flows, closed)
	require.Zero(t, f.Misdelivered)
}

// Guards against packets of open flows that reach other hosts, and not their own, after offers were answered late, so that
// two agents took the flow.
func TestOpenFlowsOfferedTwiceAreFound(t *testing.T) {
	const agents, flows = 40, 400
	f := packettest.NewFleet(1)
	for n := range 4 {
		f.AddEntry(packettest.Address(1 + n))
	}
	for n := range agents {
		f.AddAgent(packettest.Address(100+n), packettest.FirstService).Host.StartedAt -= hostLead.Milliseconds()
	}
	f.Run(time.Second)
	callers := packettest.NewCallers(f)
	f.Delay = func(uint32, uint32) time.Duration {
		if f.Random.Float64() < 0.1 {
			return 35 * time.Millisecond
		}
		return 0
	}
	all := make([]*packettest.Caller, 0, flows)
	for n := range flows {
		e := f.Entries[n%2]
		all = append(all, callers.Start(f, packettest.Key(n), func() *packettest.Entry { return e }))
		f.Run(2 * time.Millisecond)
	}
	f.Run(2 * time.Second)
	for n, c := range all {
		next := n
		c.NextEntry = func() *packettest.Entry {
			next++
			return f.Entries[2+next%2]
		}
		if c.Open {
			c.Close()
		}
	}
	f.Run(10 * time.Second)
	closed := 0
	for _, c := range all {
		if c.Closed {
			closed++
		}
	}
	t.Log("closed:", closed, "misdelivered:", f.Misdelivered)
	require.Empty(t, f.Violations)
}
