package testkit

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// ReportLatency sends b.N requests from a number of concurrent senders, and reports their rate and latency
// quantiles. send receives the index of the sender.
func ReportLatency(b *testing.B, senders int, send func(sender int) error) {
	var next atomic.Int64
	latencies := make([]time.Duration, b.N)
	var running sync.WaitGroup
	b.ResetTimer()
	for s := range senders {
		running.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				begin := time.Now()
				if err := send(s); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = time.Since(begin)
			}
		})
	}
	running.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
}
