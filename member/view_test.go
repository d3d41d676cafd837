package member_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
	_ "endiveflow.example/endiveflow/testseed"
)

func addr(host byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000)
}

func agent(host byte, incarnation member.Incarnation, version uint32, state member.State) member.Record {
	return member.Record{
		ID: member.IDOf(member.RoleAgent, addr(host)), Role: member.RoleAgent, Service: 1 + config.ServiceTag(host%2),
		Control: addr(host), Incarnation: incarnation, Version: version, State: state, Weight: member.FullWeight,
	}
}

func drawAgent(t *rapid.T) member.Record {
	return agent(byte(rapid.IntRange(1, 4).Draw(t, "host")), member.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		uint32(rapid.IntRange(0, 3).Draw(t, "version")), member.State(rapid.IntRange(1, 5).Draw(t, "state")))
}

// newest is the model: the newest summary merged so far for each ID.
type newest map[member.ID]member.Summary

func (n newest) add(s member.Summary) {
	if old, ok := n[s.ID]; !ok || s.Newer(old) {
		n[s.ID] = s
	}
}

func requireNewest(t require.TestingT, v *member.View, want newest) {
	digest := uint64(0)
	for id, s := range want {
		got, ok := v.Summary(id)
		require.True(t, ok)
		require.Equal(t, s, got)
		if s.Alive() {
			digest ^= s.Digest()
		}
	}
	got := uint64(0)
	for _, g := range v.GroupDigests() {
		got ^= g
	}
	require.Equal(t, digest, got)
}

// Records arrive repeatedly, with delay and in any order, and ended ones are removed in between. If an older
// record replaced a newer one, flows would be routed to a process that has ended. If the digests were not
// kept in line with the records, the digests of two views would never match again.
func TestNewestRecordWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, want, now := member.NewView(), newest{}, time.Now()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := drawAgent(t)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				now = now.Add(time.Minute)
				v.Prune(now, 2*time.Minute)
				continue
			case 1:
				v.MergeEnded([]member.Summary{r.Summary()})
				if !r.Alive() {
					want.add(r.Summary())
				}
			default:
				v.Merge([]member.Record{r})
				want.add(r.Summary())
			}
			v.SetSuspect(r.ID, true)
			v.SetConfigDigest(r.ID, 7)
			requireNewest(t, v, want)
		}
	})
}

// The indexes duplicate the records. One that is not kept up to date would hide an agent from routing or
// send flows to a removed one.
func TestIndexesMatchRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, now := member.NewView(), time.Now()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			v.Merge([]member.Record{drawAgent(t)})
			now = now.Add(time.Minute)
			v.Prune(now, 3*time.Minute)
			var indexed, bucketed []member.Record
			for tag := range config.ServiceTag(3) {
				indexed = append(indexed, v.AgentsOfService(tag)...)
			}
			for b := range member.DigestBuckets {
				bucketed = append(bucketed, v.InBucket(b)...)
			}
			require.ElementsMatch(t, v.Records(), indexed)
			require.ElementsMatch(t, v.Records(), bucketed)
		}
	})
}

// When tombstones have been evicted, a delayed copy of a record without a tombstone must still be rejected,
// and a live member that raises its version must be accepted.
func TestEvictedTombstonesKeepOldRecordsOut(t *testing.T) {
	v := member.NewView()
	const ended = 1<<17 + 1<<15
	record := func(i int) member.Record {
		return member.Record{ID: member.ID(uint64(i) * 0x9e3779b97f4a7c15), Incarnation: member.Incarnation(i), Version: 5, State: member.StateReady}
	}
	for i := 1; i <= ended; i++ {
		v.MergeEnded([]member.Summary{record(i).Summary().Ended()})
	}
	require.Less(t, len(v.Tombstones()), 1<<17+1)
	for i := 1; i <= ended; i++ {
		require.Empty(t, v.Merge([]member.Record{record(i)}))
	}
	superseding, superseded := v.Superseding(record(1).Summary())
	require.True(t, superseded)
	returned := record(1)
	returned.Version = superseding.Version + 1
	require.Len(t, v.Merge([]member.Record{returned}), 1)
}

// Only the members observed by an entry that joins or fails may get other observers. If all moved, every
// member would lose its observers at once.
func TestObserversAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]member.Record, rapid.IntRange(3, 40).Draw(t, "entries"))
		for i := range entries {
			entries[i] = member.Record{ID: member.IDOf(member.RoleEntry, addr(byte(i))), Role: member.RoleEntry}
		}
		id := member.ID(rapid.Uint64().Draw(t, "id"))
		before := member.Observers(id, entries, member.ObserverCount)
		removed := rapid.IntRange(0, len(entries)-1).Draw(t, "removed")
		after := member.Observers(id, append(append([]member.Record(nil), entries[:removed]...), entries[removed+1:]...), member.ObserverCount)
		require.Len(t, before, member.ObserverCount)
		for _, e := range before {
			if e.ID != entries[removed].ID {
				require.Contains(t, after, e)
			}
		}
	})
}

// At the target size 21 agents and 2 entries send heartbeats to an entry. The interval must keep them
// below half of 2 KB/s.
func TestHeartbeatIntervalStaysWithinBudget(t *testing.T) {
	require.Equal(t, time.Second, member.HeartbeatInterval(3, 150))
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 10000).Draw(t, "senders")
		perSecond := float64(n*150) / member.HeartbeatInterval(n, 150).Seconds()
		require.LessOrEqual(t, perSecond, float64(member.HeartbeatBytesPerSecond)+0.01)
	})
}
