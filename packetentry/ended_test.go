package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
)

// Guards against packets of open flows that reach other hosts because the agents of the flows have ended while their hosts are
// still running: no record of the flows is left, and agents that have just started ask their hosts.
func TestPacketsOfFlowsWhoseAgentsEnded(t *testing.T) {
	const flows, agents = 20, 60
	for name, young := range map[string]bool{"older agents": false, "agents that have just started": true} {
		t.Run(name, func(t *testing.T) {
			f, callers := newFleet(2, agents)
			f.Run(time.Second)
			var all []*packettest.Caller
			for i := range flows {
				c := callers.Start(f, packettest.Key(i), through(f.Entries[0]))
				f.Run(100 * time.Millisecond)
				requireAnswered(t, f, c, 1)
				all = append(all, c)
			}
			for _, c := range all {
				f.Owner(c.Key, c.InitialSeq).Up = false
			}
			for _, a := range f.Agents {
				if a.Up && young {
					f.StartAgent(a)
				}
			}
			f.Run(time.Second)
			for _, c := range all {
				c.NextEntry = through(f.Entries[1])
				c.Request()
				f.Run(100 * time.Millisecond)
			}
			f.Run(2 * time.Second)
			require.Zero(t, misdelivered(f), "packets of open flows reached other hosts")
		})
	}
}
