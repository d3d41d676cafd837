package flowserver_test

import (
	"net/http"
	"testing"

	"golang.org/x/sys/unix"

	"endiveflow.example/endiveflow/flowserver"
	"endiveflow.example/endiveflow/h3conn"
)

// BenchmarkHandshake measures what a new flow costs both ends in processor
// time; the caller is in the same process, so the server's part is less.
func BenchmarkHandshake(b *testing.B) {
	p := listen(b)
	start(b, flowserver.Config{Packets: p, Handler: http.NotFoundHandler()})
	begin := processorTime()
	for b.Loop() {
		c := dial(b, p.Addr(), h3conn.Config{})
		c.Close()
	}
	b.ReportMetric(float64(processorTime()-begin)/float64(b.N)/1000, "cpu-µs/flow")
}

// processorTime returns the processor time of the process in nanoseconds.
func processorTime() int64 {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}
