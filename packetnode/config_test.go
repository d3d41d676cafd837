package packetnode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
	"endiveflow.example/endiveflow/standin"
	"endiveflow.example/endiveflow/watchduty"
)

// Guards against a process that returns to the configuration of the copy that the store came back from, and one
// that misses the next configuration, because it gets a revision that the process has seen before.
func TestConfigurationAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewPlatform(standin.PlatformConfig{})
		operator := newStoreClient(t, store)
		write := func(version, base uint64) uint64 {
			revision, err := operator.Put(t.Context(), platform.RoutesKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[]}`, version)), base)
			require.NoError(t, err)
			return revision
		}
		var routes routing.Holder
		updater := newConfigUpdater(configUpdater{
			routes: &routes, store: newStoreClient(t, store), log: eventlog.New(eventlog.Config{Out: io.Discard}), applied: func() {},
		})
		first := write(10, 0)
		second := write(20, first)
		ctx, cancel := context.WithCancel(context.Background())
		done := updater.followStore(ctx, soleEntry())
		time.Sleep(time.Second)
		require.EqualValues(t, 20, routes.Version())

		store.Restore(first)
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 20, routes.Version(), "the store's older configuration is not in force")
		require.Equal(t, second, write(30, first))
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 30, routes.Version())

		// The waiting watch is as far as the store's revision again, before it notices the restore.
		store.Restore(first)
		write(40, first)
		time.Sleep(watchWait + time.Second)
		require.EqualValues(t, 40, routes.Version())
		cancel()
		require.NoError(t, <-done)
	})
}

// Guards against an entry that reads and watches the configuration again and again without a pause, as its last change is older than the
// store's history.
func TestWatchOfConfigurationOlderThanTheHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewPlatform(standin.PlatformConfig{KeepChanges: 2})
		operator := newStoreClient(t, store)
		base, err := operator.Put(t.Context(), platform.RoutesKey, []byte(`{"version":1,"routes":[]}`), 0)
		require.NoError(t, err)
		for n := range 5 {
			_, err := operator.Put(t.Context(), fmt.Sprintf("other/%d", n), []byte(`{}`), 0)
			require.NoError(t, err)
		}
		var routes routing.Holder
		updater := newConfigUpdater(configUpdater{
			routes: &routes, store: newStoreClient(t, store), log: eventlog.New(eventlog.Config{Out: io.Discard}), applied: func() {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := updater.followStore(ctx, soleEntry())
		time.Sleep(30 * time.Second)
		calls := store.Calls()
		require.LessOrEqual(t, calls["get"]+calls["list"], uint64(3))
		require.LessOrEqual(t, calls["watch"], uint64(30*time.Second/watchWait+3))
		_, err = operator.Put(t.Context(), platform.RoutesKey, []byte(`{"version":2,"routes":[]}`), base)
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 2, routes.Version())
		cancel()
		require.NoError(t, <-done)
	})
}

// newStoreClient returns a client of a stand-in store with the time limits of processes.
func newStoreClient(t *testing.T, store *standin.Platform) *platform.Client {
	t.Helper()
	c, err := platform.New(platform.Config{
		URL: "http://store", HTTP: &http.Client{Transport: store.Transport()}, MaxAttempts: 1, WatchWait: watchWait, Timeout: storeTimeout,
	})
	require.NoError(t, err)
	return c
}

// soleEntry returns the duty of an entry that knows no other.
func soleEntry() *watchduty.Duty {
	start := time.Now()
	return watchduty.New(watchduty.Config{IP: 1, Now: func() time.Duration { return time.Since(start) }, Peers: func() []uint32 { return nil }})
}
