package packetnode

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/absence"
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/standin"
)

type fixture struct {
	t     *testing.T
	store *standin.Platform
	other *platform.Client
	book  *members
}

// runMembers runs test beside an entry that keeps its record in a store.
func runMembers(t *testing.T, heard []uint32, test func(fixture)) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewPlatform(standin.PlatformConfig{})
		client := func() *platform.Client {
			c, err := platform.New(platform.Config{URL: "http://store", HTTP: &http.Client{Transport: store.Transport()}, Attempts: 1})
			require.NoError(t, err)
			return c
		}
		start := time.Now()
		book := &members{
			own: memberRecord{Role: roleEntry, IP: netip.MustParseAddr("10.0.0.1"), Zone: "a"}, store: client(),
			log:   eventlog.New(eventlog.Config{Out: io.Discard}),
			heard: func() []uint32 { return heard }, found: func() {}, now: func() time.Duration { return time.Since(start) },
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := book.run(ctx)
		time.Sleep(time.Second)
		test(fixture{t, store, client(), book})
		cancel()
		require.NoError(t, <-done)
	})
}

func (f fixture) delete(key string) {
	o, err := f.other.Get(f.t.Context(), key)
	require.NoError(f.t, err)
	require.NoError(f.t, f.other.Delete(f.t.Context(), key, o.Version))
}

func (f fixture) requireRecord(key string) {
	f.t.Helper()
	_, err := f.other.Get(f.t.Context(), key)
	require.NoError(f.t, err)
}

var someone = []uint32{addressOf(netip.MustParseAddr("10.0.0.2"))}

// Guards against a process that writes its record at its start alone: a
// record that the store lost then stayed lost.
func TestLostRecordIsWrittenAgain(t *testing.T) {
	t.Run("within 2 s of the end of an outage", func(t *testing.T) {
		runMembers(t, someone, func(f fixture) {
			f.delete(f.book.own.key())
			f.store.Set(standin.Switches{Outage: true})
			time.Sleep(time.Minute)
			f.store.Set(standin.Switches{})
			time.Sleep(2 * time.Second)
			f.requireRecord(f.book.own.key())
		})
	})
	t.Run("at the next list without an outage", func(t *testing.T) {
		runMembers(t, someone, func(f fixture) {
			f.delete(f.book.own.key())
			time.Sleep(listPause + time.Second)
			f.requireRecord(f.book.own.key())
		})
	})
}

// Guards against records of processes that are gone, which stayed for ever.
func TestRecordOfSilentProcessIsRemoved(t *testing.T) {
	runMembers(t, someone, func(f fixture) {
		gone, there := memberRecord{Role: roleAgent, IP: netip.MustParseAddr("10.0.0.3")}, memberRecord{Role: roleAgent, IP: netip.MustParseAddr("10.0.0.2")}
		for _, r := range []memberRecord{gone, there} {
			_, err := f.other.Put(f.t.Context(), r.key(), []byte(`{"role":"agent","ip":"`+r.IP.String()+`","zone":"a"}`), 0)
			require.NoError(f.t, err)
		}
		time.Sleep(absence.DefaultGoneAfter - time.Minute)
		f.requireRecord(gone.key())
		require.Contains(f.t, f.book.addresses(""), addressOf(gone.IP))
		time.Sleep(2 * time.Minute)
		_, err := f.other.Get(f.t.Context(), gone.key())
		require.Error(f.t, err)
		require.NotContains(f.t, f.book.addresses(""), addressOf(gone.IP))
		f.requireRecord(there.key())
		f.requireRecord(f.book.own.key())
	})
}

// Guards against a change of the seeds that adds the new ones to the old ones.
func TestSeedsAreReplaced(t *testing.T) {
	book := &members{own: memberRecord{IP: netip.MustParseAddr("10.0.0.1")}}
	book.seed([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1")})
	book.seed([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.3:1")})
	require.Equal(t, []uint32{addressOf(netip.MustParseAddr("10.0.0.3"))}, book.addresses(roleEntry))
}
