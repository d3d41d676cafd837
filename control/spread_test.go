package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

const (
	// inForceEverywhere is the target for an accepted change.
	inForceEverywhere = 20 * time.Second
	// spreadObjectBytes is the size of a Service object with a few prefixes.
	spreadObjectBytes = 300
	spreadChanges     = 5
	// agentsOfService is the number of hosts of a service at the target size.
	agentsOfService = 16
	// spreadEvery is the time between two changes, in which each has reached every node.
	spreadEvery = 15 * time.Second
)

func sentBytes() uint64 {
	return metrics.GetOrCreateCounter("endiveflow_control_sent_bytes_total").Get()
}

// spread applies changes and returns the longest time to the last node.
func (f *fleet) spread() time.Duration {
	var slowest time.Duration
	for version := range uint64(spreadChanges) {
		start := time.Now()
		f.entries[0].accept(object("Service/rota", 1+version, spreadObjectBytes))
		f.within(inForceEverywhere, "in effect", func() bool { return f.inEffect(f.entries[0]) })
		slowest = max(slowest, time.Since(start))
		time.Sleep(spreadEvery - time.Since(start))
	}
	return slowest
}

// A change must be in force at every entry and agent of a region within the
// target, however many entries there are. The log gives the time to the last
// node and the bytes that all processes send for one change, per entry;
// docs/CAPACITY.md uses the slopes.
func TestSpreadOfChanges(t *testing.T) {
	for _, entries := range []int{5, 20, 80} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			simulate(t, 21, entries, agentsOfService, func(f *fleet) {
				start := sentBytes()
				time.Sleep(spreadChanges * spreadEvery)
				idle := sentBytes() - start
				slowest := f.spread()
				changing := sentBytes() - start - idle
				t.Logf("%d entries, %d agents: last node after %s at most; %.0f bytes per entry and change, idle %.0f bytes a second per entry",
					entries, agentsOfService, slowest.Round(time.Millisecond),
					(float64(changing)-float64(idle))/spreadChanges/float64(entries),
					float64(idle)/(spreadChanges*spreadEvery).Seconds()/float64(entries))
				require.Less(t, slowest, inForceEverywhere)
			})
		})
	}
}
