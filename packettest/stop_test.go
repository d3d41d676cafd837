package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
)

// Times of a planned stop, as processes keep them.
const (
	entryStop = 1600 * time.Millisecond
	agentStop = 300 * time.Millisecond
	stopPoll  = 50 * time.Millisecond
)

// stopEntry stops an entry as planned and starts it again.
func stopEntry(f *packettest.Fleet, e *packettest.Entry) {
	e.Stop()
	f.After(entryStop, func() {
		e.Up = false
		f.After(500*time.Millisecond, func() { f.StartEntry(e) })
	})
}

// stopAgent stops an agent as planned, when its flows have ended, and starts it again.
func stopAgent(f *packettest.Fleet, a *packettest.Agent, after time.Duration) {
	f.After(after, func() {
		if a.Flows() > 0 {
			stopAgent(f, a, stopPoll)
			return
		}
		a.Up = false
		f.After(200*time.Millisecond, func() { f.StartAgent(a) })
	})
}

// Guards against requests that were accepted right before or during a planned stop of their entry or agent and are cut
// off: the process forwards until the fabric has taken it out of rotation and its flows have ended. The load is above the
// capacity of the hosts for a while, so that flows are held when the agents begin to stop.
func TestPlannedStopUnderLoad(t *testing.T) {
	for name, stop := range map[string]func(*packettest.Fleet, int){
		"entries": func(f *packettest.Fleet, n int) { stopEntry(f, f.Entries[n%len(f.Entries)]) },
		"agents": func(f *packettest.Fleet, n int) {
			a := f.Agents[n%len(f.Agents)]
			a.Stop()
			stopAgent(f, a, agentStop)
		},
	} {
		t.Run(name, func(t *testing.T) {
			// The last six had a request without an answer: its flow was held at a stopping agent, and again at the next one.
			for _, seed := range []uint64{0, 1, 2, 4, 8, 18, 24, 41, 50} {
				f := newLoadedFleet(seed, 5, 12)
				class := requests(burst(500, 1100, 4*time.Second, 5*time.Second))
				class.Retries = 0
				l := packettest.StartLoad(f, class)
				for n := range 5 {
					f.After(time.Duration(n)*1500*time.Millisecond, func() { stop(f, n) })
				}
				f.Run(12 * time.Second)
				require.NotEmpty(t, l.Results)
				for _, r := range l.Results {
					require.Positive(t, r.Latency, "seed %d: the request of %s got no answer", seed, r.Started)
				}
				require.Empty(t, f.Violations)
			}
		})
	}
}
