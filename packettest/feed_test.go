package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/routing"
)

// addRoute adds a second route to the fleet's service and returns its endpoint. It must be called before entries are added.
func addRoute(f *packettest.Fleet) flow.Endpoint {
	at := flow.Endpoint{IP: 0xc6120002, Port: 9443}
	f.Routes = append(f.Routes, routing.Route{
		Name: "second", Endpoint: at, Shares: []routing.Share{{Service: packettest.FirstService, Weight: 1}}, TargetLatency: 250 * time.Millisecond,
	})
	return at
}

// newFleetOfSpeeds returns a fleet with a second route, whose hosts have the given speeds in turn.
func newFleetOfSpeeds(seed uint64, entries, agents int, speeds ...float64) (f *packettest.Fleet, second flow.Endpoint) {
	f = packettest.NewFleet(seed)
	second = addRoute(f)
	for i := range entries {
		f.AddEntry(packettest.Address(1 + i))
	}
	for i := range agents {
		h := f.AddAgent(packettest.Address(100+i), packettest.FirstService).Host
		work := time.Duration(float64(9500*time.Microsecond) / speeds[i%len(speeds)])
		h.Slots, h.WorkTime, h.WorkSpread, h.ColdTime, h.ColdFactor = 2, work, work, 2*time.Second, 1.6
	}
	f.Run(2 * time.Second)
	return f, second
}

// imbalance returns the busy time of the busiest host as a multiple of the mean during a time in which the fleet runs. Busy time is
// work weighed by the speed of the host.
func imbalance(f *packettest.Fleet, d time.Duration) float64 {
	for _, a := range f.Agents {
		a.Host.Worked = 0
	}
	f.Run(d)
	var most, sum time.Duration
	for _, a := range f.Agents {
		most, sum = max(most, a.Host.Worked), sum+a.Host.Worked
	}
	return float64(most) * float64(len(f.Agents)) / float64(sum)
}

// Guards against long flows that accumulate at the hosts that were idle first or are slow: the share of busy slots shows no
// open flow that pauses, and no speed. Before, the busiest host had 1.31 times the mean.
func TestLongFlowsFollowTheSpeedOfHosts(t *testing.T) {
	f, at := newFleetOfSpeeds(1, 6, 18, 0.6, 1.0, 1.6)
	feed := &packettest.Feed{
		Route: at, Flows: 1300, Pause: 1500 * time.Millisecond, PerFlow: 12, Target: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond,
	}
	packettest.StartFeed(f, feed, 3*time.Second)
	f.Run(20 * time.Second)
	began := f.Now()
	ratio := imbalance(f, 20*time.Second)
	inTime, p99 := feed.Served(began, f.Now()-time.Second)
	t.Logf("busiest host %.2f times the mean, in time %.4f, p99 %s", ratio, inTime, p99)
	require.LessOrEqual(t, ratio, 1.2)
	require.GreaterOrEqual(t, inTime, 0.99)
	require.Empty(t, f.Violations)
}

// Guards against light requests that wait behind heavy ones because both count as one request: the route of the load takes
// 10 times as long as the feed's.
func TestHeavyRouteBesideLightOnes(t *testing.T) {
	f, at := newFleetOfSpeeds(1, 6, 18, 1.0)
	for _, a := range f.Agents {
		a.Host.WorkFactor = func(k flow.Key) float64 {
			if k.Service == at {
				return 0.5
			}
			return 5
		}
	}
	heavy := requests(constant(110))
	heavy.Target = 400 * time.Millisecond
	packettest.StartLoad(f, heavy)
	feed := &packettest.Feed{
		Route: at, Flows: 800, Pause: time.Second, PerFlow: 12, Target: 100 * time.Millisecond, Deadline: 1500 * time.Millisecond,
	}
	packettest.StartFeed(f, feed, 3*time.Second)
	f.Run(10 * time.Second)
	began := f.Now()
	f.Run(15 * time.Second)
	inTime, p99 := feed.Served(began, f.Now()-2*time.Second)
	t.Logf("light requests in time %.4f, p99 %s", inTime, p99)
	require.GreaterOrEqual(t, inTime, 0.98)
	require.Empty(t, f.Violations)
}
