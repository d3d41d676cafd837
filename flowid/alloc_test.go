//go:build !race

// The race detector makes sync.Pool drop items at random, so allocations are
// counted without it.

package flowid_test

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flowid"
)

// Decode must not allocate, because entries decode the ID of each packet.
func TestDecodeDoesNotAllocate(t *testing.T) {
	codec := newCodec(t, 1)
	id := issue(t, codec, flowid.Place{Agent: netip.MustParseAddrPort("10.0.0.1:1")})
	foreign := bytes.Repeat([]byte{1}, flowid.ConnectionIDLen)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		_, _ = codec.Decode(id)
		_, _ = codec.Decode(foreign)
	}))
}
