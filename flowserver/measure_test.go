//go:build measure

package flowserver_test

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flowserver"
	"endiveflow.example/endiveflow/h3conn"
	"endiveflow.example/endiveflow/testkit"
)

// The measurement of open flows uses two processes, so that only the agent's side is measured. Both read
// the number of flows from FLOWS and the server's address from ADDRESS; the server reads the keepalive from
// KEEPALIVE:
//
//	FLOWS=500 ADDRESS=127.0.0.1:45871 KEEPALIVE=20s go test -tags measure -count 1 -v -run TestMeasureServer ./flowserver &
//	FLOWS=500 ADDRESS=127.0.0.1:45871 go test -tags measure -count 1 -run TestMeasureCallers ./flowserver

const (
	settleTime  = 5 * time.Second
	measureTime = 20 * time.Second
)

func settings(t *testing.T) (flows int, address netip.AddrPort) {
	t.Helper()
	flows, err := strconv.Atoi(os.Getenv("FLOWS"))
	require.NoError(t, err)
	address, err = netip.ParseAddrPort(os.Getenv("ADDRESS"))
	require.NoError(t, err)
	return flows, address
}

// TestMeasureServer prints the memory and CPU time used by open idle flows.
func TestMeasureServer(t *testing.T) {
	flows, address := settings(t)
	keepAlive, err := time.ParseDuration(os.Getenv("KEEPALIVE"))
	require.NoError(t, err)
	s := start(t, flowserver.Config{
		PacketConn: testkit.ListenLossy(t, address.String()),
		KeepAlive:  keepAlive,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "ok")
		}),
	})
	before := residentKB(t)
	require.Eventually(t, func() bool { return s.Flows() == flows }, time.Minute, 10*time.Millisecond)
	time.Sleep(settleTime)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	resident := residentKB(t)
	t.Logf("flows %d: resident %d KB, %d KB before the flows, heap in use %d KB, stacks %d KB, goroutines %d",
		flows, resident, before, m.HeapInuse/1024, m.StackInuse/1024, runtime.NumGoroutine())
	cpu := cpuTime(t)
	time.Sleep(measureTime)
	used := cpuTime(t) - cpu
	t.Logf("keepalive %s: CPU %s in %s, %.2f µs per flow and second",
		keepAlive, used, measureTime, float64(used.Microseconds())/measureTime.Seconds()/float64(flows))
	require.Equal(t, flows, s.Flows())
}

// TestMeasureCallers opens the flows, sends one request on each and keeps them open until the server closes
// them.
func TestMeasureCallers(t *testing.T) {
	flows, address := settings(t)
	conns := make([]*h3conn.Conn, flows)
	for i := range conns {
		conns[i] = dial(t, address, h3conn.Config{KeepAlive: -1, IdleTimeout: time.Minute})
		_, err := get(t.Context(), conns[i], "/")
		require.NoError(t, err)
	}
	for _, c := range conns {
		<-c.Ended()
	}
}

func residentKB(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile("/proc/self/statm")
	require.NoError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	require.NoError(t, err)
	return pages * os.Getpagesize() / 1024
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
