package packetagent

import (
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
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
	// probeAcknowledged is a bare acknowledgement, which doesn't show that the flow is open at the host.
	probeAcknowledged probeOutcome = "acknowledged"
	// probeLearned is any other packet of the flow.
	probeLearned probeOutcome = "learned"
)

// probe gives the host a packet of a flow that the agent has no record of.
func (a *Agent) probe(m *mesh.Message, s flow.Segment, context uint32) {
	reason := probeReasonOf(m)
	probes[reason].Inc()
	if a.cfg.Log.AllowRare() {
		a.cfg.Log.Info("probe", "flow", s.Key.String(), "outcome", "given to the host", "reason", reason, "step", mesh.DirectoryPosition(m.Step),
			"entry", flow.IPText(m.Origin), "fin", s.IsFIN, "dataBytes", s.DataBytes)
	}
	a.sendToHost(m.Body, context)
}

// recordProbeAbsence records that the host doesn't have a flow according to its answer, which may be one to a probe. It
// returns the search for the flow like recordAbsence.
func (a *Agent) recordProbeAbsence(key flow.Key, outcome probeOutcome) search {
	previous := a.recordAbsence(key)
	if !previous.awaitsOutcome() {
		return previous
	}
	probeOutcomes[outcome].Inc()
	if a.cfg.Log.AllowRare() {
		a.cfg.Log.Info("probe", "flow", key.String(), "outcome", outcome)
	}
	return previous
}

// awaitsOutcome reports whether the host was probed and has not answered.
func (s search) awaitsOutcome() bool { return s.probed && !s.bounced }
