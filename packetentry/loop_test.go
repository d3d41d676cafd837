package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packettest"
)

// Guards against an entry and a directory agent that pass a packet to and fro without end: the agent that took the flow
// is not among the entry's agents, as after the loss of its VM.
func TestSearchForFlowOfRemovedAgentEnds(t *testing.T) {
	type sent struct {
		to uint32
		m  mesh.Message
	}
	var queue []sent
	e := newEntry(t, func(ip uint32, d []byte) {
		var m mesh.Message
		require.NoError(t, m.Decode(append([]byte(nil), d...)))
		queue = append(queue, sent{ip, m})
	})
	for n := range 8 {
		reportAgent(t, e, n, host.Ready, mesh.Load{Slots: 4, Open: true})
	}
	// An agent that the entry has no report of.
	taken := mesh.Message{Kind: mesh.KindTaken, Origin: packettest.Address(150), Flow: packettest.Key(1), ConfigVersion: 1}
	e.Receive(taken.Append(nil))
	e.FromCaller(packettest.Request(packettest.Key(1), 7, 100))
	n := 0
	for ; len(queue) > 0 && n < 1000; n++ {
		s := queue[0]
		queue = queue[1:]
		if s.m.Kind == mesh.KindSearch && s.m.Step < mesh.StepAll {
			// The agent has no record of the flow.
			missing := mesh.Message{Kind: mesh.KindMissing, Origin: s.to, Flow: packettest.Key(1), Step: s.m.Step, ConfigVersion: 1, Body: s.m.Body}
			e.Receive(missing.Append(nil))
		}
	}
	require.Less(t, n, 100, "datagrams for one packet of a caller")
}

// Guards against the same in a fleet: the VM of a flow's agent is lost, and the entry has removed its record.
func TestPacketOfFlowOfLostVMIsNotPassedWithoutEnd(t *testing.T) {
	f, callers := newFleet(2, 8)
	c := callers.Start(f, packettest.Key(1), through(f.Entries[0]))
	f.Run(200 * time.Millisecond)
	owner := f.Owner(c.Key, c.InitialSeq)
	owner.Up, owner.Host.Up = false, false
	for range 20 {
		f.Run(2 * time.Second)
		f.FromCaller(f.Entries[0], packettest.Packet{Flow: c.Key, Flags: packettest.ACK, Seq: 1101, Ack: c.InitialSeq + 1}.Bytes())
	}
	searchesBefore := f.Traffic[f.Entries[0].IP].ForCallers
	c.Request()
	f.Run(5 * time.Second)
	require.Less(t, f.Traffic[f.Entries[0].IP].ForCallers-searchesBefore, 100, "datagrams for 4 copies of a packet")
}

// Guards against a search that skips the first directory agent of a flow: the agent that the entry expected to have the flow
// returned its packet, which is no step of a search.
func TestSearchAfterReturnedPacketBeginsWithFirstDirectoryAgent(t *testing.T) {
	var steps []uint8
	var delivered uint8
	e := newEntry(t, func(_ uint32, d []byte) {
		var m mesh.Message
		require.NoError(t, m.Decode(d))
		switch m.Kind {
		case mesh.KindDeliver:
			delivered = m.Step
		case mesh.KindSearch:
			steps = append(steps, m.Step)
		}
	})
	for n := range 8 {
		reportAgent(t, e, n, host.Ready, mesh.Load{Slots: 4, Open: true})
	}
	agent := packettest.Address(100)
	taken := mesh.Message{Kind: mesh.KindTaken, Origin: agent, Flow: packettest.Key(1), ConfigVersion: 1}
	e.Receive(taken.Append(nil))
	packet := packettest.Request(packettest.Key(1), 7, 100)
	e.FromCaller(packet)
	missing := mesh.Message{Kind: mesh.KindMissing, Origin: agent, Flow: packettest.Key(1), Step: delivered, ConfigVersion: 1, Body: packet}
	e.Receive(missing.Append(nil))
	require.Equal(t, []uint8{0}, steps)
}
