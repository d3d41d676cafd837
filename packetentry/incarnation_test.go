package packetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/rotation"
)

// Guards against reports of a restarted process that count as those of a former one until its record is removed after half a
// minute of silence: its clock was set back before it started, or its address belonged to a VM whose clock was ahead.
func TestReportsOfProcessWhoseClockIsBehind(t *testing.T) {
	now := time.Duration(0)
	newTestRoster := func() *roster { return newRoster(Config{IP: 1, Zone: "a", Now: func() time.Duration { return now }}) }
	t.Run("agent", func(t *testing.T) {
		r := newTestRoster()
		former := mesh.AgentReport{IP: 2, Incarnation: 5000, Version: 9, Service: "rota", HostState: host.Ready}
		r.updateAgent(former, mesh.Load{Slots: 4, Open: true})
		restarted := mesh.AgentReport{IP: 2, Incarnation: 3000, Service: "draws", HostState: host.Draining}
		for range 3 {
			now += time.Second
			restarted.Version++
			r.updateAgent(restarted, mesh.Load{Slots: 4})
		}
		require.Equal(t, restarted, *r.agent(2).report.Load())
		require.Len(t, r.serviceAgents("draws"), 1)
		former.Version++
		r.updateAgent(former, mesh.Load{Slots: 4, Open: true})
		require.Equal(t, restarted, *r.agent(2).report.Load(), "a delayed report of the former process")
	})
	t.Run("agent after a planned stop", func(t *testing.T) {
		r := newTestRoster()
		r.updateAgent(mesh.AgentReport{IP: 2, Incarnation: 5000, Version: 9, Service: "rota", HostState: host.Ready, Leaving: true}, mesh.Load{})
		restarted := mesh.AgentReport{IP: 2, Incarnation: 3000, Version: 1, Service: "rota", HostState: host.Ready}
		isNew, _ := r.updateAgent(restarted, mesh.Load{Slots: 4, Open: true})
		require.True(t, isNew)
		require.False(t, r.agent(2).isClosing())
	})
	t.Run("entry", func(t *testing.T) {
		r := newTestRoster()
		r.updateEntry(mesh.EntryReport{IP: 2, Incarnation: 5000, Zone: "a", Rotation: mesh.RotationStatus{State: rotation.Unavailable, Version: 9}})
		for version := range uint64(3) {
			now += time.Second
			r.updateEntry(mesh.EntryReport{IP: 2, Incarnation: 3000, Zone: "a", Rotation: mesh.RotationStatus{State: rotation.Active, Version: version + 1}})
		}
		require.Equal(t, []rotation.Member{{IP: 2, State: rotation.Active}}, r.zoneMembers(now, 0))
	})
	t.Run("entry of a version that doesn't number its reports", func(t *testing.T) {
		r := newTestRoster()
		r.updateEntry(mesh.EntryReport{IP: 2, Incarnation: 5000, Zone: "a"})
		for range 3 {
			now += time.Second
			r.updateEntry(mesh.EntryReport{IP: 2, Incarnation: 3000, Zone: "b"})
		}
		require.Equal(t, "b", r.entries[2].report.Zone)
	})
}

// Guards against delayed reports of a former process that replace those of the running one.
func TestDelayedReportsOfFormerProcess(t *testing.T) {
	now := time.Duration(0)
	r := newRoster(Config{IP: 1, Zone: "a", Now: func() time.Duration { return now }})
	live := mesh.AgentReport{IP: 2, Incarnation: 5000, Service: "rota", HostState: host.Ready}
	for n := range uint64(20) {
		live.Version = n + 1
		r.updateAgent(live, mesh.Load{Slots: 4, Open: true})
		now += time.Second / 2
		r.updateAgent(mesh.AgentReport{IP: 2, Incarnation: 3000, Version: n + 1, Service: "rota", HostState: host.Draining}, mesh.Load{})
		require.Equal(t, live, *r.agent(2).report.Load())
		now += time.Second / 2
	}
}
