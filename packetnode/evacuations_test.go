package packetnode

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/standin"
)

// Guards against an evacuation that is learned late, ends while the store is down or after it was restored from a copy that
// is older than the evacuation, or doesn't end with its withdrawal.
func TestEvacuationWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewPlatform(standin.PlatformConfig{})
		operator := newStoreClient(t, store)
		var zones evacuation.Holder
		watch := evacuationWatch{
			store: newStoreClient(t, store), duty: soleEntry(), current: zones.Current, read: func(s evacuation.State) { zones.Merge(s) },
			log: eventlog.New(eventlog.Config{Out: io.Discard}),
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := watch.run(ctx)
		requireAfter := func(d time.Duration, want ...string) {
			t.Helper()
			time.Sleep(d)
			require.ElementsMatch(t, want, zones.Current().Zones)
		}
		const key = platform.EvacuationsPrefix + "okn-a"
		evacuate := func() platform.Object {
			_, err := operator.Put(t.Context(), key, []byte(`{}`), 0)
			require.NoError(t, err)
			o, err := operator.Get(t.Context(), key)
			require.NoError(t, err)
			return o
		}
		requireAfter(2 * time.Second)
		before := store.Revision()
		o := evacuate()
		requireAfter(50*time.Millisecond, "okn-a")

		store.SetSwitches(standin.Switches{Outage: true})
		requireAfter(10*time.Second, "okn-a")
		store.SetSwitches(standin.Switches{})
		requireAfter(3*time.Second, "okn-a")
		require.NoError(t, operator.Delete(t.Context(), o))
		requireAfter(50 * time.Millisecond)

		evacuate()
		requireAfter(50*time.Millisecond, "okn-a")
		store.Restore(before)
		requireAfter(5*time.Second, "okn-a")
		require.NoError(t, operator.Delete(t.Context(), evacuate()))
		requireAfter(50 * time.Millisecond)
		cancel()
		require.NoError(t, <-done)
	})
}
