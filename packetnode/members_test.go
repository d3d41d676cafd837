package packetnode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
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
	t        *testing.T
	store    *standin.Platform
	client   *platform.Client
	registry *memberRegistry
}

// runRegistry runs test while the registry of an entry at 10.0.0.1 runs with an in-process store.
func runRegistry(t *testing.T, known []uint32, test func(fixture)) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewPlatform(standin.PlatformConfig{})
		restored := make(chan struct{}, 1)
		newClient := func() *platform.Client {
			c, err := platform.New(platform.Config{
				URL: "http://store", HTTP: &http.Client{Transport: store.Transport()}, MaxAttempts: 1, OnRestore: func(uint64) { signal(restored) },
			})
			require.NoError(t, err)
			return c
		}
		start := time.Now()
		registry := &memberRegistry{
			own: memberRecord{Role: roleEntry, IP: netip.MustParseAddr("10.0.0.1"), Zone: "a"}, store: newClient(),
			log:   eventlog.New(eventlog.Config{Out: io.Discard}),
			known: func() []uint32 { return known }, listed: func() {}, now: func() time.Duration { return time.Since(start) },
			restored: restored, refresh: make(chan struct{}, 1),
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := registry.run(ctx)
		time.Sleep(time.Second)
		test(fixture{t, store, newClient(), registry})
		cancel()
		require.NoError(t, <-done)
	})
}

func (f fixture) delete(key string) {
	o, err := f.client.Get(f.t.Context(), key)
	require.NoError(f.t, err)
	require.NoError(f.t, f.client.Delete(f.t.Context(), o))
}

func (f fixture) requireRecord(key string) {
	f.t.Helper()
	_, err := f.client.Get(f.t.Context(), key)
	require.NoError(f.t, err)
}

var otherMember = []uint32{addressOf(netip.MustParseAddr("10.0.0.2"))}

// Guards against a process that writes its record only at its start, so that a record lost by the store is
// never restored.
func TestLostRecordIsWrittenAgain(t *testing.T) {
	t.Run("within 2 s of the end of an outage", func(t *testing.T) {
		runRegistry(t, otherMember, func(f fixture) {
			f.delete(f.registry.own.key())
			f.store.SetSwitches(standin.Switches{Outage: true})
			time.Sleep(time.Minute)
			f.store.SetSwitches(standin.Switches{})
			time.Sleep(2 * time.Second)
			f.requireRecord(f.registry.own.key())
		})
	})
	t.Run("at the next list without an outage", func(t *testing.T) {
		runRegistry(t, otherMember, func(f fixture) {
			f.delete(f.registry.own.key())
			time.Sleep(listPause + time.Second)
			f.requireRecord(f.registry.own.key())
		})
	})
}

// Guards against a process whose record is missing in the copy that the store came back from, and that writes it
// again only at its next list.
func TestRecordLostByRestoreIsWrittenAgain(t *testing.T) {
	for name, restore := range map[string]func(f fixture){
		"once":           func(f fixture) { f.store.Restore(0) },
		"twice in a row": func(f fixture) { f.store.Restore(0); f.store.Restore(0) },
		"while another process writes": func(f fixture) {
			f.store.Restore(0)
			_, err := f.client.Put(f.t.Context(), membersPrefix+"agent-10.0.0.9", []byte(`{"role":"agent","ip":"10.0.0.9","zone":"a"}`), 0)
			require.NoError(f.t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runRegistry(t, otherMember, func(f fixture) {
				restore(f)
				// Any call of the process notices the restore, such as the watch of its configuration.
				_, _ = f.registry.store.Get(f.t.Context(), platform.RoutesKey)
				time.Sleep(2 * time.Second)
				f.requireRecord(f.registry.own.key())
			})
		})
	}
}

// Guards against an agent that learns of a restore only from its own calls to the store, which are far apart.
func TestReportedEraTriggersList(t *testing.T) {
	store := standin.NewPlatform(standin.PlatformConfig{})
	client, err := platform.New(platform.Config{URL: "http://store", HTTP: &http.Client{Transport: store.Transport()}})
	require.NoError(t, err)
	b := &base{store: client, storeRestored: make(chan struct{}, 1)}
	b.noteStoreEra(7)
	require.Empty(t, b.storeRestored, "an agent that knows no era yet has written nothing")
	_, _ = client.Get(t.Context(), platform.RoutesKey)
	b.noteStoreEra(1)
	require.Empty(t, b.storeRestored)
	b.noteStoreEra(2)
	require.Len(t, b.storeRestored, 1)
}

// Guards against records of dead processes that are never removed.
func TestRecordOfSilentProcessIsRemoved(t *testing.T) {
	runRegistry(t, otherMember, func(f fixture) {
		gone, live := memberRecord{Role: roleAgent, IP: netip.MustParseAddr("10.0.0.3")}, memberRecord{Role: roleAgent, IP: netip.MustParseAddr("10.0.0.2")}
		for _, r := range []memberRecord{gone, live} {
			_, err := f.client.Put(f.t.Context(), r.key(), []byte(`{"role":"agent","ip":"`+r.IP.String()+`","zone":"a"}`), 0)
			require.NoError(f.t, err)
		}
		time.Sleep(absence.DefaultMinAbsence - time.Minute)
		f.requireRecord(gone.key())
		require.Contains(f.t, f.registry.addresses(""), addressOf(gone.IP))
		time.Sleep(2 * time.Minute)
		_, err := f.client.Get(f.t.Context(), gone.key())
		require.Error(f.t, err)
		require.NotContains(f.t, f.registry.addresses(""), addressOf(gone.IP))
		f.requireRecord(live.key())
		f.requireRecord(f.registry.own.key())
	})
}

// readCurrent has the registry read current records.
func (f fixture) readCurrent() {
	signal(f.registry.refresh)
	time.Sleep(time.Second)
}

// putMalformed stores values of another writer among the member records.
func (f fixture) putMalformed(values map[string]string) {
	for key, value := range values {
		_, err := f.client.Put(f.t.Context(), key, []byte(value), 0)
		require.NoError(f.t, err)
	}
}

// Guards against a record of another writer that hides the others, and against proofs that flows are lost which are never
// complete again, as one record can't be read.
func TestMalformedMemberRecords(t *testing.T) {
	runRegistry(t, otherMember, func(f fixture) {
		f.putMalformed(map[string]string{
			membersPrefix + "agent-10.0.0.2":     `{"role":"agent","ip":"10.0.0.2","zone":"a"}`,
			membersPrefix + "malformed":          `{"role":"agent","ip":"10.0.0.300"}`,
			membersPrefix + "agent-10.0.0.3:1e9": `{"role":"agent","ip":"10.0.0.3:70000"}`,
			membersPrefix + "agent-10.0.0.4":     `{"role":7,"ip":"10.0.0.4","port":1e400}`,
			membersPrefix + "agent-10.0.0.5":     `"` + strings.Repeat("[", 100) + `"`,
		})
		f.readCurrent()
		agent := func(ip string) uint32 { return addressOf(netip.MustParseAddr(ip)) }
		require.Equal(f.t, []uint32{agent("10.0.0.2")}, f.registry.addresses(roleAgent), "malformed records name nobody")
		members := f.registry.membership(0)
		require.True(f.t, members.Known)
		require.Equal(f.t, []uint32{agent("10.0.0.2"), agent("10.0.0.4"), agent("10.0.0.5")}, members.Agents,
			"agents whose records may have been replaced must answer")
		time.Sleep(absence.DefaultMinAbsence + time.Minute)
		f.readCurrent()
		require.Equal(f.t, []uint32{agent("10.0.0.2")}, f.registry.membership(0).Agents, "nobody heard from them")
	})
}

// Guards against a process that isn't listed, as another writer replaced its record by one that can't be read.
func TestOwnRecordReplacesMalformedOne(t *testing.T) {
	runRegistry(t, otherMember, func(f fixture) {
		key := f.registry.own.key()
		f.delete(key)
		f.putMalformed(map[string]string{key: `{"role":{"ip":[1e400]}}`})
		time.Sleep(listPause + time.Second)
		o, err := f.client.Get(f.t.Context(), key)
		require.NoError(f.t, err)
		require.JSONEq(f.t, `{"role":"entry","ip":"10.0.0.1","zone":"a"}`, string(o.Value))
	})
}

// Guards against a change of the seeds that keeps the old ones.
func TestSeedsAreReplaced(t *testing.T) {
	registry := &memberRegistry{own: memberRecord{IP: netip.MustParseAddr("10.0.0.1")}}
	registry.setSeeds([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1")})
	registry.setSeeds([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.3:1")})
	require.Equal(t, []uint32{addressOf(netip.MustParseAddr("10.0.0.3"))}, registry.addresses(roleEntry))
}

// Guards against an order of agents that changes when their processes restart, or that lacks one that moved to another service.
func TestJoinOrder(t *testing.T) {
	runRegistry(t, otherMember, func(f fixture) {
		write := func(ip, service string, base uint64) uint64 {
			r := memberRecord{Role: roleAgent, IP: netip.MustParseAddr(ip), Zone: "a", Service: service}
			value, err := json.Marshal(r)
			require.NoError(f.t, err)
			revision, err := f.client.Put(f.t.Context(), r.key(), value, base)
			require.NoError(f.t, err)
			return revision
		}
		first, second := addressOf(netip.MustParseAddr("10.0.0.8")), addressOf(netip.MustParseAddr("10.0.0.7"))
		reused := write("10.0.0.8", "rota", 0)
		write("10.0.0.7", "rota", 0)
		time.Sleep(listPause + time.Second)
		orders := f.registry.joinOrder()
		require.Len(f.t, orders, 2, "entries are left out")
		require.Less(f.t, orders[first], orders[second])
		write("10.0.0.8", "rota", reused)
		time.Sleep(listPause + time.Second)
		require.Equal(f.t, orders, f.registry.joinOrder(), "written again without a change")
		write("10.0.0.8", "draws", reused)
		time.Sleep(listPause + time.Second)
		require.Greater(f.t, f.registry.joinOrder()[first], orders[second])
	})
}
