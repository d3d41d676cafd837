package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
)

// outages have the shape of the fleets that lose power: slots for a load of 75 to 85 per cent of what cold hosts can
// serve.
var outages = map[string]packettest.Outage{
	"few hosts": {
		Down: 1100 * time.Millisecond, Hosts: 7, Slots: 3, PerSecond: 412,
		Class: packettest.Class{Target: 120 * time.Millisecond, Deadline: 2 * time.Second},
	},
	"few hosts, less load": {
		Down: 1100 * time.Millisecond, Hosts: 7, Slots: 3, PerSecond: 366,
		Class: packettest.Class{Target: 120 * time.Millisecond, Deadline: 2 * time.Second},
	},
	"many hosts": {
		Down: 1500 * time.Millisecond, Hosts: 35, Slots: 2, PerSecond: 1430,
		Class: packettest.Class{Target: 200 * time.Millisecond, Deadline: 2500 * time.Millisecond},
	},
	"many hosts, short outage": {
		Down: 850 * time.Millisecond, Hosts: 35, Slots: 2, PerSecond: 1600,
		Class: packettest.Class{Target: 200 * time.Millisecond, Deadline: 2500 * time.Millisecond},
	},
}

const (
	boundWindow  = 2 * time.Second
	boundWindows = 2
)

// withDefaults fills in what the outages have in common.
func withDefaults(o packettest.Outage) packettest.Outage {
	// Half of the time within which processes and hosts start, and one interval of their first reports.
	o.Start = 200 * time.Millisecond
	o.ServiceTime, o.ColdTime, o.ColdFactor = 24*time.Millisecond, 2*time.Second, 1.6
	o.Class.LateCredit, o.Class.Retries, o.Class.Repeatable, o.Class.RequestBytes = 0.3, 2, true, 300
	rate := o.PerSecond
	o.Class.PerSecond = func(time.Duration) float64 { return rate }
	return o
}

// playOutage plays an outage and returns the share of credit in each window from its beginning on.
func playOutage(o packettest.Outage, seed uint64) []float64 {
	f := newLoadedFleet(seed, 6, o.Hosts)
	for _, a := range f.Agents {
		a.Host.Slots, a.Host.WorkTime, a.Host.WorkSpread = o.Slots, 10*time.Millisecond, o.ServiceTime-10*time.Millisecond
	}
	l := packettest.StartLoad(f, &o.Class)
	f.Run(2 * time.Second)
	began := f.Now()
	f.PowerOff(o.Down)
	f.Run(boundWindows*boundWindow + o.Class.Deadline)
	var shares []float64
	for i := range boundWindows {
		from := began + time.Duration(i)*boundWindow
		share, _ := l.Share(from, from+boundWindow)
		shares = append(shares, share)
	}
	return shares
}

// Guards against a fleet that recovers from an outage of all VMs far more slowly than its hosts allow.
func TestRecoveryIsNearTheBound(t *testing.T) {
	const seeds = 1
	for name, o := range outages {
		t.Run(name, func(t *testing.T) {
			o := withDefaults(o)
			bound, played := o.Bound(boundWindow, boundWindows), make([]float64, boundWindows)
			for seed := range uint64(seeds) {
				for i, share := range playOutage(o, seed) {
					played[i] += share / seeds
				}
			}
			t.Logf("bound %.3f, played %.3f", bound, played)
			for i := range bound {
				require.LessOrEqual(t, played[i], bound[i]+0.02)
			}
			// The bound assumes what no process can know: which attempts are a caller's first.
			require.GreaterOrEqual(t, played[0]+played[1], 0.8*(bound[0]+bound[1]))
		})
	}
}
