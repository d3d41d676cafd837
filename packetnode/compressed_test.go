package packetnode

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/routing"
)

// encodedRoutes returns a configuration with a number of routes.
func encodedRoutes(version, routes int) []byte {
	var list []string
	for n := range routes {
		list = append(list, fmt.Sprintf(`{"name":"r-%x","host":"198.18.%d.%d","pathPrefix":"/8443/","service":"rota","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"type":"idempotent"}`, n*7919, n/250, n%250))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"limits":{}}`, version, strings.Join(list, ","))
}

func newFetcher() *configUpdater {
	return newConfigUpdater(configUpdater{
		routes: new(routing.Holder), http: newHTTPClient(), log: eventlog.New(eventlog.Config{Out: io.Discard}), applied: func() {},
	})
}

// Guards against a configuration of many routes that fills the link of each entry that serves it, and against a fetched
// one that differs from the store's.
func TestConfigurationIsFetchedCompressed(t *testing.T) {
	encoded := encodedRoutes(5, 1000)
	source := newFetcher()
	require.NoError(t, source.apply(encoded, "store"))
	// Each process fetches from the one before it.
	for range 2 {
		server := httptest.NewServer(internalHandler(source.routes, source.compressed, source.log))
		t.Cleanup(server.Close)
		at := flow.EndpointOf(netip.MustParseAddrPort(server.Listener.Addr().String()))
		fetcher := newFetcher()
		fetcher.port = at.Port
		require.NoError(t, fetcher.fetch(t.Context(), at.IP))
		require.Equal(t, encoded, fetcher.routes.Current().Encoded)
		b, err := fetcher.compressed.of(fetcher.routes.Current())
		require.NoError(t, err)
		require.Less(t, len(b), len(encoded)/4)
		source = fetcher
	}
}

// Guards against a compressed configuration of another version that is served as the current one.
func TestCompressedConfigurationIsCurrent(t *testing.T) {
	u := newFetcher()
	for version := 1; version < 4; version++ {
		require.NoError(t, u.apply(encodedRoutes(version, version), "store"))
		b, err := u.compressed.of(u.routes.Current())
		require.NoError(t, err)
		plain, err := decompress(b)
		require.NoError(t, err)
		require.Equal(t, u.routes.Current().Encoded, plain)
	}
}

// Guards against a malformed or huge answer of another process that ends this one or replaces its configuration.
func TestDecompressInvalid(t *testing.T) {
	var huge bytes.Buffer
	w := gzip.NewWriter(&huge)
	for range maxConfigBytes/1024 + 1 {
		_, err := w.Write(make([]byte, 1024))
		require.NoError(t, err)
	}
	require.NoError(t, w.Close())
	for name, encoded := range map[string][]byte{
		"empty": nil, "no header": []byte("routes"), "truncated": huge.Bytes()[:100], "too large": huge.Bytes(),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decompress(encoded)
			require.Error(t, err)
		})
	}
}
