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

func flow(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func drawCandidates(t *rapid.T, least int) []route.Candidate {
	weights := rapid.SliceOfN(rapid.Uint8Range(1, member.FullWeight), least, 20).Draw(t, "weights")
	all := make([]route.Candidate, len(weights))
	for i, w := range weights {
		all[i] = candidate(i, w)
	}
	return all
}

// Flows whose agent stays must not move when another agent leaves or, seen the
// other way round, comes. The flows of one that leaves go to the second
// candidate, to which the agent itself passes them on.
func TestOnlyFlowsOfTheChangedAgentMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t, 2)
		with := route.NewTable(all)
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		without := route.NewTable(slices.Delete(slices.Clone(all), gone, gone+1))
		for n := range uint64(50) {
			first, second, ok := with.Choose(flow(n))
			require.True(t, ok)
			require.NotEqual(t, first, second)
			after, _, _ := without.Choose(flow(n))
			if first == all[gone] {
				require.Equal(t, second, after)
			} else {
				require.Equal(t, first, after)
			}
		}
	})
}

// Entries list the same agents in different orders and must still agree; an
// agent without weight gets no flow.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t, 1)
		mixed := rapid.Permutation(append(slices.Clone(all), candidate(999, 0))).Draw(t, "mixed")
		a, b := route.NewTable(all), route.NewTable(mixed)
		require.Equal(t, a.Len(), b.Len())
		for n := range uint64(50) {
			first, second, _ := a.Choose(flow(n))
			otherFirst, otherSecond, _ := b.Choose(flow(n))
			require.Equal(t, first, otherFirst)
			require.Equal(t, second, otherSecond)
		}
	})
}

// A cold agent must get the share of its weight and no more. The bound is five
// standard deviations of a fair draw.
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
		first, _, _ := table.Choose(flow(n))
		got[first.ID]++
	}
	for _, c := range all {
		share := float64(c.Weight) / total
		deviation := math.Sqrt(flows * share * (1 - share))
		require.InDelta(t, flows*share, got[c.ID], 5*deviation, "weight %d", c.Weight)
	}
}

func TestSmallTables(t *testing.T) {
	_, _, ok := route.Table{}.Choose(flow(1))
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
