package packettest

import (
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/platform"
)

// Traffic counts the datagrams that a process sent to other processes.
type Traffic struct {
	// ForCallers counts packets and copies that callers sent, on their way to an agent, Own the repeats of the
	// process itself, further steps of searches, and reports.
	ForCallers, Own int
	// Searches counts the datagrams of searches among these, Bytes the bytes of all datagrams.
	Searches, Bytes int
}

// countTraffic counts a datagram that a process sends.
func (f *Fleet) countTraffic(from uint32, datagram []byte) {
	var m mesh.Message
	if m.Decode(datagram) != nil || m.Kind == mesh.KindMarker {
		return
	}
	t := f.Traffic[from]
	if t == nil {
		t = new(Traffic)
		f.Traffic[from] = t
	}
	t.Bytes += len(datagram)
	if m.Kind == mesh.KindSearch {
		t.Searches++
	}
	callersCopy := false
	if m.Kind == mesh.KindOffer {
		s, err := platform.DecodePacket(m.Body, platform.FromCaller)
		callersCopy = err == nil && s.Ack > 0
	}
	switch {
	case m.Kind == mesh.KindDeliver, m.Kind == mesh.KindOffer && (!m.Terms.Resent || callersCopy), m.Kind == mesh.KindSearch && m.Step == 0:
		t.ForCallers++
	case m.Kind == mesh.KindOffer, m.Kind == mesh.KindSearch, m.Kind == mesh.KindAgentReport, m.Kind == mesh.KindEntryReport,
		m.Kind == mesh.KindEcho, m.Kind == mesh.KindEchoed:
		t.Own++
	}
}
