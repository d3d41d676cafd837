package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/placement"
)

// Guards against callers that learn late that their flow was held in vain, and against entries that hold the flow as taken.
func TestFlowHeldInVainIsReset(t *testing.T) {
	f, callers := newFleet(1, 1)
	h := f.Agents[0].Host
	h.WorkTime = time.Minute
	for i := range 2 * h.Slots {
		callers.Start(f, packettest.Key(i), through(f.Entries[0]))
		f.Run(10 * time.Millisecond)
	}
	c := callers.Start(f, packettest.Key(100), through(f.Entries[0]))
	f.Run(placement.DefaultHoldLimit - 20*time.Millisecond)
	require.False(t, c.Reset)
	f.Run(40 * time.Millisecond)
	require.True(t, c.Reset)
	require.NotContains(t, h.Flows, c.Key)
}

// Guards against a reset of an open flow by an agent that held its opening packet until the hold limit, while another agent
// took it: the entry had not heard of the first one and offered the flow again.
func TestHeldFlowThatIsOpenElsewhereIsNotReset(t *testing.T) {
	const (
		agents = 4
		flows  = 300
	)
	f, callers := newFleet(1, agents)
	entry := f.Entries[0]
	deliver := f.ToCaller
	resets := 0
	f.ToCaller = func(s flow.Segment, from uint32) {
		if c := callers[s.Key]; s.IsRST && c != nil && c.Open && f.Owner(s.Key, c.InitialSeq) != nil {
			resets++
		}
		deliver(s, from)
	}
	for i, a := range f.Agents[:agents] {
		a.Host.WorkTime = time.Duration(200+300*i) * time.Millisecond
	}
	f.Drop = func(_, to uint32) bool { return to == entry.IP && f.Random.Float64() < 0.3 }
	for i := range flows {
		callers.Start(f, packettest.Key(i), through(entry))
		f.Run(40 * time.Millisecond)
	}
	f.Run(3 * time.Second)
	require.Zero(t, resets, "resets of open flows")
}
