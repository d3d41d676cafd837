package main_test

import (
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pauseDuration is longer than the time after which observers declare a silent
// agent of a small fleet dead.
const pauseDuration = 6 * time.Second

// startFleetWithTraffic starts the fleet and callers of rota, and returns a function that stops the
// callers.
func startFleetWithTraffic(t *testing.T) (f *fleet, processes map[string]*exec.Cmd, rota *traffic, end func()) {
	t.Helper()
	f, processes = startFleet(t)
	rota, end = f.startTraffic("rota", 8441)
	rota.awaitProgress(t)
	return f, processes, rota, end
}

// requireAtMostOnce checks that no non-repeatable request ran twice, and that the only faults of callers
// are broken flows and POST requests with an unknown outcome.
func requireAtMostOnce(t *testing.T, f *fleet, c *traffic) {
	t.Helper()
	for id, n := range f.executed() {
		if strings.Contains(id, "POST") {
			require.Equal(t, 1, n, "request %s", id)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Logf("%d answers, %d faults", c.answered.Load(), len(c.faults))
	for _, fault := range c.faults {
		brokenFlow := strings.HasPrefix(fault, "flow broke")
		unknownPost := strings.Contains(fault, "POST") && strings.Contains(fault, "unknown")
		require.True(t, brokenFlow || unknownPost, fault)
	}
}

// When a paused agent resumes, it still acts as the home of its keys. Neither its old requests nor their
// repeats at other agents may run twice.
func TestPausedAgentRunsNothingTwice(t *testing.T) {
	f, processes, rota, end := startFleetWithTraffic(t)

	agent := processes["agent-rota-1"].Process
	require.NoError(t, agent.Signal(syscall.SIGSTOP))
	time.Sleep(pauseDuration)
	rota.awaitProgress(t)
	require.NoError(t, agent.Signal(syscall.SIGCONT))
	rota.awaitProgress(t)
	f.awaitReady("21")

	end()
	requireAtMostOnce(t, f, rota)
}

// Callers of a killed agent must not wait for their timeouts: its next incarnation resets their flows, and
// they continue on new ones.
func TestKilledAgentIsReplaced(t *testing.T) {
	f, processes, rota, end := startFleetWithTraffic(t)

	require.NoError(t, processes["agent-rota-1"].Process.Kill())
	_ = processes["agent-rota-1"].Wait()
	f.start("agent-rota-1", "agent")
	f.awaitReady("21")
	rota.awaitProgress(t)

	end()
	requireAtMostOnce(t, f, rota)
	require.Contains(t, strings.Join(rota.faults, "\n"), "stateless reset", "no flow was ended by the next incarnation")
}

// No request may fail when an agent process is stopped gracefully: its flows end by GOAWAY when no request
// is in flight, and callers continue at other agents.
func TestAgentStopsGracefully(t *testing.T) {
	f, processes, rota, end := startFleetWithTraffic(t)

	requireGracefulStop(t, processes["agent-rota-1"])
	rota.awaitProgress(t)

	end()
	requireAtMostOnce(t, f, rota)
	for _, fault := range rota.faults {
		require.Contains(t, fault, "flow broke", "an answer was lost in a graceful stop")
	}
}
