package flowid_test

import (
	"bytes"
	"crypto/aes"
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/testkit"
	_ "endiveflow.example/endiveflow/testseed"
)

func newCodec(t require.TestingT, ids ...uint8) *flowid.Codec {
	codec, err := flowid.New(flowid.Config{Ring: testkit.Ring(t, ids...)})
	require.NoError(t, err)
	return codec
}

func issue(t require.TestingT, c *flowid.Codec, p flowid.Place) []byte {
	id, err := c.NewGenerator(p).GenerateConnectionID()
	require.NoError(t, err)
	return id.Bytes()
}

func drawPlace(t *rapid.T) flowid.Place {
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
	return flowid.Place{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(t, "port")),
		Service:     config.ServiceTag(rapid.Uint32().Draw(t, "service")),
		Incarnation: rapid.Uint16().Draw(t, "incarnation"),
	}
}

// An ID must decode to its place during each step of a key rotation, when the agent and the entry are at
// two successive steps in either order.
func TestPlaceSurvivesRotation(t *testing.T) {
	steps := []*flowid.Codec{newCodec(t, 1), newCodec(t, 1, 2), newCodec(t, 2, 1), newCodec(t, 2)}
	rapid.Check(t, func(t *rapid.T) {
		place := drawPlace(t)
		step := rapid.IntRange(0, len(steps)-2).Draw(t, "step")
		agent, entry := steps[step], steps[step+1]
		if rapid.Bool().Draw(t, "entry first") {
			agent, entry = entry, agent
		}
		got, err := entry.Decode(issue(t, agent, place))
		require.NoError(t, err)
		require.Equal(t, place, got)
	})
}

// A modified or foreign ID must not decode to any agent.
func TestForeignIDIsRejected(t *testing.T) {
	codec := newCodec(t, 7)
	rapid.Check(t, func(t *rapid.T) {
		id := issue(t, codec, drawPlace(t))
		bit := rapid.IntRange(0, len(id)*8-1).Draw(t, "bit")
		id[bit/8] ^= 1 << (bit % 8)
		_, err := codec.Decode(id)
		require.Error(t, err)
	})
	_, err := newCodec(t, 8).Decode(issue(t, codec, flowid.Place{Agent: netip.MustParseAddrPort("10.0.0.1:1")}))
	require.ErrorIs(t, err, errors.NotFound)
	crafted := craft(t, 7, 0)
	_, err = codec.Decode(crafted)
	require.ErrorIs(t, err, errors.NotValid)
	_, err = codec.NewGenerator(flowid.Place{Agent: netip.MustParseAddrPort("[::1]:1")}).GenerateConnectionID()
	require.ErrorIs(t, err, errors.NotValid)
}

// craft returns an ID that is valid except for its check byte.
func craft(t *testing.T, keyID, check byte) []byte {
	key, err := testkit.Ring(t, keyID).Derive(keyID, fleetkey.PurposeConnectionID, "", 32)
	require.NoError(t, err)
	block, err := aes.NewCipher(key)
	require.NoError(t, err)
	id := make([]byte, flowid.ConnectionIDLen)
	id[0] = keyID
	block.Encrypt(id[4:], append(make([]byte, aes.BlockSize-1), check))
	return id
}

// Two flows of an agent must never share an ID. The test checks that the nonces alternate between odd and
// even. This shows that the multiplier is odd, and with an odd multiplier no nonce repeats within 2^24 IDs.
func TestGeneratorRepeatsNoID(t *testing.T) {
	generator := newCodec(t, 1).NewGenerator(flowid.Place{Agent: netip.MustParseAddrPort("10.0.0.1:1")})
	seen := make(map[[flowid.ConnectionIDLen]byte]bool)
	before := byte(0)
	for n := range 1000 {
		id, err := generator.GenerateConnectionID()
		require.NoError(t, err)
		seen[[flowid.ConnectionIDLen]byte(id.Bytes())] = true
		require.True(t, n == 0 || id.Bytes()[3]&1 != before&1)
		before = id.Bytes()[3]
	}
	require.Len(t, seen, 1000)
	require.Equal(t, flowid.ConnectionIDLen, generator.ConnectionIDLen())
}

// No input may cause a panic in the decoder, and a place has an agent address exactly when decoding
// succeeds.
func FuzzDecode(f *testing.F) {
	codec := newCodec(f, 1, 2)
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{1}, flowid.ConnectionIDLen))
	f.Add(issue(f, codec, flowid.Place{Agent: netip.MustParseAddrPort("10.0.0.1:1")}))
	f.Fuzz(func(t *testing.T, id []byte) {
		place, err := codec.Decode(id)
		require.Equal(t, err == nil, place.Agent.IsValid())
	})
}

func BenchmarkDecode(b *testing.B) {
	codec := newCodec(b, 1)
	id := issue(b, codec, flowid.Place{Agent: netip.MustParseAddrPort("10.0.0.1:1")})
	b.ReportAllocs()
	for b.Loop() {
		_, _ = codec.Decode(id)
	}
}
