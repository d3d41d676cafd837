package confsync_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/confsync"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/standin"
)

// BenchmarkPropagation measures, over loopback sockets, the time from an accepted write until 20 entries have
// applied it. Two entries watch the store; each change is passed to the others at once, in place of gossip.
func BenchmarkPropagation(b *testing.B) {
	store := standin.NewPlatform(standin.PlatformConfig{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var views []*config.View
	var records []member.Record
	for i := range 20 {
		control := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i))
		views = append(views, config.NewView())
		records = append(records, member.Record{ID: member.IDOf(member.RoleEntry, control), Role: member.RoleEntry, Zone: "okn-a", Control: control, State: member.StateReady})
	}
	var ends []<-chan error
	for i, view := range views {
		s, err := confsync.New(confsync.Config{
			Client: newBenchClient(b, server.URL), View: view, Region: "okanagan", Zone: "okn-a", Log: slog.New(slog.DiscardHandler),
			Self: func() member.Record { return records[i] }, Entries: func() []member.Record { return records },
		})
		require.NoError(b, err)
		ends = append(ends, s.Run(ctx))
		go forward(ctx, view, views)
	}
	writer := newBenchClient(b, server.URL)
	version, port := uint64(0), uint16(0)
	for b.Loop() {
		port++
		o := config.Object{Key: config.Key{Kind: config.KindService, Name: "rota"}, Service: &config.Service{Address: netip.AddrPortFrom(netip.IPv4Unspecified(), port)}}
		value, err := config.EncodeValue(o)
		require.NoError(b, err)
		version, err = writer.Put(ctx, o.StoreKey(), value, version)
		require.NoError(b, err)
		for _, v := range views {
			for v.Version() < version {
				time.Sleep(20 * time.Microsecond)
			}
		}
	}
	cancel()
	server.CloseClientConnections()
	for _, end := range ends {
		require.NoError(b, <-end)
	}
}

func newBenchClient(b *testing.B, url string) *platform.Client {
	b.Helper()
	c, err := platform.New(platform.Config{URL: url, Rate: 1e6, Burst: 1e6})
	require.NoError(b, err)
	return c
}

// forward applies each change of a view to the others.
func forward(ctx context.Context, from *config.View, to []*config.View) {
	for changed := range from.Subscribe(ctx) {
		o, _ := from.Get(changed.Key)
		for _, v := range to {
			v.Apply(o)
		}
	}
}
