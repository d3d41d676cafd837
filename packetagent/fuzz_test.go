package packetagent_test

import (
	"testing"

	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packettest"
)

// Guards against a datagram of another process or a packet of the host that ends the process.
func FuzzReceive(f *testing.F) {
	offer := mesh.Message{
		Kind: mesh.KindOffer, Service: mesh.ServiceTag(packettest.FirstService), Origin: packettest.Address(1), Count: 1,
		Candidates: [mesh.MaxCandidates]uint32{packettest.Address(100)}, Body: packettest.Open(packettest.Key(1), 0),
	}
	f.Add([]byte{0, byte(mesh.KindDeliver)}, offer.Append(nil))
	f.Add([]byte{byte(mesh.KindSearch), byte(mesh.KindLocated)}, offer.Append(nil))
	f.Add([]byte{0}, packettest.Accept(packettest.Key(1), 7))
	f.Fuzz(func(_ *testing.T, kinds, datagram []byte) {
		fleet := packettest.NewFleet(1)
		fleet.AddEntry(packettest.Address(1))
		a := fleet.AddAgent(packettest.Address(100), packettest.FirstService)
		for _, kind := range kinds[:min(len(kinds), 16)] {
			d := append([]byte(nil), datagram...)
			if len(d) > 1 && kind != 0 {
				d[1] = kind
			}
			a.Receive(d)
			a.FromHost(append([]byte(nil), datagram...))
			fleet.Run(30e6)
		}
	})
}
