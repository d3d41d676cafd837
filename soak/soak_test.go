package soak_test

import (
	"cmp"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/soak"
)

// cases are seeds that failed in the past, with the cause of each failure, and one with restores of the store.
// Restores change which faults a seed gives.
var cases = []struct {
	name string
	cfg  soak.Config
}{
	// A restarted host accepted flows before its first heartbeat, which then ended them.
	{"flows before the first heartbeat", soak.Config{Seed: 1}},
	// A host whose port had refused a connection once was never used again.
	{"refused connection", soak.Config{Seed: 104}},
	// A paused agent reset flows that had been opened at another host meanwhile.
	{"flows opened elsewhere", soak.Config{Seed: 109}},
	// No failure in the past: evacuations, and failures of all processes with and without their hosts.
	{"evacuations and mass failures", soak.Config{Seed: 8, Evacuations: true, MassFailures: true}},
	{"restored store", soak.Config{Seed: 2, Restores: true}},
	// No failure in the past: a route that moves between two services while all processes are killed.
	{"moved routes and mass failures", soak.Config{Seed: 43001, Moves: true, MassFailures: true, FlowsPerSecond: 100}},
	// Entries asked the directory agents that rendezvous hashing gave after hosts had joined or left, which had not
	// been told where the flow is. Agents that had just started gave its packets to their hosts.
	{"hosts join during rolling restart of entries", soak.Config{
		Seed: 90062, Restores: true, Series: true, FaultTime: seriesTime, Entries: 6, Hosts: 12, FlowsPerSecond: 100,
	}},
	{"hosts join during rolling restart of agents", soak.Config{
		Seed: 90060, Restores: true, Series: true, FaultTime: seriesTime, Entries: 6, Hosts: 12, FlowsPerSecond: 100,
	}},
}

const (
	faultTime = 8 * time.Second
	// seriesTime is shorter, as these cases run more processes.
	seriesTime = 6 * time.Second
)

// Guards against guarantees that the real programs violate under faults: flows reset while their hosts run, packets of
// open flows that only reach other hosts, changed packets, new flows at draining or wrong hosts, in evacuated zones or on removed routes,
// processes that end unexpectedly, and no recovery after the faults.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "endiveflow-node")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/endiveflow-node").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := c.cfg
			cfg.Program, cfg.Dir, cfg.FaultTime = program, t.TempDir(), cmp.Or(cfg.FaultTime, faultTime)
			report, err := soak.Run(t.Context(), cfg)
			require.NoError(t, err)
			var timeline strings.Builder
			require.NoError(t, report.WriteTimeline(&timeline))
			require.Empty(t, report.Failures, timeline.String())
			require.Positive(t, report.Opened)
			require.Equal(t, cfg.Evacuations, report.EvacuationChecks > 0, timeline.String())
			t.Log(timeline.String())
		})
	}
}
