package flowserver_test

import (
	"net/http"
	"strconv"
	"testing"

	"endiveflow.example/endiveflow/flowserver"
	"endiveflow.example/endiveflow/h3conn"
	"endiveflow.example/endiveflow/testkit"
)

// BenchmarkRequest measures requests with answers of 100 bytes over 1 and 16 flows, with callers in the
// same process. It reports quantiles of the latency.
func BenchmarkRequest(b *testing.B) {
	p := listen(b)
	answer := make([]byte, 100)
	start(b, flowserver.Config{PacketConn: p, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(answer)
	})})
	for _, flows := range []int{1, 16} {
		b.Run(strconv.Itoa(flows)+"flows", func(b *testing.B) {
			conns := make([]*h3conn.Conn, flows)
			for i := range conns {
				conns[i] = dial(b, p.Addr(), h3conn.Config{})
			}
			testkit.ReportLatency(b, flows, func(sender int) error {
				_, err := get(b.Context(), conns[sender], "/")
				return err
			})
		})
	}
}
