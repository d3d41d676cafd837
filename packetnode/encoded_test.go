package packetnode

import (
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

// operatorConfig returns a configuration of the operator with a number of routes.
func operatorConfig(version, routes int) []byte {
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
	fromStore := operatorConfig(5, 1000)
	source := newFetcher()
	source.applyObject(platform.Object{Value: fromStore})
	want := source.routes.Current()
	require.NotNil(t, want)
	// Each process fetches from the one before it.
	for range 2 {
		server := httptest.NewServer(internalHandler(source.routes, source.encoded, source.log))
		t.Cleanup(server.Close)
		at := flow.EndpointOf(netip.MustParseAddrPort(server.Listener.Addr().String()))
		fetcher := newFetcher()
		fetcher.port = at.Port
		require.NoError(t, fetcher.fetch(t.Context(), at.IP))
		require.Equal(t, want, fetcher.routes.Current())
		b, err := fetcher.encoded.of(fetcher.routes.Current())
		require.NoError(t, err)
		require.Less(t, len(b), len(fromStore)/4)
		source = fetcher
	}
}

// Guards against an encoded configuration of another version that is served as the current one.
func TestEncodedConfigurationIsCurrent(t *testing.T) {
	u := newFetcher()
	for version := 1; version < 4; version++ {
		u.applyObject(platform.Object{Value: operatorConfig(version, version)})
		b, err := u.encoded.of(u.routes.Current())
		require.NoError(t, err)
		decoded, err := routing.Decode(b)
		require.NoError(t, err)
		require.Equal(t, u.routes.Current(), decoded)
	}
}
