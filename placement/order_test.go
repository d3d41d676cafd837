package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

func flowKey(n int) flow.Key {
	return flow.Key{Caller: flow.Endpoint{IP: 1, Port: uint16(n)}, Service: flow.Endpoint{IP: 2, Port: 443}}
}

// flowNumber returns the n that flowKey was called with.
func flowNumber(k flow.Key) int { return int(k.Caller.Port) }

// Guards against entries that all choose the same agent first when many are idle.
func TestOrderSpreads(t *testing.T) {
	first := map[uint32]int{}
	for i := range 4800 {
		var all []placement.Candidate
		for ip := range uint32(48) {
			all = append(all, placement.Candidate{IP: ip + 1, Load: mesh.Load{Slots: 3}, LoadAge: time.Second})
		}
		var out [mesh.MaxCandidates]uint32
		require.EqualValues(t, mesh.MaxCandidates, placement.Order(flowKey(i), all, &out))
		seen := map[uint32]bool{}
		for _, ip := range out {
			require.False(t, seen[ip])
			seen[ip] = true
		}
		first[out[0]]++
	}
	require.Len(t, first, 48)
	for ip, n := range first {
		require.InDelta(t, 100, n, 50, "agent %d", ip)
	}
}

// Guards against agents that are offered a flow first although they were busy a moment ago.
func TestOrderByLoad(t *testing.T) {
	var out [mesh.MaxCandidates]uint32
	for i := range 100 {
		all := []placement.Candidate{
			{IP: 1, Load: mesh.Load{Busy: 4, Slots: 4}},
			{IP: 2, Load: mesh.Load{Busy: 1, Slots: 4}},
			{IP: 3, Load: mesh.Load{Busy: 0, Slots: 4}, OffersSinceLoad: 3},
			{IP: 4, Load: mesh.Load{Busy: 4, Slots: 4}, LoadAge: time.Minute, WarmingUp: true},
		}
		require.EqualValues(t, 4, placement.Order(flowKey(i), all, &out))
		require.Equal(t, uint32(1), out[3])
		require.NotEqual(t, uint32(3), out[0])
	}
}
