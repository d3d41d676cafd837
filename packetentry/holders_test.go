package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/packettest"
)

// maxOpenTime is the time from a caller's opening packet until its first answer that the test allows. It is below the time
// after which callers send their requests again, so that a flow that is lost and found later doesn't pass.
const maxOpenTime = 190 * time.Millisecond

// Guards against flows that two agents took, as the first answered an offer too late, and that are then searched for at
// all agents until the caller's deadline although the entry knew both.
func TestFlowOfferedTwiceIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, callers := newFleet(2, rapid.IntRange(6, 40).Draw(t, "agents"))
		slowUntil := f.Now() + 300*time.Millisecond
		late := rapid.Float64Range(0.1, 0.9).Draw(t, "late")
		limit := rapid.IntRange(35, 70).Draw(t, "limitMs")
		isEntry := func(ip uint32) bool { return ip < packettest.Address(100) }
		f.Delay = func(from, to uint32) time.Duration {
			if f.Now() > slowUntil || isEntry(from) == isEntry(to) || f.Random.Float64() > late {
				return 0
			}
			return time.Duration(f.Random.IntN(limit)) * time.Millisecond
		}
		var all []*packettest.Caller
		for i := range 20 {
			all = append(all, callers.Start(f, packettest.Key(i), through(f.Entries[i%2])))
			f.Run(10 * time.Millisecond)
		}
		f.Run(slowUntil - f.Now() + maxOpenTime)
		for i, c := range all {
			require.True(t, c.Open, "flow %d", i)
			requireAnswered(t, f, c, 1)
		}
		for _, moved := range []bool{false, true} {
			for i, c := range all {
				if moved {
					c.NextEntry = through(f.Entries[(i+1)%2])
				}
				c.Request()
			}
			f.Run(maxOpenTime)
			want := 2
			if moved {
				want = 3
			}
			for _, c := range all {
				requireAnswered(t, f, c, want)
			}
		}
	})
}
