package control

import (
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
	_ "endiveflow.example/endiveflow/testseed"
)

func testSealer(t require.TestingT) *fleetkey.Sealer {
	ring, err := fleetkey.New(fleetkey.Config{Keys: []fleetkey.Key{{ID: 1, Secret: make([]byte, fleetkey.MinSecretBytes)}}})
	require.NoError(t, err)
	s, err := ring.Sealer(fleetkey.PurposeControl)
	require.NoError(t, err)
	return s
}

func drawAddress(t *rapid.T) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip")))
	return netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port"))
}

func drawRecord(t *rapid.T) member.Record {
	r := member.Record{
		Role: member.Role(rapid.IntRange(1, 2).Draw(t, "role")), Zone: rapid.StringN(0, 20, maxZone).Draw(t, "zone"),
		Tunnel: drawAddress(t), Control: drawAddress(t), Peer: drawAddress(t),
		Incarnation: member.Incarnation(rapid.Uint64Min(1).Draw(t, "incarnation")), Version: rapid.Uint32().Draw(t, "version"),
		State: member.State(rapid.IntRange(1, 5).Draw(t, "state")), Slots: rapid.Uint16().Draw(t, "slots"),
		Weight: uint8(rapid.IntRange(0, 100).Draw(t, "weight")),
	}
	if r.Role == member.RoleAgent {
		r.Service = config.ServiceTag(rapid.Uint32Min(1).Draw(t, "service"))
	}
	r.ID = member.IDOf(r.Role, r.Control)
	return r
}

// A field lost in encoding would make a member's own view differ from all others. A message above the size that
// packRecords and gossip assume would be dropped.
func TestRecordsRoundTrip(t *testing.T) {
	s := testSealer(t)
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 60).Draw(t, "records")
		var ended []member.Summary
		for range rapid.IntRange(0, 100).Draw(t, "ended") {
			ended = append(ended, member.Summary{ID: 1 << 63, Incarnation: 1 << 63, Version: 1 << 31, State: member.StateDead})
		}
		to, from := drawAddress(t), drawAddress(t)
		var got []member.Record
		gotEnded := 0
		for _, m := range packRecords(records, ended) {
			data, err := seal(s, KindRecords, m, to)
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), maxDatagram)
			d, err := open(s, data, from, to)
			require.NoError(t, err)
			body, err := decode[Records](d)
			require.NoError(t, err)
			part, invalid := fromWire(body.Records)
			require.Zero(t, invalid)
			got = append(got, part...)
			gotEnded += len(fromWireSummaries(body.Ended))
		}
		require.Equal(t, len(ended), gotEnded)
		require.Len(t, got, len(records))
		for i := range records {
			require.Equal(t, records[i], got[i])
		}
	})
}

// A datagram recorded for one process must not be accepted by another one, nor as another kind.
func TestDatagramIsBoundToKindAndReceiver(t *testing.T) {
	s := testSealer(t)
	a, b := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")
	data, err := seal(s, KindProbe, Probe{}, a)
	require.NoError(t, err)
	_, err = open(s, data, b, b)
	require.ErrorIs(t, err, errors.Unauthorized)
	data[0] = byte(KindRecordRequest)
	_, err = open(s, data, b, a)
	require.ErrorIs(t, err, errors.Unauthorized)
}

// An invalid record would receive flows or corrupt the indexes.
func TestInvalidRecordsAreRejected(t *testing.T) {
	valid := toWire(member.Record{Role: member.RoleAgent, Service: 1, Incarnation: 1, State: member.StateReady})
	_, err := valid.record()
	require.NoError(t, err)
	for name, change := range map[string]func(*wireRecord){
		"addresses":   func(w *wireRecord) { w.Addresses = w.Addresses[1:] },
		"role":        func(w *wireRecord) { w.Role = 3 },
		"state":       func(w *wireRecord) { w.State = 6 },
		"incarnation": func(w *wireRecord) { w.Incarnation = 0 },
		"weight":      func(w *wireRecord) { w.Weight = 101 },
		"service":     func(w *wireRecord) { w.Service = 0 },
		"zone":        func(w *wireRecord) { w.Zone = string(make([]byte, maxZone+1)) },
	} {
		w := valid
		change(&w)
		_, err := w.record()
		require.ErrorIs(t, err, errors.NotValid, name)
	}
}

// The loops of both roles must handle or reject any message body, which may come from a faulty peer or one of
// another version, without a panic.
func FuzzBody(f *testing.F) {
	for kind, body := range map[Kind]any{
		KindHeartbeat: Heartbeat{SummaryDigest: 1 << 60}, KindHeartbeatAnswer: HeartbeatAnswer{Interval: 32},
		KindGroupDigests: GroupDigests{Digests: make([]byte, 128)},
		KindRecords: Records{
			Records: []wireRecord{{Role: 2, Zone: "okn-a", Service: 1, Addresses: make([]byte, addressBytes), Incarnation: 1, State: 2}},
			Ended:   []wireSummary{{}}, Deaths: make([]byte, 13),
		},
		KindBucketDigests: BucketDigests{Group: 31, Digests: make([]byte, 128)},
		KindSummaries:     Summaries{Scope: agentScope, Summaries: []wireSummary{{}}},
		KindRecordRequest: RecordRequest{IDs: []member.ID{1}}, KindOpinionRequest: OpinionRequest{},
		KindOpinionAnswer: OpinionAnswer{Opinion: 2}, KindObjectRequest: ObjectRequest{Hashes: []uint64{1}},
		KindObjectOffer: ObjectOffer{Hashes: []uint64{1}, LargeHashes: []uint64{2}}, KindObjects: Objects{Objects: [][]byte{{1}}},
		KindConfigBucketDigests: ConfigBucketDigests{Digests: make([]byte, 1024)},
		KindConfigHashes:        ConfigHashes{Bucket: 255, Hashes: []uint64{1}},
	} {
		plain, err := encMode.Marshal(body)
		require.NoError(f, err)
		f.Add(byte(kind), plain)
	}
	entry, agent := newRegion(f, 50), newAgentHarness(f)
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		if kind == 0 || Kind(kind) >= kindEnd {
			return
		}
		for _, from := range []netip.AddrPort{benchAddress(1, 1), benchAddress(2, 1), benchAddress(3, 1)} {
			d := datagram{kind: Kind(kind), from: from, body: body}
			if err := entry.loop.handle(d, true, entry.now); err != nil {
				require.ErrorIs(t, err, errors.NotValid)
			}
			if err := agent.loop.handle(d, agent.now); err != nil {
				require.ErrorIs(t, err, errors.NotValid)
			}
		}
		entry.replies, agent.pending = nil, nil
	})
}

// Datagrams must be rejected unless they were sealed for this process.
func FuzzDatagram(f *testing.F) {
	s := testSealer(f)
	self := netip.MustParseAddrPort("10.0.0.1:7")
	data, err := seal(s, KindProbe, Probe{}, self)
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := open(s, data, self, self); err != nil {
			require.NotEmpty(t, dropReason(err))
		}
	})
}
