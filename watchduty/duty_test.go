package watchduty_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/watchduty"
)

// fleet is a zone of entries that hear each other's reports, one entry reporting to three others each second.
type fleet struct {
	now    time.Duration
	duties []*watchduty.Duty
	down   []bool
	// storeDown reports whether the store answers an entry.
	storeDown func(entry int) bool
	calls     int
}

func newFleet(n int) *fleet {
	f := &fleet{down: make([]bool, n), storeDown: func(int) bool { return false }}
	var ips []uint32
	for i := range n {
		ips = append(ips, uint32(i+1))
	}
	for i := range n {
		others := slices.Delete(slices.Clone(ips), i, i+1)
		f.duties = append(f.duties, watchduty.New(watchduty.Config{
			IP: ips[i], Now: func() time.Duration { return f.now }, Peers: func() []uint32 { return others },
		}))
	}
	return f
}

// run plays a time span. Watches answer after 1.5 s.
func (f *fleet) run(span time.Duration) {
	const step = 250 * time.Millisecond
	for end := f.now + span; f.now < end; f.now += step {
		at := int(f.now / step)
		for i, d := range f.duties {
			if f.down[i] {
				continue
			}
			if (at+i)%6 == 0 && d.Watches() {
				f.calls++
				if !f.storeDown(i) {
					d.Answered(0)
				}
			}
			if age, known := d.Age(); known && (at+i)%4 == 0 {
				for k := range 3 {
					if to := (i*7 + at*13 + k*29 + 1) % len(f.duties); !f.down[to] {
						f.duties[to].Answered(age)
					}
				}
			}
		}
	}
}

func (f *fleet) watching() []int {
	var out []int
	for i, d := range f.duties {
		if !f.down[i] && d.Watches() {
			out = append(out, i)
		}
	}
	return out
}

func (f *fleet) requireFresh(t *testing.T, limit time.Duration) {
	t.Helper()
	for i, d := range f.duties {
		if f.down[i] {
			continue
		}
		age, known := d.Age()
		require.True(t, known)
		require.LessOrEqual(t, age, limit, "entry %d", i)
	}
}

// Guards against calls to the store that grow with the number of entries.
func TestFewEntriesWatch(t *testing.T) {
	f := newFleet(40)
	f.run(20 * time.Second)
	require.Len(t, f.watching(), watchduty.WatchersPerZone)
	f.calls = 0
	f.run(15 * time.Second)
	require.LessOrEqual(t, f.calls, 2*watchduty.WatchersPerZone*10)
	f.requireFresh(t, 4*time.Second)
}

// Guards against a fleet that gets no configuration any more because the entries that watch are down, cut off from the
// store or paused.
func TestOthersTakeOver(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet, watchers []int){
		"the watchers are down": func(f *fleet, watchers []int) {
			for _, i := range watchers {
				f.down[i] = true
			}
		},
		"the store answers none of the watchers": func(f *fleet, watchers []int) {
			f.storeDown = func(i int) bool { return slices.Contains(watchers, i) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(40)
			f.run(20 * time.Second)
			disturb(f, f.watching())
			f.run(6 * time.Second)
			for range 20 {
				f.run(time.Second)
				f.requireFresh(t, 6*time.Second)
			}
			require.Less(t, len(f.watching()), 20, "not all entries watch instead")
		})
	}
}

// Guards against an entry that watches on and on after an outage in which all entries had to.
func TestWatchersAfterOutage(t *testing.T) {
	f := newFleet(40)
	f.run(20 * time.Second)
	f.storeDown = func(int) bool { return true }
	f.run(20 * time.Second)
	require.Len(t, f.watching(), 40)
	f.storeDown = func(int) bool { return false }
	f.run(15 * time.Second)
	require.Len(t, f.watching(), watchduty.WatchersPerZone)
}

// Guards against an entry that waits for others at its start, when it knows none.
func TestFirstEntryWatches(t *testing.T) {
	d := watchduty.New(watchduty.Config{IP: 1, Now: func() time.Duration { return 0 }, Peers: func() []uint32 { return []uint32{2, 3, 4, 5} }})
	require.True(t, d.Watches())
}

// Guards against calls of each entry that starts, as after a rolling replacement: it doesn't know the others of its zone
// yet and holds itself for elected, although it has heard that the store answers.
func TestStartingEntryRelies(t *testing.T) {
	now := time.Duration(0)
	var peers []uint32
	d := watchduty.New(watchduty.Config{IP: 1, Now: func() time.Duration { return now }, Peers: func() []uint32 { return peers }})
	require.True(t, d.Watches())
	d.Answered(time.Second)
	require.False(t, d.Watches())
	now = 2 * time.Second
	require.True(t, d.Watches(), "it is the only entry")
}

// Guards against an entry that keeps an old configuration for longer than allowed, because it waits for an answer of the store to those that
// watch for it and are cut off, while it could reach the store itself.
func TestRelyingEntryAsksInTime(t *testing.T) {
	const inForce, poll = 3 * time.Second, 250 * time.Millisecond
	const entries = 5
	var ips []uint32
	for ip := range uint32(entries) {
		ips = append(ips, ip+1)
	}
	now, relying := time.Duration(0), 0
	for _, ip := range ips {
		now = 0
		d := watchduty.New(watchduty.Config{IP: ip, Now: func() time.Duration { return now }, Peers: func() []uint32 { return ips }})
		d.Answered(0)
		now = 10 * time.Second
		if d.Answered(0); d.Watches() {
			continue
		}
		relying++
		now += 1900 * time.Millisecond
		require.False(t, d.Watches(), "those that watch have time to answer")
		now += inForce - 1900*time.Millisecond - 2*poll
		require.True(t, d.Watches())
		d.Answered(0)
		require.False(t, d.Watches(), "one answer is enough")
	}
	require.Equal(t, entries-watchduty.WatchersPerZone, relying)
}
