//go:build !race

// The race detector makes sync.Pool drop items at random, so allocations are
// counted without it.

package tunnel_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/testkit"
	"endiveflow.example/endiveflow/tunnel"
)

// The codec must not allocate, because it runs for each packet.
func TestCodecDoesNotAllocate(t *testing.T) {
	codec := newCodec(t, 1)
	packet := make([]byte, 1200)
	buf := make([]byte, 0, 1500)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		buf = codec.Append(buf[:0], sample, packet)
		_, _, _ = codec.Parse(buf)
		_, _, _ = codec.Parse(buf)
	}))
}

// The agent's reads and writes must not allocate either.
func TestConnDoesNotAllocate(t *testing.T) {
	conn, entry, codec := newConn(t, nil), listen(t), newCodec(t, 1)
	h := tunnel.Header{Kind: tunnel.KindFlow, Service: service, Incarnation: incarnation, Caller: caller}
	packet, buf := make([]byte, 1200), make([]byte, 0, 1500)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		buf = codec.Append(buf[:0], h, packet)
		_, _ = entry.WriteToUDPAddrPort(buf, testkit.AddrOf(conn))
		_, addr, _ := conn.ReadFrom(packet)
		_, _ = conn.WriteTo(packet, addr)
	}))
}
