package packetagent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowabsence"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packettest"
)

// verdict returns the agent's answer to the question whether its host has a flow.
func (a *testAgent) verdict(key flow.Key) flowabsence.Verdict {
	a.t.Helper()
	a.takeSentToMembers()
	q := mesh.AbsenceQuery{Serial: 1, Keys: []flow.Key{key}}
	m := mesh.Message{Kind: mesh.KindAbsenceQuery, Service: mesh.ServiceTag(service), Origin: entryIP, ConfigVersion: 1, Body: q.Append(nil)}
	a.Receive(m.Append(nil))
	sent := a.takeSentToMembers()
	require.Len(a.t, sent, 1)
	answer, err := mesh.DecodeAbsenceAnswer(sent[0].Body)
	require.NoError(a.t, err)
	require.Len(a.t, answer.Verdicts, 1)
	return flowabsence.Verdict(answer.Verdicts[0])
}

// Guards against an agent that vouches for a host with flows that it hasn't seen, which leads to resets of open flows, and
// against one that vouches for nothing, with which no lost flow is reset.
func TestVerdictOnFlow(t *testing.T) {
	key := packettest.Key(1)
	t.Run("no report of the host", func(t *testing.T) {
		require.Equal(t, flowabsence.Unknown, newTestAgent(t).verdict(key))
	})
	t.Run("nothing listens at the host's address", func(t *testing.T) {
		a := newTestAgent(t)
		a.HostDown()
		require.Equal(t, flowabsence.Absent, a.verdict(key))
		require.True(t, a.Report(time.Second).HostDown)
		a.heartbeat("i-1", agentStartedAt-60_000, 50, host.Ready)
		require.Equal(t, flowabsence.Unknown, a.verdict(key), "the host listens after all")
		require.False(t, a.Report(time.Second).HostDown)
	})
	for name, c := range map[string]struct {
		startedAt int64
		sequence  uint64
		want      flowabsence.Verdict
	}{
		"the host started later":                        {agentStartedAt + 5_000, 1, flowabsence.Absent},
		"both started together":                         {agentStartedAt - 30, 1, flowabsence.Absent},
		"the host started before":                       {agentStartedAt - 300, 1, flowabsence.Unknown},
		"a host that has run for long, a stepped clock": {agentStartedAt + 5_000, 3, flowabsence.Unknown},
		"an agent that restarted, a clock set right":    {agentStartedAt + 1_300, 2, flowabsence.Unknown},
		"a host without a start time":                   {0, 1, flowabsence.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestAgent(t)
			a.heartbeat("i-1", c.startedAt, c.sequence, host.Ready)
			require.Equal(t, c.want, a.verdict(key))
		})
	}
	t.Run("an open flow", func(t *testing.T) {
		a := newTestAgent(t)
		a.heartbeat("i-1", hostStartedAt, 1, host.Ready)
		a.openFlow(key)
		require.Equal(t, flowabsence.Present, a.verdict(key))
	})
	t.Run("a host that left", func(t *testing.T) {
		a := newTestAgent(t)
		a.heartbeat("i-1", agentStartedAt-60_000, 50, host.Draining)
		require.Equal(t, flowabsence.Unknown, a.verdict(key))
		require.NoError(t, a.HostLeft("i-1"))
		require.Equal(t, flowabsence.Absent, a.verdict(key))
	})
}
