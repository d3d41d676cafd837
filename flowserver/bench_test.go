package flowserver_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"endiveflow.example/endiveflow/flowserver"
	"endiveflow.example/endiveflow/h3conn"
)

// BenchmarkRequest measures requests of 100-byte answers over 16 flows, with
// callers in the same process. It reports the quantiles of their latency.
func BenchmarkRequest(b *testing.B) {
	p := listen(b, "127.0.0.1:0")
	answer := make([]byte, 100)
	start(b, flowserver.Config{Packets: p, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(answer)
	})})
	for _, flows := range []int{1, 16} {
		b.Run(strconv.Itoa(flows)+"flows", func(b *testing.B) {
			conns := make([]*h3conn.Conn, flows)
			for i := range conns {
				conns[i] = dial(b, p.addr(), h3conn.Config{})
			}
			var next atomic.Int64
			latencies := make([]time.Duration, b.N)
			var senders sync.WaitGroup
			b.ResetTimer()
			for _, c := range conns {
				senders.Go(func() {
					for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
						begin := time.Now()
						if _, err := get(b.Context(), c, "/"); err != nil {
							b.Error(err)
							return
						}
						latencies[i] = time.Since(begin)
					}
				})
			}
			senders.Wait()
			b.StopTimer()
			slices.Sort(latencies)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
		})
	}
}
