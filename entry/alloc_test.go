//go:build !race

// The race detector makes sync.Pool drop items at random, so allocations are
// counted without it.

package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The forwarding path must not allocate, because it runs for each packet.
func TestForwardingDoesNotAllocate(t *testing.T) {
	p := newBenchPath(t)
	require.Zero(t, testing.AllocsPerRun(1000, p.flow))
	require.Zero(t, testing.AllocsPerRun(1000, p.firstFlight))
	require.Zero(t, testing.AllocsPerRun(1000, p.answer))
	f, s := p.f, p.s
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		f.handleCallerPacket(s, p.buf[:100], p.caller)
		f.handleAgentPacket(p.buf[:100])
	}))
}
