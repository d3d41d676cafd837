package peer_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"endiveflow.example/endiveflow/peer"
)

// BenchmarkRequest measures requests of 100-byte answers over one connection,
// with both processes' sides in this one. It reports the quantiles of their latency.
func BenchmarkRequest(b *testing.B) {
	socket := listen(b, "127.0.0.1:0")
	answer := make([]byte, 100)
	startServer(b, socket, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	c := newClient(b, peer.ClientConfig{})
	for _, senders := range []int{1, 16} {
		b.Run(strconv.Itoa(senders)+"senders", func(b *testing.B) {
			var next atomic.Int64
			latencies := make([]time.Duration, b.N)
			var running sync.WaitGroup
			for range senders {
				running.Go(func() {
					for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
						begin := time.Now()
						if _, err := do(b.Context(), c, addrOf(socket), http.MethodPost, "/"); err != nil {
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
		})
	}
}
