package packetagent

import (
	"bytes"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/platform"
)

// probeReason is why a packet of a flow that the agent has no record of is given to the host.
type probeReason string

const (
	// probeExpected: an entry that expects the flow at this agent delivered the packet.
	probeExpected probeReason = "expected"
	// probeForwarded: a directory agent forwarded the search to this agent.
	probeForwarded probeReason = "forwarded"
	// probeAll: an entry searched at all agents.
	probeAll probeReason = "all"
)

// probeReasonOf returns the reason for a probe with the packet of a message.
func probeReasonOf(m *mesh.Message) probeReason {
	switch {
	case m.Kind == mesh.KindDeliver:
		return probeExpected
	case m.Terms.Resent:
		return probeForwarded
	}
	return probeAll
}

// probeOutcome is the host's first answer to a probe.
type probeOutcome string

const (
	probeBounced probeOutcome = "bounced"
	probeReset   probeOutcome = "reset"
	// probeAcknowledged is a bare acknowledgement. It shows that the flow is open at the host unless the probe closed it.
	probeAcknowledged probeOutcome = "acknowledged"
	// probeSilent: the host answered neither the first nor a second packet.
	probeSilent probeOutcome = "silent"
	// probeLearned is any other packet of the flow.
	probeLearned probeOutcome = "learned"
)

// maxWaiting is the maximum number of packets of a flow that wait for the host's answer to a probe. Callers have at most 16
// packets in flight.
const maxWaiting = 16

// probe is the state of a probe that the host has not answered. A host that doesn't have the flow bounces the first packet at once.
// One that has it may be silent, as it waits for the rest of a request: hosts acknowledge every second packet.
type probe struct {
	// seq is the sequence number of the first packet that the host was given, hasFIN whether that packet closes the flow.
	seq    uint32
	hasFIN bool
	// secondGiven reports whether the host was given a second packet.
	secondGiven bool
	// decided is when the host must have answered the last packet that it was given.
	decided time.Duration
	// waiting are the messages with further packets of the flow, at most maxWaiting.
	waiting []mesh.Message
}

// awaitProbe handles a packet of a flow with which the host was probed, and reports whether it did: the packet waits for the
// host's answer, or is the second one that the host is given. Copies of the first packet can't show more than that one.
func (a *Agent) awaitProbe(m *mesh.Message, s flow.Segment) bool {
	now := a.cfg.Now()
	shard := a.searches.Lock(s.Key)
	found := shard.Get(s.Key)
	if found == nil || !found.awaitsOutcome() || s.DataBytes == 0 || s.Seq == found.probe.seq {
		shard.Unlock()
		return false
	}
	if now < found.probe.decided {
		waits := len(found.probe.waiting) < maxWaiting
		if waits {
			waiting := *m
			waiting.Body = bytes.Clone(m.Body)
			found.probe.waiting = append(found.probe.waiting, waiting)
		}
		shard.Unlock()
		return waits
	}
	if found.probe.secondGiven {
		shard.Unlock()
		return false
	}
	found.probe.secondGiven, found.probe.decided = true, now+a.cfg.AnswerTimeout
	shard.Unlock()
	a.giveSecond(s.Key, m.Body)
	return true
}

// giveSecond gives the host the second packet of a flow with which it was probed.
func (a *Agent) giveSecond(key flow.Key, packet []byte) {
	secondProbes.Inc()
	a.startAnswerTimer(key)
	a.sendToHost(packet, contextProbe)
}

// handleProbeTimeout handles the end of the time in which the host must have answered a probe. If it didn't, it is given the second
// packet of the flow; one that doesn't answer that either doesn't have the flow.
func (a *Agent) handleProbeTimeout(key flow.Key, now time.Duration) {
	shard := a.searches.Lock(key)
	found := shard.Get(key)
	if found == nil || !found.awaitsOutcome() || now < found.probe.decided {
		shard.Unlock()
		return
	}
	if found.probe.secondGiven {
		shard.Unlock()
		a.recordProbeAbsence(key, probeSilent)
		return
	}
	if len(found.probe.waiting) == 0 {
		shard.Unlock()
		return
	}
	second := found.probe.waiting[0]
	found.probe.waiting = found.probe.waiting[1:]
	found.probe.secondGiven, found.probe.decided = true, now+a.cfg.AnswerTimeout
	shard.Unlock()
	a.giveSecond(key, second.Body)
}

// resume handles the messages that waited for the answer to a probe.
func (a *Agent) resume(waiting []mesh.Message) {
	for i := range waiting {
		m := &waiting[i]
		s, err := platform.DecodePacket(m.Body, platform.FromCaller)
		switch {
		case err != nil:
			badPackets.Inc()
		case m.Kind == mesh.KindDeliver:
			a.handleDeliver(m, s)
		default:
			a.handleSearch(m, s)
		}
	}
}

// isProbeConfirmed reports whether the host's acknowledgement without data shows that it has a flow with which it was probed. A host also
// acknowledges the FIN of a flow that has ended at it.
func (a *Agent) isProbeConfirmed(key flow.Key) bool {
	shard := a.searches.Lock(key)
	defer shard.Unlock()
	found := shard.Get(key)
	return found != nil && found.awaitsOutcome() && !found.probe.hasFIN
}

// probe gives the host a packet of a flow that the agent has no record of.
func (a *Agent) probe(m *mesh.Message, s flow.Segment, context uint32) {
	reason := probeReasonOf(m)
	probes[reason].Inc()
	if a.cfg.Log.AllowRare() {
		a.cfg.Log.Info("probe", "flow", s.Key.String(), "outcome", "given to the host", "reason", reason, "step", mesh.DirectoryPosition(m.Step),
			"entry", flow.IPText(m.Origin), "fin", s.IsFIN, "dataBytes", s.DataBytes)
	}
	a.startAnswerTimer(s.Key)
	a.sendToHost(m.Body, context)
}

// recordProbeAbsence records that the host doesn't have a flow according to its answer, which may be one to a probe. It
// returns the search for the flow like recordAbsence.
func (a *Agent) recordProbeAbsence(key flow.Key, outcome probeOutcome) search {
	previous := a.recordAbsence(key)
	if previous.awaitsOutcome() {
		a.logProbeOutcome(key, outcome)
	}
	a.resume(previous.probe.waiting)
	return previous
}

func (a *Agent) logProbeOutcome(key flow.Key, outcome probeOutcome) {
	probeOutcomes[outcome].Inc()
	if a.cfg.Log.AllowRare() {
		a.cfg.Log.Info("probe", "flow", key.String(), "outcome", outcome)
	}
}

// awaitsOutcome reports whether the host was probed and has not answered.
func (s search) awaitsOutcome() bool { return s.probed && !s.bounced }
