package quicheader_test

import (
	"bytes"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/quicheader"
)

func long(version byte, destination, source []byte, rest ...byte) []byte {
	b := []byte{0xc0, 0, 0, 0, version, byte(len(destination))}
	b = append(b, destination...)
	b = append(b, byte(len(source)))
	return append(append(b, source...), rest...)
}

// A connection ID that is parsed incorrectly would send its flow to the wrong agent.
func TestParse(t *testing.T) {
	id := bytes.Repeat([]byte{7}, quicheader.ShortIDLen)
	short := append([]byte{0x40}, id...)
	for name, c := range map[string]struct {
		packet []byte
		want   quicheader.Header
	}{
		"short":          {append(short, 1, 2), quicheader.Header{Destination: id}},
		"long":           {long(1, id[:8], id[:4], 9), quicheader.Header{Long: true, Version: 1, Destination: id[:8], Source: id[:4]}},
		"long, empty ID": {long(1, nil, id), quicheader.Header{Long: true, Version: 1, Destination: []byte{}, Source: id}},
		"negotiation":    {long(0, id, id), quicheader.Header{Long: true, Destination: id, Source: id}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := quicheader.Parse(c.packet)
			require.NoError(t, err)
			require.Equal(t, c.want, got)
		})
	}
}

// A packet that is truncated anywhere in its header must be rejected, not read past its end.
func TestParseRejects(t *testing.T) {
	id := bytes.Repeat([]byte{7}, quicheader.ShortIDLen)
	for _, valid := range [][]byte{append([]byte{0x40}, id...), long(1, id[:8], id[:4])} {
		for n := range valid {
			_, err := quicheader.Parse(valid[:n:n])
			require.ErrorIs(t, err, errors.NotValid)
		}
	}
	_, err := quicheader.Parse(long(1, append(id, 1), nil))
	require.ErrorIs(t, err, errors.NotValid)
}

// No input may cause a panic in the parser or yield IDs that are not part of the packet.
func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add(long(1, []byte{1, 2}, []byte{3}))
	f.Add(bytes.Repeat([]byte{0x40}, 21))
	f.Add(bytes.Repeat([]byte{0xff}, 64))
	f.Fuzz(func(t *testing.T, packet []byte) {
		h, err := quicheader.Parse(packet)
		if err != nil {
			return
		}
		require.True(t, bytes.Contains(packet, h.Destination) && bytes.Contains(packet, h.Source))
		if h.Long {
			require.True(t, bytes.HasPrefix(packet[5:], append([]byte{byte(len(h.Destination))}, h.Destination...)))
		}
	})
}
