package entry

import (
	"encoding/hex"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/status"
	"endiveflow.example/endiveflow/testkit"
)

// The explanation of a captured packet must name the agent that the forwarder sends it to.
func TestExplainFlow(t *testing.T) {
	ids, err := flowid.New(flowid.Config{Ring: testkit.Ring(t, 1)})
	require.NoError(t, err)
	b := node.NewBoard(member.Record{Role: member.RoleEntry, Control: netip.MustParseAddrPort("10.0.0.1:7002")}, slog.New(slog.DiscardHandler))
	b.Config.Apply(config.Object{Key: config.Key{Kind: config.KindService, Name: "rota"}, Version: 1, Service: &config.Service{}})
	agent := member.Record{
		Role: member.RoleAgent, Service: config.TagOf("rota"), Tunnel: netip.MustParseAddrPort("10.0.0.7:7001"),
		Control: netip.MustParseAddrPort("10.0.0.7:7002"), Incarnation: 77, State: member.StateDraining,
	}
	agent.ID = member.IDOf(agent.Role, agent.Control)
	b.Members.Merge([]member.Record{agent})
	ex := &explainer{board: b, ids: ids}

	own := flowid.Place{Agent: agent.Tunnel, Service: agent.Service, Incarnation: agent.Incarnation.Tag()}
	former, unknown, foreign := own, own, own
	former.Incarnation++
	unknown.Agent = netip.MustParseAddrPort("10.0.0.8:7001")
	foreign.Service++
	for place, reason := range map[flowid.Place]string{
		own:     "state is draining",
		former:  "former incarnation",
		unknown: "has no record",
		foreign: "another service",
	} {
		id, err := ids.NewGenerator(place).GenerateConnectionID()
		require.NoError(t, err)
		requireReason(t, ex, hex.EncodeToString(id.Bytes()), reason)
	}
	requireReason(t, ex, "0011223344556677", "no agent issued it")
	_, err = ex.explain(t.Context(), map[string]string{"service": "rota", "flow": "no digits"})
	require.ErrorIs(t, err, errors.NotValid)
}

func requireReason(t *testing.T, ex *explainer, id, reason string) {
	t.Helper()
	answer, err := ex.explain(t.Context(), map[string]string{"service": "rota", "flow": id})
	require.NoError(t, err)
	require.Contains(t, answer.(status.Explanation).Flow.Reason, reason)
}
