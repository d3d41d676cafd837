package packetentry_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packettest"
)

// Guards against packets of an open flow that are searched for at all agents although an agent has said that it has the
// flow: the entry has just started and has no report of that agent yet.
func TestPacketsGoToAgentThatHasNotReportedYet(t *testing.T) {
	var delivered, searched []uint32
	e := newEntry(t, func(ip uint32, d []byte) {
		var m mesh.Message
		require.NoError(t, m.Decode(d))
		switch m.Kind {
		case mesh.KindDeliver:
			require.Equal(t, mesh.ServiceTag(packettest.FirstService), m.Service)
			delivered = append(delivered, ip)
		case mesh.KindSearch:
			searched = append(searched, ip)
		}
	})
	for n := range 6 {
		reportAgent(t, e, n, host.Ready, mesh.Load{Slots: 4, Open: true})
	}
	owner := packettest.Address(150)
	taken := mesh.Message{
		Kind: mesh.KindTaken, Origin: owner, Service: mesh.ServiceTag(packettest.FirstService), Flow: packettest.Key(1), ConfigVersion: 1,
	}
	e.Receive(taken.Append(nil))
	e.FromCaller(packettest.Request(packettest.Key(1), 7, 100))
	assert.Equal(t, []uint32{owner}, delivered)
	assert.Empty(t, searched)
}

// Guards against packets of a flow that reach another service: the address of the agent that took the flow belongs to an
// agent of another service since.
func TestPacketsDoNotFollowReusedAddress(t *testing.T) {
	reused := packettest.Address(100)
	var services []uint32
	e := newEntry(t, func(ip uint32, d []byte) {
		var m mesh.Message
		require.NoError(t, m.Decode(d))
		if ip == reused && m.Kind == mesh.KindDeliver {
			services = append(services, m.Service)
		}
	})
	reportAgent(t, e, 0, host.Ready, mesh.Load{Slots: 4, Open: true})
	taken := mesh.Message{
		Kind: mesh.KindTaken, Origin: reused, Service: mesh.ServiceTag(packettest.FirstService), Flow: packettest.Key(1), ConfigVersion: 1,
	}
	e.Receive(taken.Append(nil))
	packet := packettest.Request(packettest.Key(1), 7, 100)
	e.FromCaller(packet)
	require.Equal(t, []uint32{mesh.ServiceTag(packettest.FirstService)}, services)
	body, err := mesh.EncodeReport(mesh.AgentReport{IP: reused, Incarnation: 2, Version: 1, Service: packettest.SecondService, HostState: host.Ready})
	require.NoError(t, err)
	m := mesh.Message{Kind: mesh.KindAgentReport, Origin: reused, ConfigVersion: 1, Body: body, Load: mesh.Load{Slots: 4, Open: true}}
	e.Receive(m.Append(nil))
	e.FromCaller(packet)
	require.Len(t, services, 1, "a packet was delivered to the other service")
}
