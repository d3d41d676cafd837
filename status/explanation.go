package status

import (
	"net/netip"

	"endiveflow.example/endiveflow/config"
)

// Explanation is what GET /explain of an entry answers: why new flows of a
// service go where they go, where settings come from and, if asked for, where
// the packets of one flow go.
type Explanation struct {
	Service string               `json:"service"`
	Agents  []AgentExplanation   `json:"agents"`
	Policy  []config.Explanation `json:"policy"`
	Flow    *FlowExplanation     `json:"flow,omitempty"`
}

// AgentExplanation says how the entry treats one agent.
type AgentExplanation struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	State   string         `json:"state"`
	// Weight is the share of new flows in percent.
	Weight   uint8  `json:"weight"`
	NewFlows bool   `json:"newFlows"`
	Reason   string `json:"reason"`
}

// FlowExplanation says what the entry does with the packets of one connection ID.
type FlowExplanation struct {
	ConnectionID string `json:"connectionId"`
	// Agent is where established packets go; it is invalid for an ID that no agent issued.
	Agent  netip.AddrPort `json:"agent"`
	Reason string         `json:"reason"`
}
