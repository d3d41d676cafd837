package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/cost"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

// firsts returns how often each address is ordered first, of 8000 flows.
func firsts(route placement.RouteCost, candidates ...placement.Candidate) map[uint32]int {
	n := map[uint32]int{}
	var out [mesh.MaxCandidates]uint32
	for i := range 8000 {
		placement.OrderByCost(flowKey(i), route, append([]placement.Candidate(nil), candidates...), &out)
		n[out[0]]++
	}
	return n
}

func reporting(ip uint32, work, standing uint16, relative float64) placement.Candidate {
	return placement.Candidate{IP: ip, SameZone: true, RelativeCost: relative, Load: mesh.Load{Slots: 2, WorkMs: work, StandingMs: standing}}
}

// Guards against slow hosts that get as many flows as fast ones, and against a host with false values that gets them all.
func TestIdleHostsGetFlowsBySpeed(t *testing.T) {
	for _, long := range []bool{false, true} {
		n := firsts(placement.RouteCost{ServiceTime: 20 * time.Millisecond, LongFlows: long},
			reporting(1, 1, 0, 1/0.6), reporting(2, 1, 0, 1), reporting(3, 1, 0, 1/1.6), reporting(4, 1, 0, 0.001))
		require.InDelta(t, 8000*0.6/5.2, n[1], 150)
		require.InDelta(t, 8000*1.6/5.2, n[3], 150)
		require.InDelta(t, 8000*2/5.2, n[4], 150)
	}
}

// Guards against long flows placed by a moment's idleness, and short ones placed by the load of seconds.
func TestRanksDependOnTheKindOfFlow(t *testing.T) {
	idle, free := reporting(1, 1000, 1000, 1), reporting(2, 550, 400, 1)
	n := firsts(placement.RouteCost{ServiceTime: 20 * time.Millisecond, LongFlows: true}, idle, free)
	require.Greater(t, n[2], 6000)
	n = firsts(placement.RouteCost{ServiceTime: 20 * time.Millisecond}, idle, free)
	require.Greater(t, n[1], 7900)
}

// Guards against ranks by work and by busy slots that are compared with each other while versions are mixed.
func TestHostOfEarlierVersion(t *testing.T) {
	earlier := placement.Candidate{IP: 1, SameZone: true, Load: mesh.Load{Slots: 2}}
	busy := reporting(2, 1, 0, 1)
	busy.Load.Busy = 2
	require.Equal(t, 8000, firsts(placement.RouteCost{LongFlows: true}, earlier, busy)[1])
}

// Guards against a wait that counts each request as one of mean cost: a host with two heavy requests would look as free
// as one with two light ones.
func TestWaitCountsWork(t *testing.T) {
	load := func(took time.Duration) placement.Decision {
		h := placement.NewHost(placement.HostConfig{Slots: 2})
		c := cost.Class{Route: flowKey(int(took)).Service}
		c.Route.Port = uint16(took / time.Millisecond)
		for range 50 {
			h.RequestAnswered(h.ClassRequestArrived(c, 0, false, 0), took)
		}
		for range 2 {
			h.ClassRequestArrived(c, 0, false, 0)
		}
		return h.Decide(flowKey(1), terms(0), 2, 0)
	}
	light, heavy := load(4*time.Millisecond), load(80*time.Millisecond)
	require.InDelta(t, 8, light.Load.WorkMs, 1)
	require.InDelta(t, 160, heavy.Load.WorkMs, 5)
	require.Less(t, light.ExpectedLatency, heavy.ExpectedLatency)
}

// Guards against allocations for each decision: garbage collection pauses a slow VM.
func TestDecisionsDoNotAllocate(t *testing.T) {
	h := busyHost(8)
	h.FlowOpened(flowKey(1).Service, 0)
	o := terms(0)
	o.TypicalServiceTime = 20
	require.Zero(t, testing.AllocsPerRun(1000, func() { h.Decide(flowKey(1), o, 2, 0) }))
	candidates := make([]placement.Candidate, 48)
	for i := range candidates {
		candidates[i] = reporting(uint32(i), 30, 20, 1)
	}
	var out [mesh.MaxCandidates]uint32
	require.Zero(t, testing.AllocsPerRun(1000, func() { placement.OrderByCost(flowKey(1), placement.RouteCost{}, candidates, &out) }))
}
