package routing_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/routing"
)

func tableOf(version uint64, routes int) *routing.Table {
	var list []routing.Route
	for n := range routes {
		list = append(list, routing.Route{
			Name: fmt.Sprintf("r-%x", n*7919), Endpoint: flow.Endpoint{IP: 0xc6120000 + uint32(n/50), Port: uint16(8000 + n%50)}, Kind: routing.Kind(n % 3),
			Shares: []routing.Share{{Service: "rota", Weight: 1 + n%2}, {Service: "draws", Weight: n % 3}}, Timeout: 3 * time.Second,
			TargetLatency: time.Duration(n) * time.Millisecond, Priority: n % 4,
		})
	}
	return routing.NewTable(version, 20*time.Second, list)
}

// Guards against a table that differs after it was passed on by other processes.
func TestTableRoundTrip(t *testing.T) {
	limited := tableOf(7, 2).WithWarmupRates(map[string]uint16{"rota": 12, "draws": 0, "a": 1})
	for _, table := range []*routing.Table{tableOf(7, 0), tableOf(7, 1), tableOf(7, 1000), limited, tableOf(7, 1).WithWarmupRates(nil)} {
		encoded, err := table.Encode()
		require.NoError(t, err)
		decoded, err := routing.Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, table, decoded)
		again, err := decoded.Encode()
		require.NoError(t, err)
		require.Equal(t, encoded, again)
	}
}

// Guards against a malformed or huge answer of another process that ends this one or replaces its table.
func TestDecodeInvalid(t *testing.T) {
	encoded, err := tableOf(7, 10).Encode()
	require.NoError(t, err)
	var huge bytes.Buffer
	w := gzip.NewWriter(&huge)
	for range 17 << 10 {
		_, err := w.Write(make([]byte, 1024))
		require.NoError(t, err)
	}
	require.NoError(t, w.Close())
	noVersion, err := tableOf(0, 1).Encode()
	require.NoError(t, err)
	for name, b := range map[string][]byte{
		"empty": nil, "not compressed": []byte("routes"), "truncated": encoded[:len(encoded)/2], "too large": huge.Bytes(), "no version": noVersion,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := routing.Decode(b)
			require.ErrorIs(t, err, errors.NotValid)
		})
	}
}

func FuzzDecode(f *testing.F) {
	encoded, err := tableOf(7, 3).Encode()
	require.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, b []byte) {
		if table, err := routing.Decode(b); err == nil {
			_, err := table.Encode()
			require.NoError(t, err)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	encoded, err := tableOf(7, 1081).Encode()
	require.NoError(b, err)
	b.SetBytes(int64(len(encoded)))
	for range b.N {
		_, err := routing.Decode(encoded)
		require.NoError(b, err)
	}
}
