package packetagent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packettest"
)

// Guards against an agent that forgets after some seconds that its host doesn't have a flow, and gives the host another packet
// of the flow.
func TestAbsenceIsRememberedWhileAgentIsYoung(t *testing.T) {
	a := newTestAgent(t)
	a.heartbeat("h", agentStartedAt-60_000, 40, host.Ready)
	k := packettest.Key(1)
	probes := 0
	for a.now < 30*time.Second {
		a.receive(mesh.KindSearch, packettest.Request(k, 90_001, 100))
		for _, p := range a.takeSentToHost() {
			probes++
			a.FromHost(packettest.Bounce(p))
		}
		a.now += 1600 * time.Millisecond
		a.Sweep()
	}
	require.Equal(t, 1, probes, "packets at a host that doesn't have the flow")
}
