package soak_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/soak"
)

// regressions are seeds that failed in the past, with the cause of each failure, and one with restores of the
// store. Restores change which faults a seed gives.
var regressions = []struct {
	name     string
	seed     uint64
	restores bool
}{
	// A restarted host accepted flows before its first heartbeat, which then ended them.
	{"flows before the first heartbeat", 1, false},
	// A host whose port had refused a connection once was never used again.
	{"refused connection", 104, false},
	// A paused agent reset flows that had been opened at another host meanwhile.
	{"flows opened elsewhere", 109, false},
	{"restored store", 2, true},
}

// Guards against guarantees that the real programs violate under faults: flows reset while their hosts run,
// changed packets, new flows at draining or wrong hosts or on removed routes, processes that end unexpectedly,
// and no recovery after the faults.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "endiveflow-node")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/endiveflow-node").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, r := range regressions {
		t.Run(r.name, func(t *testing.T) {
			report, err := soak.Run(t.Context(), soak.Config{Program: program, Dir: t.TempDir(), Seed: r.seed, Restores: r.restores, FaultTime: 8 * time.Second})
			require.NoError(t, err)
			var timeline strings.Builder
			require.NoError(t, report.WriteTimeline(&timeline))
			require.Empty(t, report.Failures, timeline.String())
			require.Positive(t, report.Opened)
			t.Log(timeline.String())
		})
	}
}
