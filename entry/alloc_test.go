//go:build !race

// The race detector makes sync.Pool drop items at random, so allocations are
// counted without it.

package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An allocation on the forwarding path would cost each packet of the fleet.
func TestForwardingDoesNotAllocate(t *testing.T) {
	p := newBenchPath(t)
	require.Zero(t, testing.AllocsPerRun(1000, p.flow))
	require.Zero(t, testing.AllocsPerRun(1000, p.firstFlight))
	require.Zero(t, testing.AllocsPerRun(1000, p.answer))
	f, s := p.f, p.s
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		f.fromCaller(s, p.buf[:100], p.caller)
		f.fromAgent(p.buf[:100])
	}))
}
