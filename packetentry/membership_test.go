package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/routing"
)

// assertNoneLost checks that no flow was reset and that each got a number of answers.
func assertNoneLost(t *testing.T, all []*packettest.Caller, answers int) {
	t.Helper()
	lost := 0
	for _, c := range all {
		assert.False(t, c.Reset)
		if c.Answers < answers {
			lost++
		}
	}
	assert.Zero(t, lost, "flows of %d without an answer", len(all))
}

// misdelivered returns the number of packets that reached hosts at which their flows aren't open.
func misdelivered(f *packettest.Fleet) int {
	n := 0
	for _, a := range f.Agents {
		n += a.Host.Misdelivered
	}
	return n
}

// Guards against open flows that are lost after a change of their route's shares: the flow's service was worked out from the
// current shares, so that an entry without a record searched for it at agents of another service, some of which gave its
// packets to their hosts.
func TestFlowIsFoundAfterChangeOfShares(t *testing.T) {
	const flows = 20
	for name, shares := range map[string][]routing.Share{
		"the shares are the same":    {{Service: packettest.FirstService, Weight: 1}},
		"the service left the route": {{Service: packettest.SecondService, Weight: 1}},
		"the weights changed":        {{Service: packettest.FirstService, Weight: 1}, {Service: packettest.SecondService, Weight: 99}},
	} {
		t.Run(name, func(t *testing.T) {
			f, callers := newFleet(2, 40)
			for i := range 40 {
				f.AddAgent(packettest.Address(201+i), packettest.SecondService)
			}
			f.Run(time.Second)
			// These agents started after their hosts, so that they ask them for flows that they have no record of.
			for _, a := range f.Agents[40:] {
				f.StartAgent(a)
			}
			f.Run(time.Second)
			var all []*packettest.Caller
			for i := range flows {
				all = append(all, callers.Start(f, packettest.Key(i), through(f.Entries[0])))
				f.Run(50 * time.Millisecond)
			}
			f.Routes[0].Shares = shares
			f.StartEntry(f.Entries[1])
			f.Run(2 * time.Second)
			for _, c := range all {
				c.NextEntry = through(f.Entries[1])
				c.Request()
				f.Run(100 * time.Millisecond)
			}
			f.Run(2 * time.Second)
			assertNoneLost(t, all, 2)
			assert.Zero(t, misdelivered(f), "packets of open flows reached other hosts")
		})
	}
}

// Guards against open flows that are lost some time after a release of the agents: an agent that starts beside a running host
// learns the host's flows from its packets, and entries that join later have to find them at that agent.
func TestFlowIsFoundLongAfterRestartOfAgents(t *testing.T) {
	const (
		flows  = 20
		agents = 60
		// between is the time between the requests of a flow, below the idle timeout.
		between = 5 * time.Second
	)
	for name, restart := range map[string]bool{"without a restart": false, "with a restart": true} {
		t.Run(name, func(t *testing.T) {
			f, callers := newFleet(2, agents)
			f.Run(time.Second)
			var all []*packettest.Caller
			for i := range flows {
				all = append(all, callers.Start(f, packettest.Key(i), through(f.Entries[0])))
				f.Run(100 * time.Millisecond)
			}
			if restart {
				for _, a := range f.Agents {
					f.StartAgent(a)
					f.Run(20 * time.Millisecond)
				}
			}
			want := 1
			for range 6 {
				f.Run(between)
				want++
				for _, c := range all {
					c.Request()
				}
			}
			f.Run(time.Second)
			for i, c := range all {
				require.Equal(t, want, c.Answers, "flow %d through the entry that placed it", i)
			}
			require.Zero(t, misdelivered(f))
			for _, c := range all {
				c.NextEntry = through(f.Entries[1])
				c.Request()
				f.Run(200 * time.Millisecond)
			}
			f.Run(2 * time.Second)
			assertNoneLost(t, all, want+1)
			assert.Zero(t, misdelivered(f), "packets of open flows reached other hosts")
		})
	}
}
