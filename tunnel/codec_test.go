package tunnel_test

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/testkit"
	_ "endiveflow.example/endiveflow/testseed"
	"endiveflow.example/endiveflow/tunnel"
)

func newCodec(t require.TestingT, ids ...uint8) *tunnel.Codec {
	codec, err := tunnel.NewCodec(testkit.Ring(t, ids...))
	require.NoError(t, err)
	return codec
}

var sample = tunnel.Header{
	Kind:          tunnel.KindFirstFlight,
	Service:       0xdeadbeef,
	Incarnation:   0xcafe,
	Caller:        netip.MustParseAddrPort("192.0.2.1:443"),
	SecondOrEntry: netip.MustParseAddrPort("10.0.0.2:4000"),

	ServiceAddress: netip.MustParseAddrPort("198.51.100.1:443"),
}

func drawHeader(t *rapid.T) tunnel.Header {
	addr := func(name string) netip.AddrPort {
		ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, name))
		return netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16Min(1).Draw(t, name+" port"))
	}
	h := tunnel.Header{
		Kind:        rapid.SampledFrom([]tunnel.Kind{tunnel.KindFlow, tunnel.KindFirstFlight, tunnel.KindReturn}).Draw(t, "kind"),
		Forwarded:   rapid.Bool().Draw(t, "forwarded"),
		Service:     config.ServiceTag(rapid.Uint32().Draw(t, "service")),
		Incarnation: rapid.Uint16().Draw(t, "incarnation"),
		Caller:      addr("caller"),
	}
	if rapid.Bool().Draw(t, "has second") {
		h.SecondOrEntry = addr("second")
	}
	if rapid.Bool().Draw(t, "has service address") {
		h.ServiceAddress = addr("service address")
	}
	return h
}

// During a key rotation, the header and packet that were sent must be parsed from a datagram, and a datagram
// with any flipped bit must be rejected.
func TestCodec(t *testing.T) {
	sender, receiver := newCodec(t, 1, 2), newCodec(t, 2, 1)
	rapid.Check(t, func(t *rapid.T) {
		h := drawHeader(t)
		packet := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "packet")
		datagram := sender.Append([]byte("x"), h, packet)[1:]
		changed := bytes.Clone(datagram)
		bit := rapid.IntRange(0, len(changed)*8-1).Draw(t, "bit")
		changed[bit/8] ^= 1 << (bit % 8)

		gotHeader, gotPacket, err := receiver.Parse(datagram)
		require.NoError(t, err)
		require.Equal(t, h, gotHeader)
		require.True(t, bytes.Equal(packet, gotPacket))
		_, _, err = receiver.Parse(changed)
		require.Error(t, err)
	})
	_, _, err := newCodec(t, 3).Parse(sender.Append(nil, sample, nil))
	require.ErrorIs(t, err, errors.NotFound)
}

// Guards against a header that makes the largest datagram longer than the network carries without
// fragmentation.
func TestLargestDatagramFitsInMTU(t *testing.T) {
	const ipAndUDP, mtu = 20 + 8, 1500
	datagram := newCodec(t, 1).Append(nil, sample, make([]byte, tunnel.MaxInnerPacket))
	require.LessOrEqual(t, len(datagram)+ipAndUDP, mtu)
}

// No input may cause a panic in the parser, and a datagram that it accepts must have a valid kind and an
// unchanged packet.
func FuzzParse(f *testing.F) {
	codec := newCodec(f, 1)
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{1}, tunnel.HeaderBytes))
	f.Add(codec.Append(nil, sample, []byte("packet")))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		before := bytes.Clone(datagram)
		h, packet, err := codec.Parse(datagram)
		if err != nil {
			require.Nil(t, packet)
			return
		}
		require.True(t, h.Kind >= tunnel.KindFlow && h.Kind <= tunnel.KindReturn)
		require.Equal(t, before[tunnel.HeaderBytes:], packet)
	})
}

func BenchmarkEncapsulate(b *testing.B) {
	codec := newCodec(b, 1)
	datagram := make([]byte, tunnel.HeaderBytes+1200)
	b.SetBytes(1200)
	b.ReportAllocs()
	for b.Loop() {
		codec.Encapsulate(datagram, sample)
	}
}

func BenchmarkDecapsulate(b *testing.B) {
	codec := newCodec(b, 1)
	datagram := codec.Append(nil, sample, make([]byte, 1200))
	tag := bytes.Clone(datagram[:tunnel.HeaderBytes])
	b.SetBytes(1200)
	b.ReportAllocs()
	for b.Loop() {
		copy(datagram, tag)
		if _, _, err := codec.Parse(datagram); err != nil {
			b.Fatal(err)
		}
	}
}
