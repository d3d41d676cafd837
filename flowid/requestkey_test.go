package flowid_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/testkit"
)

func newKeyCodec(t require.TestingT, ids ...uint8) *flowid.KeyCodec {
	codec, err := flowid.NewKeyCodec(flowid.Config{Ring: testkit.Ring(t, ids...)})
	require.NoError(t, err)
	return codec
}

// A key that is modified in transit must be rejected. If it named another home or request, a request could
// run twice.
func TestRequestKey(t *testing.T) {
	issuer, reader := newKeyCodec(t, 1, 2), newKeyCodec(t, 2, 1)
	rapid.Check(t, func(t *rapid.T) {
		place := drawPlace(t)
		key := flowid.RequestKey{
			Home:        netip.AddrPortFrom(netip.MustParseAddr("10.0.0.9"), place.Agent.Port()),
			Service:     place.Service,
			Incarnation: member.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			Sequence:    rapid.Uint64().Draw(t, "sequence"),
			Issued:      time.UnixMilli(rapid.Int64Range(0, 1<<48).Draw(t, "issued")),
		}
		text := issuer.Issue(key)
		require.Len(t, text, flowid.RequestKeyLen)
		got, err := reader.Parse(text)
		require.NoError(t, err)
		require.Equal(t, key, got)

		changed := []byte(text)
		at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		changed[at] = rapid.ByteRange('0', 'z').Filter(func(b byte) bool { return b != text[at] }).Draw(t, "to")
		_, err = reader.Parse(string(changed))
		require.Error(t, err)
	})
}

// No input may cause a panic in the parser. An accepted key must have an IPv4 home and, because each key has
// only one text, the fixed length.
func FuzzParseKey(f *testing.F) {
	codec := newKeyCodec(f, 1)
	f.Add("")
	f.Add(codec.Issue(flowid.RequestKey{Home: netip.MustParseAddrPort("10.0.0.9:1"), Issued: time.UnixMilli(1)}))
	f.Add(codec.Issue(flowid.RequestKey{}))
	f.Fuzz(func(t *testing.T, text string) {
		if key, err := codec.Parse(text); err == nil {
			require.True(t, key.Home.Addr().Is4())
			require.Len(t, text, flowid.RequestKeyLen)
		}
	})
}
