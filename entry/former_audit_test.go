package entry

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/apply"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/standin"
)

// An entry that starts after a change must find the former addresses in the audit entries, including those
// of a service that was deleted together with its Upstreams.
func TestFormerAddressesFromAuditEntries(t *testing.T) {
	networks := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	first, second, third := netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:1"), netip.MustParseAddrPort("192.0.2.3:1")
	rota := config.Object{Key: config.Key{Kind: config.KindService, Name: "rota"}, Service: &config.Service{Address: third}}
	at := func(minutes int) time.Time { return start.Add(time.Duration(minutes) * time.Minute) }
	for i, diff := range [][]string{
		{"address: - -> 192.0.2.1:1", "long: - -> /a"},
		{"address: 192.0.2.1:1 -> 192.0.2.2:1"},
		{"long: /a -> address: x -> y"},
		{"deleted: false -> true"},
		{"address: - -> 192.0.2.3:1"},
	} {
		rota.Changes = append(rota.Changes, config.Change{When: at(i), Diff: diff})
	}
	upstream := config.Object{Key: config.Key{Kind: config.KindUpstream, Name: "rota"}, Deleted: true, Upstream: &config.Upstream{Service: "rota", Networks: networks}}
	tag := config.TagOf("rota")
	want := []FormerAddress{{Service: tag, Address: first, Until: at(1)}, {Service: tag, Address: second, Until: at(3)}}
	v := config.NewView()
	former := FormerAddresses(v)
	require.Empty(t, former())
	rota.Version, upstream.Version = 1, 1
	v.Apply(rota)
	v.Apply(upstream)
	require.Equal(t, want, former())

	rota.Deleted = true
	rota.Version++
	rota.Changes = []config.Change{{When: at(5), Diff: []string{"deleted: false -> true"}}}
	want = []FormerAddress{{Service: tag, Address: third, Until: at(5), Networks: networks}}
	v.Apply(rota)
	require.Equal(t, want, former())
}

// Guards against a change of the form in which the applier writes audit entries: new entries would then
// find no former addresses.
func TestFormerAddressesFromApplierAuditEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewPlatform(standin.PlatformConfig{})
		client, err := platform.New(platform.Config{URL: "http://store", HTTP: &http.Client{Transport: store.Transport()}})
		require.NoError(t, err)
		a, err := apply.New(apply.Config{Client: client, Who: "ann"})
		require.NoError(t, err)
		v := config.NewView()
		former := FormerAddresses(v)
		load := func(_ apply.Report, err error) {
			require.NoError(t, err)
			objects, err := a.Objects(t.Context())
			require.NoError(t, err)
			for _, o := range objects {
				v.Apply(o)
			}
		}
		networks := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
		upstream := config.Object{Key: config.Key{Kind: config.KindUpstream, Name: "rota"}, Upstream: &config.Upstream{Service: "rota", Networks: networks}}
		service := config.Object{Key: config.Key{Kind: config.KindService, Name: "rota"}}
		var want []FormerAddress
		for port := range uint16(3) {
			address := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port+1)
			service.Service = &config.Service{Address: address}
			load(a.Apply(t.Context(), config.NewSet(upstream, service), "test"))
			require.Equal(t, want, former())
			want = append(want, FormerAddress{Service: config.TagOf("rota"), Address: address})
			time.Sleep(time.Minute)
			want[port].Until = time.Now().UTC()
		}
		load(a.Delete(t.Context(), "test", service.Key, upstream.Key))
		for i := range want {
			want[i].Networks = networks
		}
		require.Equal(t, want, former())
		time.Sleep(time.Minute) // Lets delayed calls finish.
	})
}
