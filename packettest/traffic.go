package packettest

import "endiveflow.example/endiveflow/mesh"

// Traffic counts the datagrams that a process sent to other processes.
type Traffic struct {
	// ForCallers counts packets of callers on their way to an agent for the first time, Own all repeats,
	// further steps of searches, and reports.
	ForCallers, Own int
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
	switch {
	case m.Kind == mesh.KindDeliver, m.Kind == mesh.KindOffer && !m.Terms.Resent, m.Kind == mesh.KindSearch && m.Step == 0:
		t.ForCallers++
	case m.Kind == mesh.KindOffer, m.Kind == mesh.KindSearch, m.Kind == mesh.KindAgentReport, m.Kind == mesh.KindEntryReport,
		m.Kind == mesh.KindEcho, m.Kind == mesh.KindEchoed:
		t.Own++
	}
}
