package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
)

// Three availability zones of hosts; all entries are in the first one.
const (
	zoneEntries, zoneHosts, zoneSlots = 4, 12, 2
	zoneWork                          = 15 * time.Millisecond
)

// newZonedFleet returns a fleet and its agents by zone.
func newZonedFleet() (f *packettest.Fleet, agents [3][]*packettest.Agent) {
	f = packettest.NewFleet(1)
	f.Zone = func(ip uint32) string { return string(rune('a' + (ip>>8)%3)) }
	zone := func(n int) uint32 { return packettest.Address(0) + uint32(n)<<8 }
	first := 0
	for f.Zone(zone(first)) != "a" {
		first++
	}
	for n := range zoneEntries {
		f.AddEntry(zone(first) + uint32(n+1))
	}
	for z := range agents {
		for n := range zoneHosts {
			a := f.AddAgent(zone(first+z)+uint32(100+n), packettest.FirstService)
			a.Host.Slots, a.Host.WorkTime, a.Host.WorkSpread = zoneSlots, zoneWork/2, zoneWork/2
			agents[z] = append(agents[z], a)
		}
	}
	f.Run(2 * time.Second)
	return f, agents
}

// zonePlay is what callers got and where.
type zonePlay struct {
	// inTime is the credit as a share, own the share of the work that the hosts of the own zone did, busiest the busiest of
	// these relative to the mean of all running hosts.
	inTime, own, busiest float64
}

// playZone plays a load, as a share of what all running hosts bear, after all but some hosts of the own zone have failed.
func playZone(load float64, ownHosts int) zonePlay {
	f, agents := newZonedFleet()
	for _, a := range agents[0][ownHosts:] {
		a.Up, a.Host.Up = false, false
	}
	running := ownHosts + 2*zoneHosts
	l := packettest.StartLoad(f, requests(constant(load*float64(running*zoneSlots)/zoneWork.Seconds())))
	f.Run(10 * time.Second)
	var p zonePlay
	var own, all, most time.Duration
	for z := range agents {
		for _, a := range agents[z] {
			all += a.Host.Worked
			if z == 0 {
				own, most = own+a.Host.Worked, max(most, a.Host.Worked)
			}
		}
	}
	p.inTime, _ = l.Share(5*time.Second, 9*time.Second)
	p.own, p.busiest = float64(own)/float64(all), float64(most)*float64(running)/float64(all)
	return p
}

// Guards against flows that cross zones without need, and against hosts that get more than they bear because most of their zone
// has failed.
func TestFlowsStayInTheirZone(t *testing.T) {
	for name, c := range map[string]struct {
		load     float64
		ownHosts int
		check    func(*testing.T, zonePlay)
	}{
		"the own zone bears the load": {0.15, zoneHosts, func(t *testing.T, p zonePlay) { require.Greater(t, p.own, 0.5) }},
		"all zones are needed":        {0.7, zoneHosts, func(t *testing.T, p zonePlay) { require.Less(t, p.busiest, 1.4) }},
		"two hosts of the own zone":   {0.7, 2, func(t *testing.T, p zonePlay) { require.Less(t, p.busiest, 1.5) }},
	} {
		t.Run(name, func(t *testing.T) {
			p := playZone(c.load, c.ownHosts)
			t.Logf("%+v", p)
			require.GreaterOrEqual(t, p.inTime, 0.99)
			c.check(t, p)
		})
	}
}
