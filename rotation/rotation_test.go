package rotation_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/rotation"
	_ "endiveflow.example/endiveflow/testseed"
)

// Capacities of the entries of the deployments in docs/uneven-load.md.
var (
	wide   = rotation.Capacity(25e6, 800)
	middle = rotation.Capacity(2.875e6, 152)
	narrow = rotation.Capacity(1.25e6, 45)
)

// zone is a zone whose entries exchange their reports without delay.
type zone struct {
	members []rotation.Member
	// heard reports whether an entry receives the reports of another one.
	heard    func(from, by int) bool
	deciders []*rotation.Decider
	// changes is the number of departures and returns.
	changes int
	now     time.Duration
}

func newZone(capacities ...float64) *zone {
	z := &zone{heard: func(int, int) bool { return true }, now: 5 * time.Hour}
	for n, c := range capacities {
		z.members = append(z.members, rotation.Member{IP: uint32(n + 1), Capacity: c})
		z.deciders = append(z.deciders, new(rotation.Decider))
	}
	return z
}

// run lets all entries decide twice a second for a time.
func (z *zone) run(d time.Duration) {
	for end := z.now + d; z.now < end; z.now += 500 * time.Millisecond {
		for n := range z.members {
			z.decide(n)
		}
	}
}

func (z *zone) decide(n int) {
	if z.members[n].State == rotation.Unavailable {
		return
	}
	others := slices.Delete(slices.Clone(z.members), n, n+1)
	for i, m := range others {
		if !z.heard(int(m.IP)-1, n) {
			others[i].State, others[i].Load = rotation.Unavailable, 0
		}
	}
	state := rotation.Spare
	if z.deciders[n].Decide(z.members[n], others, z.now).InRotation {
		state = rotation.Active
	}
	if z.members[n].State != state {
		z.members[n].State = state
		z.changes++
	}
}

// stop stops an entry, start starts it anew.
func (z *zone) stop(n int) { z.members[n].State = rotation.Unavailable }
func (z *zone) start(n int) {
	z.members[n].State, z.deciders[n] = rotation.Active, new(rotation.Decider)
}

func (z *zone) setLoad(bytesPerSecond float64) {
	for n := range z.members {
		z.members[n].Load = bytesPerSecond / float64(len(z.members))
	}
}

func (z *zone) requireSpare(t require.TestingT, spare ...int) {
	var got []int
	for n, m := range z.members {
		if m.State == rotation.Spare {
			got = append(got, n)
		}
	}
	require.Equal(t, spare, got)
}

// settled is a time after which nothing is pending.
const settled = time.Minute

// Guards against a set of entries that sustains less than all, and against a zone in which less than half stay.
func TestDecision(t *testing.T) {
	for name, c := range map[string]struct {
		capacities []float64
		spare      []int
	}{
		"all equal":                          {[]float64{narrow, narrow, narrow, narrow}, nil},
		"one entry":                          {[]float64{narrow}, nil},
		"two entries":                        {[]float64{wide, narrow}, nil},
		"three wide, two narrow":             {[]float64{narrow, wide, narrow, wide, wide}, []int{0, 2}},
		"records: two wide, five narrow":     {[]float64{wide, wide, narrow, narrow, narrow, narrow, narrow}, nil},
		"till: two wide, middle, 3 narrow":   {[]float64{wide, wide, middle, narrow, narrow, narrow}, []int{3, 4, 5}},
		"till: two wide, middle, 2 narrow":   {[]float64{wide, wide, middle, narrow, narrow}, []int{3, 4}},
		"a little narrower":                  {[]float64{wide, wide, wide, 0.9 * wide}, nil},
		"an entry doesn't know its capacity": {[]float64{wide, wide, wide, narrow, 0}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZone(c.capacities...)
			z.run(settled)
			z.requireSpare(t, c.spare...)
			require.Equal(t, len(c.spare), z.changes)
		})
	}
}

// Guards against an entry that leaves before it knows the zone or on reports from before a pause, or that flaps, and against
// one that doesn't return.
func TestChangesOfTheZone(t *testing.T) {
	start := func() *zone {
		z := newZone(wide, wide, wide, narrow, narrow)
		z.run(9 * time.Second)
		z.requireSpare(t)
		z.run(settled)
		z.requireSpare(t, 3, 4)
		z.changes = 0
		return z
	}
	t.Run("planned stop of a wide entry", func(t *testing.T) {
		z := start()
		z.stop(0)
		z.run(500 * time.Millisecond)
		z.requireSpare(t)
		z.start(0)
		z.run(10 * time.Second)
		z.requireSpare(t)
		z.run(settled)
		z.requireSpare(t, 3, 4)
		require.Equal(t, 4, z.changes)
	})
	t.Run("rolling restart", func(t *testing.T) {
		z := start()
		for n := range z.members {
			z.stop(n)
			z.run(2 * time.Second)
			z.start(n)
			z.run(4 * time.Second)
		}
		require.LessOrEqual(t, z.changes, 2, "the narrow ones return once")
		z.run(2 * settled)
		z.requireSpare(t, 3, 4)
	})
	t.Run("a narrow entry restarts", func(t *testing.T) {
		z := start()
		z.stop(3)
		z.run(2 * time.Second)
		z.start(3)
		z.run(500 * time.Millisecond)
		z.requireSpare(t, 3, 4)
		require.Equal(t, 1, z.changes, "it starts as spare")
	})
	t.Run("wide entries lost at once", func(t *testing.T) {
		z := start()
		z.stop(0)
		z.stop(1)
		z.stop(2)
		z.run(500 * time.Millisecond)
		z.requireSpare(t)
	})
	t.Run("a zone cut in parts", func(t *testing.T) {
		z := start()
		part := []int{0, 0, 1, 0, 1}
		z.heard = func(from, by int) bool { return part[from] == part[by] }
		z.run(settled)
		z.requireSpare(t)
	})
	t.Run("pause of all processes", func(t *testing.T) {
		z := newZone(wide, wide, wide, narrow, narrow)
		z.run(9 * time.Second)
		z.now += time.Hour
		z.run(2900 * time.Millisecond)
		z.requireSpare(t)
	})
	t.Run("a chosen entry is spare itself", func(t *testing.T) {
		z := start()
		z.members[0].State = rotation.Spare
		z.decide(3)
		z.requireSpare(t, 0, 4)
	})
}

// Guards against a load that moves entries in and out.
func TestLoad(t *testing.T) {
	const afterLoss = 50e6
	z := newZone(wide, wide, wide, narrow, narrow)
	z.setLoad(0.8 * afterLoss)
	z.run(settled)
	z.requireSpare(t)
	z.setLoad(0.7 * afterLoss)
	z.run(settled)
	z.requireSpare(t, 3, 4)
	z.setLoad(0.99 * afterLoss)
	z.run(settled)
	z.requireSpare(t, 3, 4)
	z.changes = 0
	// The load swings within each second around the limit.
	for range 120 {
		z.setLoad(1.01 * afterLoss)
		z.run(500 * time.Millisecond)
		z.setLoad(0.5 * afterLoss)
		z.run(500 * time.Millisecond)
	}
	require.Equal(t, 2, z.changes)
	z.requireSpare(t)
}

// Guards against decisions that depend on the order of reports or on an entry's own place, and against a zone that is left
// with less than half of its entries or with less than all of them sustain.
func TestRandomZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities := rapid.SliceOfN(rapid.SampledFrom([]float64{wide, middle, narrow, wide / 2, 3 * narrow}), 1, 12).Draw(t, "capacities")
		z := newZone(capacities...)
		z.run(settled)
		var active []float64
		for n, m := range z.members {
			if m.State == rotation.Active {
				active = append(active, capacities[n])
			}
		}
		require.GreaterOrEqual(t, 2*len(active), len(capacities))
		require.GreaterOrEqual(t, float64(len(active))*slices.Min(active), float64(len(capacities))*slices.Min(capacities))
		others := rapid.Permutation(z.members[1:]).Draw(t, "others")
		z.now += time.Second
		require.Equal(t, z.members[0].State == rotation.Active, z.deciders[0].Decide(z.members[0], others, z.now).InRotation)
	})
}
