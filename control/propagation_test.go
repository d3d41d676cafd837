package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

const (
	// propagationTarget is the time within which an accepted change must be in force on every node.
	propagationTarget = 20 * time.Second
	// changedObjectBytes is the size of a Service object with a few prefixes.
	changedObjectBytes = 300
	changeCount        = 5
	// agentsPerService is the number of hosts of a service at the target size.
	agentsPerService = 16
	// changeInterval is the time between two changes, long enough for each to reach every node.
	changeInterval = 15 * time.Second
)

func sentBytes() uint64 {
	return metrics.GetOrCreateCounter("endiveflow_control_sent_bytes_total").Get()
}

// applyChanges applies a series of changes and returns the longest time until the last node had one.
func (f *fleet) applyChanges() time.Duration {
	var slowest time.Duration
	for version := range uint64(changeCount) {
		start := time.Now()
		f.entries[0].applyFromStore(object("Service/rota", 1+version, changedObjectBytes))
		f.within(propagationTarget, "in effect", func() bool { return f.inEffect(f.entries[0]) })
		slowest = max(slowest, time.Since(start))
		time.Sleep(changeInterval - time.Since(start))
	}
	return slowest
}

// A change must be in force at every entry and agent of a region within the target, whatever the number of
// entries. The log shows the time until the last node has a change, and the bytes that all processes send per
// change and entry; docs/CAPACITY.md uses the slopes.
func TestConfigPropagationTime(t *testing.T) {
	for _, entries := range []int{5, 20, 80} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			simulate(t, 21, entries, agentsPerService, func(f *fleet) {
				start := sentBytes()
				time.Sleep(changeCount * changeInterval)
				idle := sentBytes() - start
				slowest := f.applyChanges()
				changing := sentBytes() - start - idle
				t.Logf("%d entries, %d agents: last node after %s at most; %.0f bytes per entry and change, idle %.0f bytes a second per entry",
					entries, agentsPerService, slowest.Round(time.Millisecond),
					(float64(changing)-float64(idle))/changeCount/float64(entries),
					float64(idle)/(changeCount*changeInterval).Seconds()/float64(entries))
				require.Less(t, slowest, propagationTarget)
			})
		})
	}
}
