package entry

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/netip"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/status"
)

// explainer serves the operators' explain requests.
type explainer struct {
	board *node.Board
	ids   *flowid.Codec
}

// explain explains the service in the query, a host if the query names one, and a flow if the query has a
// connection ID in hexadecimal digits.
func (e *explainer) explain(_ context.Context, query map[string]string) (any, error) {
	name := query["service"]
	tag := config.TagOf(name)
	if _, _, ok := e.board.Config.Service(tag); !ok {
		return nil, errors.NotFoundf("service %q", name)
	}
	host, _ := netip.ParseAddr(query["host"])
	out := status.Explanation{Service: name, Policy: e.board.Config.Explain(name, host)}
	for _, r := range e.board.Members.AgentsOfService(tag) {
		newFlows, reason := e.acceptsNewFlows(r)
		out.Agents = append(out.Agents, status.AgentExplanation{
			Address: r.Tunnel, Zone: r.Zone, State: r.State.String(), Weight: r.Weight, NewFlows: newFlows, Reason: reason,
		})
	}
	if id := query["flow"]; id != "" {
		flow, err := e.explainFlow(id, tag)
		if err != nil {
			return nil, err
		}
		out.Flow = flow
	}
	return out, nil
}

// explainFlow returns the agent that receives packets with a connection ID from callers of a service, and the
// reason.
func (e *explainer) explainFlow(text string, tag config.ServiceTag) (*status.FlowExplanation, error) {
	id, err := hex.DecodeString(text)
	if err != nil {
		return nil, errors.NewNotValid(err, "connection ID")
	}
	out := &status.FlowExplanation{ConnectionID: text}
	place, err := e.ids.Decode(id)
	switch {
	case err != nil:
		out.Reason = "no agent issued it: a first flight goes to an agent by rendezvous hashing"
	case place.Service != tag:
		out.Reason = "issued by an agent of another service: its packets are dropped here"
	default:
		out.Agent = place.Agent
		out.Reason = e.agentReason(place, tag)
	}
	return out, nil
}

// agentReason describes the state of the agent that issued a connection ID.
func (e *explainer) agentReason(place flowid.Place, tag config.ServiceTag) string {
	for _, r := range e.board.Members.AgentsOfService(tag) {
		switch {
		case r.Tunnel != place.Agent:
		case r.Incarnation.Tag() != place.Incarnation:
			return "issued by a former incarnation of this agent, which ends the flow with a reset"
		default:
			return "issued by this agent, whose state is " + r.State.String()
		}
	}
	return "issued by this agent, of which this entry has no record; packets are sent there regardless"
}

// acceptsNewFlows reports whether an agent gets new flows from this entry, and why.
func (e *explainer) acceptsNewFlows(r member.Record) (bool, string) {
	switch {
	case !e.board.Config.AllowsHost(r.Service, r.Tunnel.Addr()):
		return false, "no Upstream of the service allows the host"
	case e.board.Members.Suspect(r.ID):
		return false, "this entry misses heartbeats of the agent"
	case r.State != member.StateReady:
		return false, "state is " + r.State.String()
	case r.Weight == 0:
		return false, "weight is 0"
	case r.Weight < member.FullWeight:
		return true, fmt.Sprintf("slow start at %d%%", r.Weight)
	}
	return true, "ready"
}
