package packetnode

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
	"endiveflow.example/endiveflow/standin"
)

var recordedEndpoint = flow.Endpoint{IP: 0xc6120001, Port: 443}

// tableLeadingTo returns a table with a route to services.
func tableLeadingTo(version uint64, services ...string) *routing.Table {
	r := routing.Route{Endpoint: recordedEndpoint}
	for _, service := range services {
		r.Shares = append(r.Shares, routing.Share{Service: service, Weight: 1})
	}
	return routing.NewTable(version, 0, []routing.Route{r})
}

// recorderFixture is an entry's recorder with a stand-in store.
type recorderFixture struct {
	*routeRecorder
	mu sync.Mutex
	// current is the table to record, hasFormer whether it has former services, reads what the recorder read. Guarded by mu.
	current   *routing.Table
	hasFormer bool
	reads     []*routing.Table
}

// newRecorder returns the recorder of an entry that writes after others.
func newRecorder(t *testing.T, store *standin.Platform, entriesBefore int) *recorderFixture {
	t.Helper()
	f := new(recorderFixture)
	f.routeRecorder = &routeRecorder{
		store: newStoreClient(t, store), log: eventlog.New(eventlog.Config{Out: io.Discard}), onDuty: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		recorded: new(recordedVersion),
		record: func() *routing.Table {
			table, _ := f.table()
			return table
		},
		hasFormer: func() bool {
			_, hasFormer := f.table()
			return hasFormer
		},
		entriesBefore: func() int { return entriesBefore },
		version: func() uint64 {
			table, _ := f.table()
			return routing.VersionOf(table)
		},
		read: func(t *routing.Table) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.reads = append(f.reads, t)
		},
	}
	return f
}

func (f *recorderFixture) table() (*routing.Table, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.hasFormer
}

func (f *recorderFixture) setTable(table *routing.Table, hasFormer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.hasFormer = table, hasFormer
}

// apply applies a configuration that leads to services.
func (f *recorderFixture) apply(version uint64, services ...string) {
	_, hasFormer := f.table()
	f.setTable(tableLeadingTo(version, services...), hasFormer)
	signal(f.changed)
}

// pass lets a time pass, and waits until the recorders are idle.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func runRecorders(t *testing.T, test func(t *testing.T, store *standin.Platform, start func(entriesBefore int) *recorderFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewPlatform(standin.PlatformConfig{})
		ctx, cancel := context.WithCancel(context.Background())
		var ends []<-chan error
		defer func() {
			cancel()
			for _, done := range ends {
				require.NoError(t, <-done)
			}
		}()
		test(t, store, func(entriesBefore int) *recorderFixture {
			f := newRecorder(t, store, entriesBefore)
			ends = append(ends, f.run(ctx))
			return f
		})
	})
}

func requireRecorded(t *testing.T, store *standin.Platform, services ...string) {
	t.Helper()
	o, err := newStoreClient(t, store).Get(t.Context(), routeRecordKey)
	require.NoError(t, err)
	table, err := decodeRouteRecord(o.Value)
	require.NoError(t, err)
	r, found := table.Find(recordedEndpoint)
	require.True(t, found)
	var recorded []string
	for _, s := range r.Shares {
		recorded = append(recorded, s.Service)
	}
	require.Equal(t, services, recorded)
}

// Guards against entries that restart and don't learn which services the routes led to, or lose what the record has by writing it.
func TestRouteRecordOutlivesEntries(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *standin.Platform, start func(int) *recorderFixture) {
		start(0).apply(1, "rota")
		pass(time.Second)
		requireRecorded(t, store, "rota")

		restarted := start(0)
		signal(restarted.onDuty)
		pass(50 * time.Millisecond)
		require.Len(t, restarted.reads, 1)
		r, _ := restarted.reads[0].Find(recordedEndpoint)
		require.Equal(t, "rota", r.Shares[0].Service)

		unread := start(0)
		unread.apply(2, "draws")
		pass(time.Second)
		require.Len(t, unread.reads, 1, "the record is read before it is written")
	})
}

// Guards against former services that stay in the record, and against a write for each configuration that changes no service.
func TestRouteRecordIsWrittenWhenServicesChange(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *standin.Platform, start func(int) *recorderFixture) {
		f := start(0)
		f.setTable(nil, true)
		f.apply(1, "draws", "rota")
		pass(2 * time.Second)
		written := f.base
		f.apply(2, "draws", "rota")
		pass(2 * time.Second)
		require.Equal(t, written, f.base)
		require.EqualValues(t, 2, f.recorded.in(f.store.Era()))
		f.setTable(tableLeadingTo(2, "draws"), false)
		pass(formerServiceAge)
		requireRecorded(t, store, "draws")
	})
}

// Guards against entries that all write the same change, and against a change that is lost when the first entry is cut off.
func TestOneEntryWritesRouteRecord(t *testing.T) {
	t.Run("the first one reports it", func(t *testing.T) {
		runRecorders(t, func(t *testing.T, _ *standin.Platform, start func(int) *recorderFixture) {
			first, second := start(0), start(1)
			first.apply(1, "rota")
			second.apply(1, "rota")
			pass(500 * time.Millisecond)
			second.recorded.note(first.store.Era(), first.recorded.in(first.store.Era()))
			pass(5 * time.Second)
			require.False(t, second.known)
		})
	})
	t.Run("the first one is silent", func(t *testing.T) {
		runRecorders(t, func(t *testing.T, store *standin.Platform, start func(int) *recorderFixture) {
			start(1).apply(1, "rota")
			pass(2 * time.Second)
			requireRecorded(t, store, "rota")
		})
	})
}

// Guards against a record that is missing after an outage or a restore of the store, or because another writer left something else.
func TestRouteRecordIsWrittenAgain(t *testing.T) {
	t.Run("after an outage", func(t *testing.T) {
		runRecorders(t, func(t *testing.T, store *standin.Platform, start func(int) *recorderFixture) {
			store.SetSwitches(standin.Switches{Outage: true})
			start(0).apply(1, "rota")
			pass(time.Minute)
			store.SetSwitches(standin.Switches{})
			pass(recordRetryMax + time.Second)
			requireRecorded(t, store, "rota")
		})
	})
	t.Run("after a restore", func(t *testing.T) {
		runRecorders(t, func(t *testing.T, store *standin.Platform, start func(int) *recorderFixture) {
			f := start(0)
			f.apply(1, "rota")
			pass(2 * time.Second)
			store.Restore(0)
			_, _ = f.store.Get(t.Context(), platform.RoutesKey)
			signal(f.changed)
			pass(2 * time.Second)
			requireRecorded(t, store, "rota")
		})
	})
	for name, value := range map[string]string{"no record": `"x"`, "no routes": `{}`, "routes of another form": `{"version":1,"routes":"AAAA"}`} {
		t.Run(name, func(t *testing.T) {
			runRecorders(t, func(t *testing.T, store *standin.Platform, start func(int) *recorderFixture) {
				_, err := newStoreClient(t, store).Put(t.Context(), routeRecordKey, []byte(value), 0)
				require.NoError(t, err)
				f := start(0)
				f.apply(1, "rota")
				pass(2 * time.Second)
				requireRecorded(t, store, "rota")
				require.Empty(t, f.reads)
			})
		})
	}
}

// Guards against two entries that overwrite each other's former services.
func TestRouteRecordOfTwoWriters(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *standin.Platform, start func(int) *recorderFixture) {
		first, second := start(0), start(0)
		first.apply(1, "rota")
		pass(2 * time.Second)
		signal(second.onDuty)
		pass(time.Second)
		first.apply(2, "draws", "rota")
		pass(2 * time.Second)
		second.read = func(read *routing.Table) {
			r, _ := read.Find(recordedEndpoint)
			services := []string{"sheets"}
			for _, s := range r.Shares {
				services = append(services, s.Service)
			}
			slices.Sort(services)
			second.setTable(tableLeadingTo(3, services...), true)
		}
		second.apply(3, "sheets")
		pass(5 * time.Second)
		requireRecorded(t, store, "draws", "rota", "sheets")
	})
}

// Guards against former services that stay in the record because the entry that wrote them ended.
func TestRestartedEntryRemovesFormerServices(t *testing.T) {
	runRecorders(t, func(t *testing.T, store *standin.Platform, start func(int) *recorderFixture) {
		value, err := encodeRouteRecord(tableLeadingTo(1, "draws", "rota"))
		require.NoError(t, err)
		_, err = newStoreClient(t, store).Put(t.Context(), routeRecordKey, value, 0)
		require.NoError(t, err)
		f := start(0)
		f.setTable(tableLeadingTo(1, "draws"), true)
		signal(f.onDuty)
		pass(time.Second)
		signal(f.changed)
		pass(2 * time.Second)
		f.setTable(tableLeadingTo(1, "draws"), false)
		pass(formerServiceAge)
		requireRecorded(t, store, "draws")
	})
}
