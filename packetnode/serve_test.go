package packetnode_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveConfig serves a configuration like a process does. It returns a function that stops the server.
func serveConfig(t *testing.T, address netip.AddrPort, config string) func() {
	t.Helper()
	listener, err := net.Listen("tcp4", address.String())
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, config) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }
}
