package main_test

import (
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pauseFor is longer than the time after which observers declare a silent
// agent of a small fleet dead.
const pauseFor = 6 * time.Second

// loadedFleet starts the fleet with callers of rota, and returns a function that ends them.
func loadedFleet(t *testing.T) (f *fleet, processes map[string]*exec.Cmd, rota *traffic, end func()) {
	t.Helper()
	f, processes = startedFleet(t)
	rota, end = f.startTraffic("rota", 8441)
	rota.progress(t)
	return f, processes, rota, end
}

// requireAtMostOnce checks that no request that may not be repeated ran twice,
// and that callers got every answer but those whose outcome is honestly unknown.
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
		lostFlow := strings.HasPrefix(fault, "flow broke")
		unknownPost := strings.Contains(fault, "POST") && strings.Contains(fault, "unknown")
		require.True(t, lostFlow || unknownPost, fault)
	}
}

// A paused agent still believes that it holds its keys when it resumes. Neither
// its old requests nor their repeats elsewhere may run twice.
func TestPausedAgentRunsNothingTwice(t *testing.T) {
	f, processes, rota, end := loadedFleet(t)

	agent := processes["agent-rota-1"].Process
	require.NoError(t, agent.Signal(syscall.SIGSTOP))
	time.Sleep(pauseFor)
	rota.progress(t)
	require.NoError(t, agent.Signal(syscall.SIGCONT))
	rota.progress(t)
	f.awaitReady("21")

	end()
	requireAtMostOnce(t, f, rota)
}

// Callers of a killed agent must not wait for their timeouts: its next
// incarnation ends their flows, they open new ones and go on.
func TestKilledAgentIsReplaced(t *testing.T) {
	f, processes, rota, end := loadedFleet(t)

	require.NoError(t, processes["agent-rota-1"].Process.Kill())
	_ = processes["agent-rota-1"].Wait()
	f.start("agent-rota-1", "agent")
	f.awaitReady("21")
	rota.progress(t)

	end()
	requireAtMostOnce(t, f, rota)
	require.Contains(t, strings.Join(rota.faults, "\n"), "stateless reset", "no flow was ended by the next incarnation")
}

// The planned stop of an agent as a process must cost no caller an answer: its
// flows end by GOAWAY when nothing is in flight, and callers go on elsewhere.
func TestAgentStopsGracefully(t *testing.T) {
	f, processes, rota, end := loadedFleet(t)

	requireGraceful(t, processes["agent-rota-1"])
	rota.progress(t)

	end()
	requireAtMostOnce(t, f, rota)
	for _, fault := range rota.faults {
		require.Contains(t, fault, "flow broke", "a planned stop cost an answer")
	}
}
