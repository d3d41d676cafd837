package mesh_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	_ "endiveflow.example/endiveflow/testseed"
)

func endpoint(t *rapid.T, name string) flow.Endpoint {
	return flow.Endpoint{IP: rapid.Uint32().Draw(t, name+"IP"), Port: rapid.Uint16().Draw(t, name+"Port")}
}

// Guards against fields that overlap in the header or are not transmitted.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.Uint8Range(1, mesh.MaxCandidates).Draw(t, "count")
		in := mesh.Message{
			Kind: mesh.Kind(rapid.Uint8Range(1, uint8(mesh.KindFlowHolder)).Draw(t, "kind")), Service: rapid.Uint32().Draw(t, "service"),
			ConfigVersion: rapid.Uint64().Draw(t, "version"), Origin: rapid.Uint32().Draw(t, "origin"),
			Terms: mesh.Terms{
				Current: rapid.Uint8Range(0, count-1).Draw(t, "current"), Best: rapid.Uint8().Draw(t, "best"),
				BestLatency: mesh.Millis(rapid.Uint16().Draw(t, "bestLatency")), MustTake: rapid.Bool().Draw(t, "mustTake"),
				HandedOver: rapid.Bool().Draw(t, "handedOver"), Resent: rapid.Bool().Draw(t, "resent"), Priority: rapid.Uint8().Draw(t, "priority"),
				TargetLatency:      mesh.Millis(rapid.Uint16().Draw(t, "target")),
				TypicalServiceTime: mesh.Millis(rapid.Uint16().Draw(t, "typicalServiceTime")),
				Waited:             mesh.Millis(rapid.Uint16().Draw(t, "waited")),
			},
			Load: mesh.Load{
				Busy: rapid.Uint16().Draw(t, "busy"), Slots: rapid.Uint16().Draw(t, "slots"),
				ServiceTime: mesh.Millis(rapid.Uint16().Draw(t, "serviceTime")), Open: rapid.Bool().Draw(t, "open"),
			},
			Directories: [mesh.DirectoryCount]uint32{rapid.Uint32().Draw(t, "directory"), rapid.Uint32().Draw(t, "secondDirectory")},
			Step:        rapid.Uint8().Draw(t, "step"),
			Count:       count, Body: rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "body"),
		}
		switch in.Kind {
		case mesh.KindOffer, mesh.KindDeliver, mesh.KindSearch, mesh.KindAbsenceQuery:
			// The packet or the body of these identifies the flows.
			copy(in.ServiceDigest[:], rapid.SliceOfN(rapid.Byte(), len(in.ServiceDigest), len(in.ServiceDigest)).Draw(t, "digest"))
		default:
			in.Flow = flow.Key{Caller: endpoint(t, "caller"), Service: endpoint(t, "route")}
		}
		if in.Kind == mesh.KindOffer {
			in.Terms.WarmupRate = rapid.Uint16().Draw(t, "warmupRate")
		}
		for i := range count {
			in.Candidates[i] = rapid.Uint32().Draw(t, "candidate")
		}
		var out mesh.Message
		require.NoError(t, out.Decode(in.Append(nil)))
		require.ElementsMatch(t, in.Body, out.Body)
		in.Body, out.Body = nil, nil
		require.Equal(t, in, out)
	})
}

// Guards against the work of a host that is lost on its way, or read from messages of processes of earlier versions and of
// kinds that have other fields in its place.
func TestWorkIsTransmitted(t *testing.T) {
	in := mesh.Message{
		Kind: mesh.KindTaken, Terms: mesh.Terms{LongFlows: true, TypicalServiceTime: 17}, Load: mesh.Load{Slots: 2, WorkMs: 700, StandingMs: 650}, Body: []byte{},
	}
	var out mesh.Message
	require.NoError(t, out.Decode(in.Append(nil)))
	require.Equal(t, in, out)
	in.Load.WorkMs, in.Terms.TargetLatency = 0, 250
	require.NoError(t, out.Decode(in.Append(nil)))
	require.Zero(t, out.Load.StandingMs)
	in = mesh.Message{Kind: mesh.KindOffer, Count: 1, Terms: mesh.Terms{TargetLatency: 250}, Load: mesh.Load{WorkMs: 700, StandingMs: 650}}
	require.NoError(t, out.Decode(in.Append(nil)))
	require.Equal(t, mesh.Load{}, out.Load)
	require.Equal(t, mesh.Millis(250), out.Terms.TargetLatency)
}

// Guards against a message from an agent that replaces the load that an entry knows by one without work, so that the entry ranks
// all candidates by busy slots as beside agents of earlier versions.
func TestMessagesFromAgentsCarryWork(t *testing.T) {
	kinds := []mesh.Kind{mesh.KindTaken, mesh.KindPassed, mesh.KindRefused, mesh.KindMissing, mesh.KindAgentReport, mesh.KindAbsenceAnswer}
	for _, k := range kinds {
		t.Run(k.String(), func(t *testing.T) {
			in := mesh.Message{Kind: k, Load: mesh.Load{Slots: 2, WorkMs: 700, StandingMs: 650}}
			var out mesh.Message
			require.NoError(t, out.Decode(in.Append(nil)))
			require.Equal(t, in.Load, out.Load)
		})
	}
}

// Guards against panics and out-of-range reads on arbitrary datagrams.
func FuzzMessage(f *testing.F) {
	m := mesh.Message{Kind: mesh.KindOffer, Count: 2, Body: []byte("x")}
	f.Add(m.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m mesh.Message
		if m.Decode(b) != nil {
			return
		}
		require.LessOrEqual(t, int(m.Count), mesh.MaxCandidates)
		_, _ = mesh.DecodeReport[mesh.AgentReport](m.Body)
		_, _ = mesh.DecodeReport[mesh.EntryReport](m.Body)
	})
}

// Guards against a report that loses the incarnation or the state of a host.
func TestReportRoundTrip(t *testing.T) {
	in := mesh.AgentReport{
		IP: 7, Incarnation: 9, Version: 3, Service: "rota", Zone: "a", HostState: host.Draining, HostID: "i", HostStartedAt: 5, HostWarm: true,
	}
	b, err := mesh.EncodeReport(in)
	require.NoError(t, err)
	out, err := mesh.DecodeReport[mesh.AgentReport](b)
	require.NoError(t, err)
	require.Equal(t, in, out)
}

// Guards against durations that overflow in a message.
func TestMillis(t *testing.T) {
	require.Equal(t, mesh.Millis(0xffff), mesh.MillisOf(time.Hour))
	require.Zero(t, mesh.MillisOf(-time.Second))
	require.Equal(t, 26*time.Millisecond, mesh.MillisOf(26*time.Millisecond).Duration())
}
