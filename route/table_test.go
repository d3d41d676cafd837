package route_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/route"
	_ "endiveflow.example/endiveflow/testseed"
)

func candidate(n int, weight uint8) route.Candidate {
	tunnel := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 4000)
	return route.Candidate{ID: member.IDOf(member.RoleAgent, tunnel), Tunnel: tunnel, Weight: weight}
}

func candidates(n int, weight uint8) []route.Candidate {
	all := make([]route.Candidate, n)
	for i := range all {
		all[i] = candidate(i, weight)
	}
	return all
}

func flowID(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func drawCandidates(t *rapid.T, least int) []route.Candidate {
	weights := rapid.SliceOfN(rapid.Uint8Range(1, member.FullWeight), least, 20).Draw(t, "weights")
	all := make([]route.Candidate, len(weights))
	for i, w := range weights {
		all[i] = candidate(i, w)
	}
	return all
}

// Guards against flows of other agents that move when an agent is removed or, conversely, added. The flows of a
// removed agent must move to their second choice, as this is where the agent itself forwards them.
func TestOnlyFlowsOfTheChangedAgentMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t, 2)
		with := route.NewTable(all)
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "removed")
		without := route.NewTable(slices.Delete(slices.Clone(all), removed, removed+1))
		for n := range uint64(50) {
			first, second, ok := with.Choose(flowID(n))
			require.True(t, ok)
			require.NotEqual(t, first, second)
			after, _, _ := without.Choose(flowID(n))
			if first == all[removed] {
				require.Equal(t, second, after)
			} else {
				require.Equal(t, first, after)
			}
		}
	})
}

// Guards against entries that list the same agents in different orders and choose different ones, and against
// flows for an agent of weight 0.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t, 1)
		shuffled := rapid.Permutation(append(slices.Clone(all), candidate(999, 0))).Draw(t, "shuffled")
		a, b := route.NewTable(all), route.NewTable(shuffled)
		require.Equal(t, a.Len(), b.Len())
		for n := range uint64(50) {
			first, second, _ := a.Choose(flowID(n))
			otherFirst, otherSecond, _ := b.Choose(flowID(n))
			require.Equal(t, first, otherFirst)
			require.Equal(t, second, otherSecond)
		}
	})
}

// Guards against an agent that gets more or less than the share of its weight, such as one that is warming
// up. The tolerance is five standard deviations of a fair draw.
func TestSharesFollowWeights(t *testing.T) {
	const flows = 100_000
	all := []route.Candidate{candidate(1, 25), candidate(2, 50), candidate(3, 100), candidate(4, 100), candidate(5, 1)}
	total := 0.0
	for _, c := range all {
		total += float64(c.Weight)
	}
	table := route.NewTable(all)
	got := make(map[member.ID]float64)
	for n := range uint64(flows) {
		first, _, _ := table.Choose(flowID(n))
		got[first.ID]++
	}
	for _, c := range all {
		share := float64(c.Weight) / total
		deviation := math.Sqrt(flows * share * (1 - share))
		require.InDelta(t, flows*share, got[c.ID], 5*deviation, "weight %d", c.Weight)
	}
}

func TestSmallTables(t *testing.T) {
	_, _, ok := route.Table{}.Choose(flowID(1))
	require.False(t, ok)
	first, second, ok := route.NewTable(candidates(1, 1)).Choose(nil)
	require.True(t, ok)
	require.Equal(t, candidate(0, 1), first)
	require.Zero(t, second)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			table := route.NewTable(candidates(n, member.FullWeight))
			random := rand.New(rand.NewPCG(1, 2))
			id := make([]byte, 8)
			b.ReportAllocs()
			for b.Loop() {
				binary.BigEndian.PutUint64(id, random.Uint64())
				_, _, _ = table.Choose(id)
			}
		})
	}
}
