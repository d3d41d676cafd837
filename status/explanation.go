package status

import (
	"net/netip"

	"endiveflow.example/endiveflow/config"
)

// Explanation is the answer of an entry to GET /explain. It explains how new flows of a service are distributed,
// where its settings come from and, on request, where the packets of one flow are sent.
type Explanation struct {
	Service string               `json:"service"`
	Agents  []AgentExplanation   `json:"agents"`
	Policy  []config.Explanation `json:"policy"`
	Flow    *FlowExplanation     `json:"flow,omitempty"`
}

// AgentExplanation explains how the entry treats one agent.
type AgentExplanation struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	State   string         `json:"state"`
	// Weight is the relative share of new flows in percent.
	Weight   uint8  `json:"weight"`
	NewFlows bool   `json:"newFlows"`
	Reason   string `json:"reason"`
}

// FlowExplanation explains how the entry treats packets with one connection ID.
type FlowExplanation struct {
	ConnectionID string `json:"connectionId"`
	// Agent receives the packets of the established flow. It is invalid for a connection ID that no agent has
	// issued.
	Agent  netip.AddrPort `json:"agent"`
	Reason string         `json:"reason"`
}
