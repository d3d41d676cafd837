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

func upstreams(n int) []netip.AddrPort {
	out := make([]netip.AddrPort, n)
	for i := range out {
		out[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
	}
	return out
}

// record adds ten results for each upstream.
func record(d *outlier.Detector, addrs []netip.AddrPort, failed bool, latency time.Duration, now time.Time) {
	for _, a := range addrs {
		for range 10 {
			d.Record(outlier.Result{Addr: a, Failed: failed, Latency: latency}, now)
		}
	}
}

// Guards against trusting an endpoint that reports the upstream healthy while its requests fail, and
// against the reverse: an endpoint that lags 30 s and still reports a fault that is over.
func TestResultsTakePrecedenceOverHealthReports(t *testing.T) {
	all := upstreams(4)
	d := outlier.New(outlier.Config{})
	now := start
	record(d, all[1:], false, time.Millisecond, now)
	for i := range 5 {
		d.RecordHealth(outlier.HealthReport{Addr: all[0], Healthy: true}, now)
		require.False(t, d.Assess(all, now)[0].Unhealthy, "unhealthy after %d failures", i)
		d.Record(outlier.Result{Addr: all[0], Failed: true}, now)
	}
	v := d.Assess(all, now)[0]
	require.True(t, v.Ejected)
	require.Equal(t, outlier.ReasonConsecutiveFailures, v.Reason)

	weights := []int{}
	for _, after := range []time.Duration{5, 8, 11, 13} {
		now = start.Add(after * time.Second)
		d.RecordHealth(outlier.HealthReport{Addr: all[0], Healthy: false}, now)
		record(d, all, false, time.Millisecond, now)
		weights = append(weights, d.Assess(all, now)[0].Weight)
	}
	require.Equal(t, []int{25, 50, 75, 100}, weights, "slow start after the ejection, regardless of the health report")
	later := now.Add(2 * time.Minute)
	d.RecordHealth(outlier.HealthReport{Addr: all[0], Healthy: false}, later)
	require.Equal(t, outlier.ReasonReportedUnhealthy, d.Assess(all, later)[0].Reason, "without results the health report is used")
}

// Guards against using, at full weight, an upstream that fails every second request, or one that is much
// slower than the others.
func TestPartlyFailingAndSlowUpstreamsAreEjected(t *testing.T) {
	all := upstreams(7)
	d := outlier.New(outlier.Config{})
	record(d, all[2:], false, 10*time.Millisecond, start)
	record(d, all[1:2], false, 60*time.Millisecond, start)
	for i := range 12 {
		d.Record(outlier.Result{Addr: all[0], Failed: i%2 == 0, Latency: time.Millisecond}, start)
	}
	verdicts := d.Assess(all, start)
	require.Equal(t, outlier.ReasonFailedShare, verdicts[0].Reason)
	require.Equal(t, outlier.ReasonLatency, verdicts[1].Reason)
	require.True(t, verdicts[0].Ejected && verdicts[1].Ejected)
}

// Guards against a fault that leaves a service without usable upstreams: ejections beyond the configured
// share, or a service whose upstreams are all unhealthy and not used. Also guards against an unhealthy
// upstream at full weight while there are healthy ones.
func TestEjectionIsCapped(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.SampledFrom([]float64{0.1, 0.3, 0.5}).Draw(rt, "share")
		all := upstreams(rapid.IntRange(1, 12).Draw(rt, "hosts"))
		d := outlier.New(outlier.Config{MaxEjected: share})
		now := start
		for range rapid.IntRange(1, 20).Draw(rt, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
			bad := rapid.IntRange(0, len(all)).Draw(rt, "bad")
			record(d, all[:bad], true, 0, now)
			record(d, all[bad:], false, time.Millisecond, now)
			requireCapped(t, d.Assess(all, now), share)
		}
	})
}

func requireCapped(t *testing.T, verdicts []outlier.Verdict, share float64) {
	t.Helper()
	ejected, unhealthy := 0, 0
	for _, v := range verdicts {
		require.NotEmpty(t, v.Reason)
		require.Equal(t, v.Ejected, v.Weight == 0)
		if v.Ejected {
			ejected++
		}
		if v.Unhealthy {
			unhealthy++
		}
	}
	require.LessOrEqual(t, float64(ejected), share*float64(len(verdicts)))
	for _, v := range verdicts {
		switch {
		case unhealthy == len(verdicts):
			require.Equal(t, 100, v.Weight, "all are unhealthy, so all are used")
		case v.Unhealthy:
			require.LessOrEqual(t, v.Weight, 25)
		}
	}
}
