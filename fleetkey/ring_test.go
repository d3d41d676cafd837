package fleetkey_test

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/fleetkey"
	_ "endiveflow.example/endiveflow/testseed"
)

func key(id uint8) fleetkey.Key {
	return fleetkey.Key{ID: id, Secret: bytes.Repeat([]byte{id}, fleetkey.MinSecretBytes)}
}

func newRing(t require.TestingT, ids ...uint8) *fleetkey.Ring {
	var cfg fleetkey.Config
	for _, id := range ids {
		cfg.Keys = append(cfg.Keys, key(id))
	}
	r, err := fleetkey.New(cfg)
	require.NoError(t, err)
	return r
}

func newSealer(t require.TestingT, ids ...uint8) *fleetkey.Sealer {
	s, err := newRing(t, ids...).Sealer(fleetkey.PurposeControl)
	require.NoError(t, err)
	return s
}

// Callers make decisions by the kind of an error, so wrapping must keep it.
func TestErrorKindsSurviveWrapping(t *testing.T) {
	_, err := newRing(t, 1).Derive(2, fleetkey.PurposeTunnel, "", 16)
	require.ErrorIs(t, errors.Annotate(err, "outer"), errors.NotFound)
	_, err = fleetkey.New(fleetkey.Config{Keys: []fleetkey.Key{key(1), key(1)}})
	require.ErrorIs(t, err, errors.NotValid)
}

// Traffic must continue while only some of the processes have made a step of a key rotation.
func TestRotationSteps(t *testing.T) {
	steps := [][]uint8{{1}, {1, 2}, {2, 1}, {2}}
	for i := range len(steps) - 1 {
		before, after := newSealer(t, steps[i]...), newSealer(t, steps[i+1]...)
		for _, pair := range [][2]*fleetkey.Sealer{{before, after}, {after, before}} {
			got, err := pair[1].Open(nil, pair[0].Seal(nil, []byte("x"), nil), nil)
			require.NoError(t, err, "step %d", i)
			require.Equal(t, []byte("x"), got)
		}
	}
}

// A datagram with a flipped bit anywhere, including in the header, must be rejected.
func TestChangedBitIsRejected(t *testing.T) {
	s := newSealer(t, 7)
	rapid.Check(t, func(t *rapid.T) {
		plain := rapid.SliceOf(rapid.Byte()).Draw(t, "plain")
		header := []byte("header")
		sealed := s.Seal(nil, plain, header)
		all := append(append([]byte(nil), header...), sealed...)
		bit := rapid.IntRange(0, len(all)*8-1).Draw(t, "bit")
		all[bit/8] ^= 1 << (bit % 8)
		_, err := s.Open(nil, all[len(header):], all[:len(header)])
		require.Error(t, err)
	})
}

func TestPeerTLSRejectsOtherFleets(t *testing.T) {
	ip := netip.MustParseAddr("127.0.0.1")
	own, err := newRing(t, 1).PeerTLS(ip)
	require.NoError(t, err)
	same, err := newRing(t, 1).PeerTLS(ip)
	require.NoError(t, err)
	foreign, err := newRing(t, 9).PeerTLS(ip)
	require.NoError(t, err)

	require.NoError(t, handshake(t, own, same))
	require.Error(t, handshake(t, own, foreign))
}

func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte("ok"))
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	config := client.Clone()
	config.ServerName = "127.0.0.1"
	tlsConn := tls.Client(conn, config)
	_, err = io.ReadAll(tlsConn)
	return err
}

// Arbitrary datagrams must be rejected with an error of a documented kind, and never cause a panic.
func FuzzOpen(f *testing.F) {
	s := newSealer(f, 1, 2)
	f.Add([]byte{}, []byte{})
	f.Add([]byte{1, 2, 3}, []byte("header"))
	f.Add(s.Seal(nil, []byte("plain"), []byte("header")), []byte("header"))
	f.Fuzz(func(t *testing.T, sealed, header []byte) {
		if _, err := s.Open(nil, sealed, header); err != nil {
			documented := errors.Is(err, errors.NotFound) || errors.Is(err, errors.NotValid) || errors.Is(err, errors.Unauthorized)
			require.True(t, documented, "%v", err)
		}
	})
}
