package packetentry_test

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetentry"
	"endiveflow.example/endiveflow/packettest"
)

const rendezvousAgents = 24

// byRendezvous returns the addresses of the agents in rendezvous order for a flow.
func byRendezvous(k flow.Key) []uint32 {
	ips := make([]uint32, rendezvousAgents)
	for n := range ips {
		ips[n] = packettest.Address(100 + n)
	}
	weight := func(ip uint32) uint64 { return flow.Mix(k.Hash() ^ flow.Mix(uint64(ip))) }
	slices.SortFunc(ips, func(a, b uint32) int { return cmp.Compare(weight(b), weight(a)) })
	return ips
}

// newRecordingEntry returns an entry with agents, of which those that open selects take flows, and what it sends to them.
func newRecordingEntry(t *testing.T, open func(ip uint32) bool) (*packetentry.Entry, map[mesh.Kind][]mesh.Message, map[uint8][]uint32) {
	t.Helper()
	messages, searched := map[mesh.Kind][]mesh.Message{}, map[uint8][]uint32{}
	e := newEntry(t, func(ip uint32, d []byte) {
		var m mesh.Message
		require.NoError(t, m.Decode(slices.Clone(d)))
		messages[m.Kind] = append(messages[m.Kind], m)
		if m.Kind == mesh.KindSearch {
			searched[m.Step] = append(searched[m.Step], ip)
		}
	})
	for n := range rendezvousAgents {
		reportAgent(t, e, n, host.Ready, mesh.Load{Slots: 4, Open: open(packettest.Address(100 + n))})
	}
	return e, messages, searched
}

// returnSearches has the agents that are asked as directory agents return a packet.
func returnSearches(e *packetentry.Entry, k flow.Key, packet []byte) {
	order := byRendezvous(k)
	for position := range mesh.DirectorySteps {
		m := mesh.Message{
			Kind: mesh.KindMissing, Origin: order[position], Flow: k, Step: mesh.DirectoryStep(position), ConfigVersion: 1, Body: packet,
		}
		e.Receive(m.Append(nil))
	}
}

// Guards against candidates that other entries can't compute: the flow would not be found among the first agents.
func TestCandidatesAreFirstAgentsThatTakeFlows(t *testing.T) {
	k := packettest.Key(1)
	order := byRendezvous(k)
	e, messages, _ := newRecordingEntry(t, func(ip uint32) bool { return ip != order[0] && ip != order[3] })
	e.FromCaller(packettest.Open(k, 0))
	require.Len(t, messages[mesh.KindOffer], 1)
	offer := messages[mesh.KindOffer][0]
	require.Equal(t, [mesh.DirectoryCount]uint32{order[0], order[1]}, offer.Directories)
	require.ElementsMatch(t, append(order[1:3:3], order[4:10]...), offer.Candidates[:offer.Count])
}

// Guards against a search that goes from the directory agents to all agents at once, and against a step that agents of earlier
// versions don't know: they would return the packet without probing their hosts.
func TestSearchAsksFirstAgentsBeforeAll(t *testing.T) {
	k := packettest.Key(1)
	order := byRendezvous(k)
	e, _, searched := newRecordingEntry(t, func(ip uint32) bool { return ip != order[5] })
	packet := packettest.Request(k, 7, 100)
	e.FromCaller(packet)
	returnSearches(e, k, packet)
	require.ElementsMatch(t, order[:mesh.MaxCandidates], searched[mesh.StepAll])
}

// Guards against a search at all agents for a flow that the entry itself offered, when the notice of the agent that took it was
// lost: that agent need not be among the first.
func TestSearchAsksAgentsThatGotTheOffer(t *testing.T) {
	k := packettest.Key(1)
	order := byRendezvous(k)
	e, _, searched := newRecordingEntry(t, func(ip uint32) bool { return ip == order[20] || ip == order[22] })
	e.FromCaller(packettest.Open(k, 0))
	packet := packettest.Request(k, 7, 100)
	e.FromCaller(packet)
	returnSearches(e, k, packet)
	require.ElementsMatch(t, append(order[:mesh.MaxCandidates:mesh.MaxCandidates], order[20], order[22]), searched[mesh.StepAll])
}

// Guards against a budget that searches for found flows use up: after a restart of all processes, most flows would not be
// searched for. Only failed searches are bounded.
func TestFoundSearchReturnsItsCost(t *testing.T) {
	const flows = 400
	for name, found := range map[string]bool{"found": true, "not found": false} {
		t.Run(name, func(t *testing.T) {
			e, _, searched := newRecordingEntry(t, func(uint32) bool { return true })
			for n := range flows {
				k := packettest.Key(n)
				packet := packettest.Request(k, 7, 100)
				e.FromCaller(packet)
				returnSearches(e, k, packet)
				if found {
					taken := mesh.Message{Kind: mesh.KindTaken, Origin: byRendezvous(k)[2], Flow: k, ConfigVersion: 1}
					e.Receive(taken.Append(nil))
				}
			}
			if found {
				require.Len(t, searched[mesh.StepAll], flows*mesh.MaxCandidates)
			} else {
				require.Less(t, len(searched[mesh.StepAll]), flows/2*mesh.MaxCandidates)
			}
		})
	}
}
