package packetentry

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/rotation"
)

// Guards against a delayed report that reverts the state of an entry, and against a missing field that counts as a capacity.
func TestZoneMembersFromReports(t *testing.T) {
	r := newRoster(Config{IP: 1, Zone: "a", Now: func() time.Duration { return time.Second }})
	report := mesh.EntryReport{IP: 2, Incarnation: 1, Zone: "a", LinkBytesPerSecond: 25e6, CPUMilli: 800, LoadBytesPerSecond: 7}
	for _, status := range []mesh.RotationStatus{{Version: 1}, {State: rotation.Unavailable, Version: 3}, {Version: 2}} {
		report.Rotation = status
		r.updateEntry(report)
	}
	require.Equal(t, []rotation.Member{{IP: 2, Capacity: 25e6, Load: 7, State: rotation.Unavailable}}, r.zoneMembers(time.Second, 0))
	require.Equal(t, rotation.Unavailable, r.zoneMembers(time.Hour, 0)[0].State)

	before, err := cbor.Marshal(map[int]any{1: 3, 2: 1, 3: "a"})
	require.NoError(t, err)
	report, err = mesh.DecodeReport[mesh.EntryReport](before)
	require.NoError(t, err)
	r = newRoster(r.cfg)
	r.updateEntry(report)
	require.Equal(t, []rotation.Member{{IP: 3}}, r.zoneMembers(time.Second, 0))
	require.Equal(t, rotation.Unavailable, r.zoneMembers(time.Minute, 0)[0].State, "silent")
	require.Equal(t, rotation.Active, r.zoneMembers(time.Minute, time.Minute-time.Second)[0].State, "silent while the entry was full")
}

// Guards against a load that swings with the time at which it is read.
func TestTrafficMeter(t *testing.T) {
	var m trafficMeter
	m.received.Add(1000)
	m.sent.Add(3000)
	require.Zero(t, m.perSecond(trafficWindow-1))
	require.EqualValues(t, 1500, m.perSecond(2*trafficWindow))
	m.received.Add(500)
	require.EqualValues(t, 1500, m.perSecond(2*trafficWindow+1))
	require.EqualValues(t, 500, m.perSecond(3*trafficWindow))
}
