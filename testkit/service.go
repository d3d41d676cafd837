package testkit

import (
	"context"
	"crypto/tls"
	"testing"

	"github.com/stretchr/testify/require"
)

// ServiceTLS returns the TLS configurations of a service at Loopback and of its callers.
func ServiceTLS(t testing.TB) (server, client *tls.Config) {
	t.Helper()
	both, err := Ring(t, 1).PeerTLS(Loopback)
	require.NoError(t, err)
	return &tls.Config{Certificates: both.Certificates}, &tls.Config{RootCAs: both.RootCAs}
}

// Run runs a component until the test ends or the returned function is called, and requires that it ends
// without an error.
func Run(t testing.TB, run func(context.Context) <-chan error) context.CancelFunc {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := run(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return cancel
}
