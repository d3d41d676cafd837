package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packetagent"
	"endiveflow.example/endiveflow/packettest"
)

// Guards against flows whose host answered the opening packet after its agent had passed the offer on, so that two hosts have
// a copy of the flow. The caller opens the flow at the host whose answer comes first, and entries that join later have to
// find it there for as long as it is open.
func TestFlowOfLateHostIsFound(t *testing.T) {
	const (
		flows  = 20
		agents = 60
		// between is the time between the requests of a flow, below the idle timeout.
		between = 5 * time.Second
	)
	for name, test := range map[string]struct {
		delay time.Duration
		// age is the age at which the flows move to an entry that has no record of them.
		age time.Duration
	}{
		"timely answers, young flows": {packetagent.DefaultAnswerTimeout / 2, between},
		"timely answers, old flows":   {packetagent.DefaultAnswerTimeout / 2, 8 * between},
		"late answers, young flows":   {packetagent.DefaultAnswerTimeout + 5*time.Millisecond, between},
		"late answers, old flows":     {packetagent.DefaultAnswerTimeout + 5*time.Millisecond, 8 * between},
	} {
		t.Run(name, func(t *testing.T) {
			f, callers := newFleet(2, agents)
			f.Run(time.Second)
			for _, a := range f.Agents[:agents] {
				a.Host.AnswerDelay = test.delay
			}
			var all []*packettest.Caller
			for i := range flows {
				all = append(all, callers.Start(f, packettest.Key(i), through(f.Entries[0])))
				f.Run(300 * time.Millisecond)
			}
			want, opened := 1, f.Now()
			require.Equal(t, want, all[0].Answers)
			for f.Now()-opened < test.age {
				f.Run(between)
				want++
				for _, c := range all {
					c.Request()
				}
			}
			f.Run(time.Second)
			for i, c := range all {
				assert.Equal(t, want, c.Answers, "flow %d through the entry that placed it", i)
			}
			moved := misdelivered(f)
			for _, c := range all {
				c.NextEntry = through(f.Entries[1])
				c.Request()
				f.Run(200 * time.Millisecond)
			}
			f.Run(2 * time.Second)
			assertNoneLost(t, all, want+1)
			assert.Equal(t, moved, misdelivered(f), "packets of open flows reached other hosts")
		})
	}
}
