package packetnode_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/platform"
)

// serveConfig serves a configuration of the operator like a process does. It returns a function that stops the server.
func serveConfig(t *testing.T, address netip.AddrPort, config string) func() {
	t.Helper()
	listener, err := net.Listen("tcp4", address.String())
	require.NoError(t, err)
	mux := http.NewServeMux()
	table, _, err := platform.DecodeRoutes([]byte(config))
	require.NoError(t, err)
	encoded, err := table.Encode()
	require.NoError(t, err)
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(encoded) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }
}
