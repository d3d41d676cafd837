package packettest_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
)

// newUnevenFleet returns a fleet of one availability zone with links and shares of a core of its own for each entry.
// If the entries don't know their shares, all stay in rotation.
func newUnevenFleet(seed uint64, knowShares bool, linkBytesPerSecond ...float64) *packettest.Fleet {
	f := packettest.NewFleet(seed)
	f.CPUShares = make(map[uint32]float64)
	for n, link := range linkBytesPerSecond {
		ip := packettest.Address(1 + n)
		f.Links[ip] = &packettest.Link{BytesPerSecond: link, MaxDelay: 100 * time.Millisecond}
		if knowShares {
			f.CPUShares[ip] = 0.8
		}
		f.AddEntry(ip)
	}
	for n := range 35 {
		h := f.AddAgent(packettest.Address(100+n), packettest.FirstService).Host
		h.Slots, h.WorkTime, h.WorkSpread = 2, 14*time.Millisecond, 10*time.Millisecond
	}
	f.Run(2 * time.Second)
	return f
}

// Capacities of the links of entries, a tenth of those in docs/uneven-load.md.
const wideLink, narrowLink = 2.5e6, 1.25e5

func requireInRotation(t *testing.T, f *packettest.Fleet, l *packettest.Load, want ...int) {
	t.Helper()
	for n, e := range f.Entries {
		require.Equal(t, slices.Contains(want, n), l.InRotation(e), "entry %d", n)
	}
}

// Guards against narrow entries that limit what a zone carries: they get the same share of the flows as wide ones.
func TestNarrowEntriesLeaveTheRotation(t *testing.T) {
	play := func(knowShares bool) (share float64) {
		f := newUnevenFleet(1, knowShares, wideLink, narrowLink, wideLink, narrowLink, wideLink)
		l := packettest.StartLoad(f, requests(constant(700)))
		f.Run(18 * time.Second)
		if knowShares {
			requireInRotation(t, f, l, 0, 2, 4)
		}
		f.Run(5 * time.Second)
		require.Empty(t, f.Violations)
		share, _ = l.Share(18*time.Second, 23*time.Second)
		return share
	}
	require.Less(t, play(false), 0.95, "the load is above what the narrow entries carry")
	require.GreaterOrEqual(t, play(true), 0.99)
}

// Guards against narrow entries that stay or return because they take wide ones for silent, whose messages their own full links
// lose. The seeds are those of 200 with which one stayed.
func TestFullEntriesLeaveTheRotation(t *testing.T) {
	for _, seed := range []uint64{6, 17, 61, 67, 77, 96, 120, 121, 126, 127, 176, 182} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			f := newUnevenFleet(seed, true, wideLink, narrowLink, wideLink, narrowLink, wideLink)
			l := packettest.StartLoad(f, requests(constant(700)))
			f.Run(16 * time.Second)
			requireInRotation(t, f, l, 0, 2, 4)
		})
	}
}

// Guards against a zone that routers use as a whole, the stopped entry included, because the spare entries return too late.
func TestSpareEntriesReturn(t *testing.T) {
	startAt := func(perSecond float64) (*packettest.Fleet, *packettest.Load) {
		f := newUnevenFleet(1, true, wideLink, narrowLink, wideLink, narrowLink, wideLink)
		l := packettest.StartLoad(f, requests(constant(perSecond)))
		f.Run(16 * time.Second)
		requireInRotation(t, f, l, 0, 2, 4)
		return f, l
	}
	start := func() (*packettest.Fleet, *packettest.Load) { return startAt(200) }
	t.Run("planned stop", func(t *testing.T) {
		f, l := start()
		f.Entries[0].Stop()
		f.Run(100 * time.Millisecond)
		for _, n := range []int{1, 3} {
			ready, why := f.Entries[n].Ready()
			require.True(t, ready, why)
		}
		f.Run(1500 * time.Millisecond)
		requireInRotation(t, f, l, 1, 2, 3, 4)
	})
	t.Run("crash", func(t *testing.T) {
		f, l := start()
		f.Entries[0].Up = false
		f.Run(4500 * time.Millisecond)
		requireInRotation(t, f, l, 1, 2, 3, 4)
	})
	t.Run("crash under a load that fills the spare entries", func(t *testing.T) {
		f, l := startAt(330)
		f.Entries[0].Up = false
		f.Run(4500 * time.Millisecond)
		requireInRotation(t, f, l, 1, 2, 3, 4)
	})
	t.Run("lost datagrams", func(t *testing.T) {
		f, l := start()
		f.Drop = func(uint32, uint32) bool { return f.Random.IntN(50) == 0 }
		for range 60 {
			f.Run(time.Second)
			requireInRotation(t, f, l, 0, 2, 4)
		}
	})
}
