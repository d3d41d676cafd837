package flowserver_test

import (
	"net/http"
	"testing"

	"golang.org/x/sys/unix"

	"endiveflow.example/endiveflow/flowserver"
	"endiveflow.example/endiveflow/h3conn"
)

// BenchmarkHandshake measures the CPU time of a new flow. The caller is in the same process, so the result
// includes both ends and the server's share is less.
func BenchmarkHandshake(b *testing.B) {
	p := listen(b)
	start(b, flowserver.Config{PacketConn: p, Handler: http.NotFoundHandler()})
	begin := processorTime()
	for b.Loop() {
		c := dial(b, p.Addr(), h3conn.Config{})
		c.Close()
	}
	b.ReportMetric(float64(processorTime()-begin)/float64(b.N)/1000, "cpu-µs/flow")
}

// processorTime returns the CPU time of the process in nanoseconds.
func processorTime() int64 {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}
