package packetentry_test

import (
	"testing"

	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packettest"
)

// Guards against a datagram, or a sequence of them, that ends the process. The first byte of the input selects the kind of
// each message that the rest is decoded as, so that most inputs are well-formed in part.
func FuzzReceive(f *testing.F) {
	taken := mesh.Message{Kind: mesh.KindTaken, Origin: packettest.Address(100), Flow: packettest.Key(1), ConfigVersion: 1}
	offer := mesh.Message{Kind: mesh.KindOffer, Origin: packettest.Address(1), Count: 1, Candidates: [mesh.MaxCandidates]uint32{packettest.Address(100)}, Body: packettest.Open(packettest.Key(1), 0)}
	f.Add([]byte{0}, taken.Append(nil))
	f.Add([]byte{byte(mesh.KindPassed), byte(mesh.KindRefused), byte(mesh.KindMissing)}, offer.Append(nil))
	f.Add([]byte{byte(mesh.KindEntryReport), byte(mesh.KindAgentReport), byte(mesh.KindEchoed), byte(mesh.KindMarker)}, taken.Append(nil))
	f.Fuzz(func(t *testing.T, kinds, datagram []byte) {
		c := newClockedEntry(t, 3)
		reportAgent(t, c.Entry, 3, host.Draining, mesh.Load{Slots: 1})
		for i, kind := range kinds[:min(len(kinds), 16)] {
			c.FromCaller(packettest.Open(packettest.Key(1), uint32(i%3)))
			c.FromCaller(packettest.Request(packettest.Key(1), 7, 10))
			d := append([]byte(nil), datagram...)
			if len(d) > 1 && kind != 0 {
				d[1] = kind
			}
			c.Receive(d)
			c.FromCaller(append([]byte(nil), datagram...))
			c.run(40e6)
		}
	})
}
