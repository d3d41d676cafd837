package host_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/host"
	_ "endiveflow.example/endiveflow/testseed"
)

func report(id string, startedAt int64, sequence uint64, state host.State) host.Report {
	return host.Report{ID: id, StartedAt: startedAt, Sequence: sequence, State: state, Slots: 4}
}

// Guards against a late heartbeat of a previous incarnation that replaces the current one.
func TestDelayedHeartbeatOfFormerHost(t *testing.T) {
	var tr host.Tracker
	require.Equal(t, host.Replaced, tr.Update(report("a", 100, 5, host.Ready)))
	require.Equal(t, host.Replaced, tr.Update(report("b", 200, 1, host.Ready)))
	require.Equal(t, host.Outdated, tr.Update(report("a", 100, 6, host.Ready)))
	current, _ := tr.Current()
	require.Equal(t, "b", current.ID)
}

// Guards against a host that restarts under the same ID and whose reports count as outdated, because its
// sequence numbers start again.
func TestRestartUnderSameID(t *testing.T) {
	var tr host.Tracker
	tr.Update(report("a", 100, 50, host.Draining))
	require.Equal(t, host.Replaced, tr.Update(report("a", 300, 1, host.Ready)))
	require.Equal(t, host.Outdated, tr.Update(report("a", 100, 51, host.Draining)))
	current, _ := tr.Current()
	require.Equal(t, host.Ready, current.State)
}

// Guards against new flows for a host that announced its shutdown, if one of its heartbeats was still in
// transit.
func TestGoneIsFinal(t *testing.T) {
	var tr host.Tracker
	tr.Update(report("a", 100, 5, host.Draining))
	require.False(t, tr.MarkGone("b"))
	require.True(t, tr.MarkGone("a"))
	require.Equal(t, host.Outdated, tr.Update(report("a", 100, 6, host.Ready)))
	require.Equal(t, host.Replaced, tr.Update(report("c", 101, 1, host.Ready)))
}

// Guards against a final state that depends on the order of arrival.
func TestNewestReportWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []host.Report
		for startedAt := int64(1); startedAt <= 3; startedAt++ {
			for sequence := uint64(1); sequence <= 4; sequence++ {
				reports = append(reports, report("h", startedAt, sequence, host.Ready))
			}
		}
		seed := rapid.Uint64().Draw(t, "seed")
		rand.New(rand.NewPCG(seed, 0)).Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		var tr host.Tracker
		for _, r := range reports {
			tr.Update(r)
		}
		current, ok := tr.Current()
		require.True(t, ok)
		require.Equal(t, report("h", 3, 4, host.Ready), current)
	})
}
