package entry

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
)

const (
	serviceA = config.ServiceTag(0xa)
	serviceB = config.ServiceTag(0xb)
)

var start = time.Unix(1_800_000_000, 0)

func record(n int, service config.ServiceTag, incarnation member.Incarnation, state member.State) member.Record {
	tunnel := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 4000)
	return member.Record{
		ID:          member.IDOf(member.RoleAgent, tunnel),
		Role:        member.RoleAgent,
		Service:     service,
		Tunnel:      tunnel,
		Incarnation: incarnation,
		State:       state,
		Weight:      member.FullWeight,
	}
}

func placeOf(r member.Record) flowid.Place { return Observation{Record: r}.place() }

func builtin(config.ServiceTag) config.Policy { return config.BuiltinPolicy() }

// A wrong membership view must not reset the flows of more than ResetShare of a service's agents, of an
// agent that is alive, or of one that has been dead for less than ResetAfter.
func TestGonePlacesAreCapped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := config.BuiltinPolicy()
		policy.ResetShare = float64(rapid.IntRange(0, 100).Draw(t, "percent")) / 100
		states := rapid.SliceOfN(rapid.SampledFrom([]member.State{
			member.StateStarting, member.StateReady, member.StateDraining, member.StateLeft, member.StateDead,
		}), 0, 20).Draw(t, "states")
		var seen []Observation
		for i, state := range states {
			age := time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second
			seen = append(seen, Observation{Record: record(i, serviceA, 1, state), Since: start.Add(-age)})
		}
		gone := GonePlaces(seen, policy, start)
		require.LessOrEqual(t, float64(len(gone)), policy.ResetShare*float64(len(seen)))
		for _, o := range seen {
			reason, ok := gone[o.place()]
			require.False(t, ok && o.Record.Alive())
			require.False(t, reason == GoneDead && start.Sub(o.Since) < policy.ResetAfter)
		}
	})
}

// Guards against resets of live flows, which happen when the observer mistakes a newer incarnation for the
// one that it replaced, and against missing resets, which leave callers waiting for their timeout, when it
// forgets a replaced one.
func TestObserver(t *testing.T) {
	others := []member.Record{record(2, serviceA, 1, member.StateReady), record(3, serviceA, 1, member.StateReady)}
	at := func(r member.Record) []member.Record { return append(slices.Clone(others), r) }
	ready, left := record(1, serviceA, 5, member.StateReady), record(1, serviceA, 5, member.StateLeft)
	dead, successor := record(1, serviceA, 5, member.StateDead), record(1, serviceA, 6, member.StateReady)
	otherService := record(1, serviceB, 6, member.StateReady)
	// A newer incarnation with the same tag, the part that packets carry, as the one it replaces.
	sameTag := record(1, serviceA, 5<<16, member.StateReady)
	for name, c := range map[string]struct {
		steps []member.Record
		age   time.Duration
		want  map[flowid.Place]GoneReason
	}{
		"ready":                    {[]member.Record{ready}, time.Hour, nil},
		"left":                     {[]member.Record{ready, left}, 0, map[flowid.Place]GoneReason{placeOf(left): GoneLeft}},
		"fresh death":              {[]member.Record{ready, dead}, 10 * time.Second, nil},
		"old death":                {[]member.Record{ready, dead}, 11 * time.Second, map[flowid.Place]GoneReason{placeOf(dead): GoneDead}},
		"death seen again":         {[]member.Record{dead, dead.WithWeight(1)}, 10 * time.Second, map[flowid.Place]GoneReason{placeOf(dead): GoneDead}},
		"refuted death":            {[]member.Record{dead, ready}, time.Hour, nil},
		"replaced":                 {[]member.Record{ready, successor}, 0, map[flowid.Place]GoneReason{placeOf(ready): GoneReplaced}},
		"replaced, same tag":       {[]member.Record{ready, sameTag}, time.Hour, nil},
		"old record received last": {[]member.Record{successor, ready}, 0, map[flowid.Place]GoneReason{placeOf(ready): GoneReplaced}},
		"successor not yet seen":   {[]member.Record{dead}, time.Hour, map[flowid.Place]GoneReason{placeOf(dead): GoneDead}},
		"other service":            {[]member.Record{ready, otherService}, 0, map[flowid.Place]GoneReason{placeOf(ready): GoneReplaced}},
	} {
		t.Run(name, func(t *testing.T) {
			o := newObserver()
			var before []member.Record
			for i, r := range c.steps {
				o.update(before, at(r), start.Add(time.Duration(i)*time.Second))
				before = at(r)
			}
			gone, _ := o.gone(builtin, start.Add(c.age))
			if len(c.want) == 0 {
				require.Empty(t, gone)
				return
			}
			require.Equal(t, c.want, gone)
			require.NotContains(t, gone, placeOf(successor))
		})
	}
}

// The observer must keep a bounded history per address, and none for members that are no longer listed.
func TestObserverIsBounded(t *testing.T) {
	o := newObserver()
	var before []member.Record
	for n := range member.Incarnation(100) {
		records := []member.Record{record(1, serviceA, n*1000, member.StateReady)}
		o.update(before, records, start)
		before = records
	}
	require.Len(t, o.histories[before[0].Tunnel].replaced, maxReplaced)
	o.update(before, nil, start)
	require.Empty(t, o.histories)
}
