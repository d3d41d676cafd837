package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
)

// Guards against an acknowledgement without data that erases what is known of an open flow: an agent that has just started
// can't learn from it whether its host has the flow, and returned it as a packet of a flow that isn't there. The entry and the
// directory agents then forgot the flow.
func TestFlowIsFoundAfterBareAcknowledgement(t *testing.T) {
	const flows = 20
	for name, acknowledges := range map[string]bool{"no acknowledgement": false, "an acknowledgement": true} {
		t.Run(name, func(t *testing.T) {
			f, callers := newFleet(2, 60)
			f.Run(time.Second)
			lost := 0
			for i := range flows {
				c := callers.Start(f, packettest.Key(i), through(f.Entries[0]))
				f.Run(100 * time.Millisecond)
				requireAnswered(t, f, c, 1)
				f.StartAgent(f.Owner(c.Key, c.InitialSeq))
				f.Run(20 * time.Millisecond)
				if acknowledges {
					f.FromCaller(f.Entries[0], packettest.Request(c.Key, c.InitialSeq+1, 0))
					f.Run(20 * time.Millisecond)
				}
				c.Request()
				f.Run(100 * time.Millisecond)
				if c.Answers < 2 {
					lost++
				}
			}
			require.Zero(t, lost, "flows of %d without an answer to the first packet of a request", flows)
		})
	}
}
