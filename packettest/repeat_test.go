package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
)

// requireRepeats requires that a play yields the same datagrams each time, checked after each second.
func requireRepeats(t *testing.T, seconds int, play func() *packettest.Fleet) {
	t.Helper()
	digests := func() []uint64 {
		f, out := play(), make([]uint64, 0, seconds)
		for range seconds {
			f.Run(time.Second)
			out = append(out, f.Digest())
		}
		return out
	}
	want := digests()
	for range 3 {
		require.Equal(t, want, digests())
	}
}

// Guards against plays of one seed that differ, so that a comparison of two policies shows the difference of two runs.
func TestRunsOfOneSeedAreEqual(t *testing.T) {
	t.Run("rotation and load on narrow links", func(t *testing.T) {
		requireRepeats(t, 20, func() *packettest.Fleet {
			f := newUnevenFleet(1, true, wideLink, narrowLink, wideLink, narrowLink, wideLink)
			packettest.StartLoad(f, requests(constant(700)))
			f.After(14*time.Second, func() { f.Entries[0].Up = false })
			return f
		})
	})
	t.Run("loss of power beside long flows", func(t *testing.T) {
		requireRepeats(t, 8, func() *packettest.Fleet {
			f, all := newFleetWithLongFlows()
			f.PowerOff(time.Second)
			f.Run(2500 * time.Millisecond)
			for _, c := range all {
				c.Request()
			}
			return f
		})
	})
	t.Run("restarts, joins and lost datagrams", func(t *testing.T) {
		requireRepeats(t, 10, func() *packettest.Fleet {
			f := newUnevenFleet(1, true, wideLink, wideLink, wideLink)
			f.Drop = func(uint32, uint32) bool { return f.Random.IntN(50) == 0 }
			packettest.StartLoad(f, requests(constant(300)))
			for n, a := range f.Agents {
				f.After(time.Duration(n)*100*time.Millisecond, func() { f.StartAgent(a) })
			}
			f.After(3*time.Second, func() { f.AddAgent(packettest.Address(200), packettest.FirstService) })
			f.After(4*time.Second, func() { f.StartEntry(f.Entries[1]) })
			return f
		})
	})
}
