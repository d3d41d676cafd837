package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
	_ "endiveflow.example/endiveflow/testseed"
)

func terms(current uint8) mesh.Terms {
	return mesh.Terms{Current: current, Best: mesh.NoCandidate, TargetLatency: mesh.MillisOf(150 * time.Millisecond)}
}

// busyHost returns a host with 4 slots and n requests of the default service time, 30 ms.
func busyHost(n int) *placement.Host {
	h := placement.NewHost(placement.HostConfig{Slots: 4})
	for range n {
		h.RequestArrived(0, false, 0)
	}
	return h
}

// routeOffer sends an offer through hosts as agents do, and returns the host that took it (-1 for none) and
// the number of visits.
func routeOffer(t require.TestingT, hosts []*placement.Host, o mesh.Terms) (taken int, visits int) {
	for visits = 1; visits <= len(hosts)+1; visits++ {
		at := int(o.Current)
		d := hosts[at].Decide(flowKey(1), o, uint8(len(hosts)), 0)
		switch d.Action {
		case placement.Take, placement.Hold:
			return at, visits
		case placement.Refuse:
			return -1, visits
		default:
			o = d.Terms
		}
	}
	require.FailNow(t, "offer did not terminate")
	return -1, visits
}

// Guards against a flow that queues at one host while another has a free slot.
func TestFreeSlotIsFound(t *testing.T) {
	hosts := []*placement.Host{busyHost(4), busyHost(9), busyHost(3)}
	taken, _ := routeOffer(t, hosts, terms(0))
	require.Equal(t, 2, taken)
	require.EqualValues(t, 4, hosts[2].Load(0).Busy)
}

// Guards against a flow that queues at a host other than the one with the shortest wait.
func TestShortestQueue(t *testing.T) {
	hosts := []*placement.Host{busyHost(6), busyHost(4), busyHost(5)}
	taken, visits := routeOffer(t, hosts, terms(0))
	require.Equal(t, 1, taken)
	require.Equal(t, 4, visits)
}

// Guards against flows that are held although their callers give up before a slot becomes free, and against
// refusals while there is time.
func TestRefusalBeyondHoldLimit(t *testing.T) {
	// The hosts have 4 slots.
	tooBusy := 4 + 4*int(placement.DefaultHoldLimit/placement.DefaultServiceTime)
	hosts := []*placement.Host{busyHost(tooBusy), busyHost(tooBusy + 10)}
	taken, _ := routeOffer(t, hosts, terms(0))
	require.Equal(t, -1, taken)
	hosts = append(hosts, busyHost(tooBusy-8))
	taken, _ = routeOffer(t, hosts, terms(0))
	require.Equal(t, 2, taken)
}

// Guards against new flows for a host that is draining or down, even if it was the best candidate before it
// closed.
func TestClosedHost(t *testing.T) {
	closed := busyHost(0)
	closed.SetOpen(false)
	taken, _ := routeOffer(t, []*placement.Host{closed, busyHost(6)}, terms(0))
	require.Equal(t, 1, taken)
	taken, _ = routeOffer(t, []*placement.Host{closed, closed}, terms(0))
	require.Equal(t, -1, taken)
	must := terms(0)
	must.MustTake = true
	require.Equal(t, placement.Refuse, closed.Decide(flowKey(1), must, 1, 0).Action)
}

// Guards against a slow host that takes flows while others are free.
func TestSlowHost(t *testing.T) {
	slow := busyHost(1)
	for range 100 {
		slow.RequestAnswered(slow.RequestArrived(0, false, 0), 300*time.Millisecond)
	}
	o := terms(0)
	o.TypicalServiceTime = mesh.MillisOf(30 * time.Millisecond)
	taken, _ := routeOffer(t, []*placement.Host{slow, busyHost(2)}, o)
	require.Equal(t, 1, taken)
	taken, _ = routeOffer(t, []*placement.Host{slow, busyHost(6)}, o)
	require.Equal(t, 1, taken, "a short queue at a fast host beats a free slot at a slow one")
}

// Guards against an offer that visits agents endlessly, and against a busy count that differs from the number
// of flows taken.
func TestOffersTerminate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []*placement.Host
		before := 0
		for range rapid.IntRange(1, mesh.MaxCandidates).Draw(t, "hosts") {
			n := rapid.IntRange(0, 20).Draw(t, "busy")
			before += n
			h := busyHost(n)
			h.SetOpen(rapid.Bool().Draw(t, "open"))
			hosts = append(hosts, h)
		}
		taken, visits := routeOffer(t, hosts, terms(0))
		require.LessOrEqual(t, visits, len(hosts)+1)
		after := 0
		for _, h := range hosts {
			after += int(h.Load(0).Busy)
		}
		if taken >= 0 {
			before++
			require.True(t, hosts[taken].Load(0).Open)
		}
		require.Equal(t, before, after)
	})
}

// Guards against a mean service time that includes the time in the host's queue: a loaded host would look
// slow, and its flows would be refused or sent to others.
func TestServiceTimeExcludesQueueing(t *testing.T) {
	h := placement.NewHost(placement.HostConfig{Slots: 1})
	now := time.Duration(0)
	var waiting []*placement.Request
	for range 200 {
		waiting = append(waiting, h.RequestArrived(now, false, 0))
		if len(waiting) == 10 {
			now += 20 * time.Millisecond
			h.RequestAnswered(waiting[0], now)
			waiting = waiting[1:]
		}
	}
	require.Equal(t, mesh.MillisOf(20*time.Millisecond), h.Load(0).ServiceTime)
}

// Guards against an offer that circulates endlessly between hosts that have closed since it was sent.
func TestRestartWithoutTerminates(t *testing.T) {
	m := mesh.Message{Candidates: [mesh.MaxCandidates]uint32{1, 2, 3}, Count: 3}
	m.Terms.MustTake = true
	require.True(t, placement.RestartWithout(&m, 2))
	require.Equal(t, []uint32{1, 3}, m.Candidates[:m.Count])
	require.False(t, m.Terms.MustTake)
	require.True(t, placement.RestartWithout(&m, 9))
	require.False(t, placement.RestartWithout(&m, 1))
}
