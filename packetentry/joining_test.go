package packetentry_test

import (
	"testing"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
)

// Guards against an opening packet that opens a second flow: its copy arrives through another entry after agents have joined,
// which asks directory agents that never heard of the flow and takes that for a sign that no entry has placed it.
func TestRetransmissionAfterAgentsJoined(t *testing.T) {
	const flows = 40
	for name, joining := range map[string]int{"no agent joins": 0, "agents join": 40} {
		t.Run(name, func(t *testing.T) {
			f, _ := newFleet(2, 20)
			f.ToCaller = func(flow.Segment, uint32) {}
			f.Run(time.Second)
			for i := range flows {
				f.FromCaller(f.Entries[0], packettest.Open(packettest.Key(i), 0))
			}
			f.Run(50 * time.Millisecond)
			for i := range joining {
				f.AddAgent(packettest.Address(300+i), packettest.FirstService)
			}
			f.Run(150 * time.Millisecond)
			for i := range flows {
				f.FromCaller(f.Entries[1], packettest.Open(packettest.Key(i), 1))
				f.Run(20 * time.Millisecond)
			}
			f.Run(time.Second)
			requireOpened(t, f, flows)
		})
	}
}

// Guards against flows that can't be found because the entry that placed them knew few agents, right after its start, and
// chose their directory agents among these. Entries that know all agents ask others.
func TestFlowPlacedByEntryThatKnewFewAgents(t *testing.T) {
	const agents, known, flows = 60, 6, 20
	for name, knowsAll := range map[string]bool{"all agents known": true, "few agents known": false} {
		t.Run(name, func(t *testing.T) {
			f, callers := newFleet(2, agents)
			f.Run(time.Second)
			placing := f.Entries[0]
			f.Drop = func(from, to uint32) bool {
				n := int(from) - int(packettest.Address(100))
				return !knowsAll && to == placing.IP && n >= 0 && n < agents && n%(agents/known) != 0
			}
			f.StartEntry(placing)
			f.Run(100 * time.Millisecond)
			var all []*packettest.Caller
			for i := range flows {
				all = append(all, callers.Start(f, packettest.Key(i), through(placing)))
				f.Run(60 * time.Millisecond)
			}
			f.Drop = func(uint32, uint32) bool { return false }
			f.Run(time.Second)
			for _, c := range all {
				requireAnswered(t, f, c, 1)
				c.NextEntry = through(f.Entries[1])
				c.Request()
				f.Run(60 * time.Millisecond)
			}
			f.Run(2 * time.Second)
			assertNoneLost(t, all, 2)
		})
	}
}

// Guards against long-lived flows that can't be found after agents have joined, because their locations are announced to the
// directory agents of the moment when they opened.
func TestFlowIsFoundAfterAgentsJoined(t *testing.T) {
	const flows = 20
	for name, wait := range map[string]time.Duration{"at once": 0, "after the next announcement": 12 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f, callers := newFleet(2, 20)
			f.Run(time.Second)
			var all []*packettest.Caller
			for i := range flows {
				all = append(all, callers.Start(f, packettest.Key(i), through(f.Entries[0])))
				f.Run(60 * time.Millisecond)
			}
			for i := range 60 {
				f.AddAgent(packettest.Address(300+i), packettest.FirstService)
			}
			f.Run(time.Second)
			want := 1
			for waited := time.Duration(0); waited < wait; waited += 3 * time.Second {
				want++
				for _, c := range all {
					c.Request()
				}
				f.Run(3 * time.Second)
			}
			for _, c := range all {
				requireAnswered(t, f, c, want)
				c.NextEntry = through(f.Entries[1])
				c.Request()
				f.Run(60 * time.Millisecond)
			}
			f.Run(2 * time.Second)
			assertNoneLost(t, all, want+1)
		})
	}
}
