package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

// grey is a load on hosts of which some fail a share of their requests at once,
// which makes them look idle.
type grey struct {
	random *rand.Rand
	hosts  []*placement.Host
	// fails is the share of requests that each host fails.
	fails []float64
	// target is the target of the route.
	target time.Duration
	now    time.Duration
	due    float64
	flows  int
	runs   []greyRun
}

type greyRun struct {
	ends   time.Duration
	at     int
	failed bool
	*placement.Request
}

// Figures of the played load: each host has greySlots slots, and a request takes greyWork.
const (
	greyHosts = 10
	greySlots = 2
	greyWork  = 30 * time.Millisecond
	// greyFail is the time after which a failing request is reset.
	greyFail = 3 * time.Millisecond
)

func newGrey(fails ...float64) *grey {
	g := &grey{random: rand.New(rand.NewPCG(3, 3)), fails: make([]float64, greyHosts), target: 150 * time.Millisecond}
	copy(g.fails, fails)
	for range greyHosts {
		g.hosts = append(g.hosts, placement.NewHost(placement.HostConfig{Slots: greySlots, ServiceTime: greyWork}))
	}
	return g
}

// play runs a load, a share of the capacity, for a time. It returns the number of flows given to each host, how many
// failed in all, and how many were refused.
func (g *grey) play(load float64, d time.Duration) (given []int, failed, refused int) {
	given = make([]int, greyHosts)
	for end := g.now + d; g.now < end; g.now += time.Millisecond {
		failed += g.finish()
		for i, h := range g.hosts {
			if g.now%time.Second == 0 {
				_, _ = h.Reassess(g.now)
			}
			for _, ok := h.Next(g.now); ok; _, ok = h.Next(g.now) {
				g.begin(i)
				given[i]++
			}
		}
		for g.due += load * greyHosts * greySlots * float64(time.Millisecond) / float64(greyWork); g.due >= 1; g.due-- {
			switch at, action := g.offer(); action {
			case placement.Take:
				g.begin(at)
				given[at]++
			case placement.Refuse:
				refused++
			}
		}
	}
	return given, failed, refused
}

func (g *grey) finish() (failed int) {
	kept := g.runs[:0]
	for _, r := range g.runs {
		switch {
		case r.ends > g.now:
			kept = append(kept, r)
		case r.failed:
			failed++
			g.hosts[r.at].Failed(r.Request, g.now)
		default:
			g.hosts[r.at].Answered(r.Request, g.now)
		}
	}
	g.runs = kept
	return failed
}

func (g *grey) begin(at int) {
	r := greyRun{at: at, ends: g.now + greyWork, failed: g.random.Float64() < g.fails[at], Request: g.hosts[at].Began(g.now, true, 0)}
	if r.failed {
		r.ends = g.now + greyFail
	}
	g.runs = append(g.runs, r)
}

// offer sends a flow to the hosts in the order that an entry would.
func (g *grey) offer() (at int, action placement.Action) {
	g.flows++
	candidates := make([]placement.Candidate, greyHosts)
	for i, h := range g.hosts {
		candidates[i] = placement.Candidate{IP: uint32(i), Near: true, Load: h.Load()}
	}
	var order [mesh.MaxCandidates]uint32
	count := placement.Order(flowKey(g.flows), candidates, &order)
	o := terms(0)
	o.Target = mesh.WaitOf(g.target)
	for {
		at = int(order[o.At])
		d := g.hosts[at].Decide(flowKey(g.flows), o, count, g.now)
		if d.Action != placement.Pass && d.Action != placement.Return {
			return at, d.Action
		}
		o = d.Terms
	}
}

// Guards against hosts whose checks are good and that fail part of their work: as
// they fail fast they look idle, and got more than their share. At most a tenth of the failures
// that an even spread has may be left: 2 of 10 hosts that fail 0.4 of their requests make 0.08.
func TestFaultyHostsAreAvoided(t *testing.T) {
	g := newGrey(0.4, 0.4)
	_, _, _ = g.play(0.6, time.Second)
	before := g.flows
	_, failed, refused := g.play(0.6, 10*time.Second)
	require.Zero(t, refused)
	require.LessOrEqual(t, float64(failed), 0.1*0.08*float64(g.flows-before))
}

// Guards against a host that stays out for ever after its fault has ended.
func TestHostThatIsWellAgainGetsItsShare(t *testing.T) {
	g := newGrey(0.4)
	_, _, _ = g.play(0.6, 5*time.Second)
	g.fails[0] = 0
	_, _, _ = g.play(0.6, 20*time.Second)
	before := g.flows
	given, _, _ := g.play(0.6, 5*time.Second)
	require.Greater(t, float64(given[0]), 0.5*float64(g.flows-before)/greyHosts)
}

// Guards against refusals because hosts are faulty: when many are, or when there is
// more load than the others can serve, a host that fails part of its work is better than none.
func TestFaultyHostsAreUsedWhenNeeded(t *testing.T) {
	t.Run("all are faulty", func(t *testing.T) {
		g := newGrey(0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4)
		_, _, refused := g.play(0.6, 5*time.Second)
		require.Zero(t, refused)
	})
	t.Run("all fail most requests of a route with a long target", func(t *testing.T) {
		g := newGrey(0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9)
		g.target = 2 * time.Second
		_, _, refused := g.play(0.6, 5*time.Second)
		require.Zero(t, refused)
	})
	t.Run("load above the capacity of the others", func(t *testing.T) {
		g := newGrey(0.2, 0.2)
		_, _, _ = g.play(0.9, time.Second)
		given, _, refused := g.play(0.9, 5*time.Second)
		require.Zero(t, refused)
		require.Positive(t, given[0])
	})
}

// Guards against a host that is blamed for callers that leave early.
func TestCallersThatLeaveEarlyAreNoFailures(t *testing.T) {
	h := placement.NewHost(placement.HostConfig{})
	now := time.Duration(0)
	for range 100 {
		r := h.Began(now, false, 0)
		now += 3 * placement.DefaultServiceTime
		h.Abandoned(r, now)
	}
	faulty, _ := h.Reassess(now)
	require.False(t, faulty)
	for range 10 {
		r := h.Began(now, false, 0)
		now += 2 * time.Second
		h.Abandoned(r, now)
	}
	faulty, _ = h.Reassess(now)
	require.True(t, faulty, "a host that leaves its callers waiting")
}
