package outlier_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/outlier"
	_ "endiveflow.example/endiveflow/testseed"
)

var start = time.Unix(1_800_000_000, 0)

func hosts(n int) []netip.AddrPort {
	out := make([]netip.AddrPort, n)
	for i := range out {
		out[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
	}
	return out
}

// record adds ten results of each host.
func record(j *outlier.Judge, addrs []netip.AddrPort, failed bool, latency time.Duration, now time.Time) {
	for _, a := range addrs {
		for range 10 {
			j.Record(outlier.Result{Target: a, Failed: failed, Latency: latency}, now)
		}
	}
}

// Guards against trust in an endpoint that claims health while the work fails, and against
// the reverse: an endpoint that lags 30 s and still claims a fault that is over.
func TestOwnResultsGoBeforeClaims(t *testing.T) {
	all := hosts(4)
	j := outlier.New(outlier.Config{})
	now := start
	record(j, all[1:], false, time.Millisecond, now)
	for i := range 5 {
		j.Claim(outlier.Claim{Target: all[0], Healthy: true}, now)
		require.False(t, j.Assess(all, now)[0].Bad, "bad after %d failures", i)
		j.Record(outlier.Result{Target: all[0], Failed: true}, now)
	}
	v := j.Assess(all, now)[0]
	require.True(t, v.Ejected)
	require.Equal(t, outlier.ReasonInRow, v.Reason)

	weights := []int{}
	for _, after := range []time.Duration{5, 8, 11, 13} {
		now = start.Add(after * time.Second)
		j.Claim(outlier.Claim{Target: all[0], Healthy: false}, now)
		record(j, all, false, time.Millisecond, now)
		weights = append(weights, j.Assess(all, now)[0].Weight)
	}
	require.Equal(t, []int{25, 50, 75, 100}, weights, "returns by slow start, whatever the claim says")
	later := now.Add(2 * time.Minute)
	j.Claim(outlier.Claim{Target: all[0], Healthy: false}, later)
	require.Equal(t, outlier.ReasonClaim, j.Assess(all, later)[0].Reason, "without results the claim counts")
}

// Guards against an upstream that fails half of its work in turns, or works far slower than the others.
func TestPartlyFailingAndSlowAreFound(t *testing.T) {
	all := hosts(7)
	j := outlier.New(outlier.Config{})
	record(j, all[2:], false, 10*time.Millisecond, start)
	record(j, all[1:2], false, 60*time.Millisecond, start)
	for i := range 12 {
		j.Record(outlier.Result{Target: all[0], Failed: i%2 == 0, Latency: time.Millisecond}, start)
	}
	verdicts := j.Assess(all, start)
	require.Equal(t, outlier.ReasonShare, verdicts[0].Reason)
	require.Equal(t, outlier.ReasonLatency, verdicts[1].Reason)
	require.True(t, verdicts[0].Ejected && verdicts[1].Ejected)
}

// Guards against a fault that empties a service: ejections beyond the share, an unusable
// service when all look bad, and a bad upstream at full weight beside good ones.
func TestEjectionIsCapped(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.SampledFrom([]float64{0.1, 0.3, 0.5}).Draw(rt, "share")
		all := hosts(rapid.IntRange(1, 12).Draw(rt, "hosts"))
		j := outlier.New(outlier.Config{MaxEjected: share})
		now := start
		for range rapid.IntRange(1, 20).Draw(rt, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
			bad := rapid.IntRange(0, len(all)).Draw(rt, "bad")
			record(j, all[:bad], true, 0, now)
			record(j, all[bad:], false, time.Millisecond, now)
			requireCapped(t, j.Assess(all, now), share)
		}
	})
}

func requireCapped(t *testing.T, verdicts []outlier.Verdict, share float64) {
	t.Helper()
	ejected, bad := 0, 0
	for _, v := range verdicts {
		require.NotEmpty(t, v.Reason)
		require.Equal(t, v.Ejected, v.Weight == 0)
		if v.Ejected {
			ejected++
		}
		if v.Bad {
			bad++
		}
	}
	require.LessOrEqual(t, float64(ejected), share*float64(len(verdicts)))
	for _, v := range verdicts {
		switch {
		case bad == len(verdicts):
			require.Equal(t, 100, v.Weight, "all look bad, so all are used")
		case v.Bad:
			require.LessOrEqual(t, v.Weight, 25)
		}
	}
}
