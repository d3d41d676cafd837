package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/packettest"
)

// Guards against a zone that gets more than its cold hosts can sustain when it returns from an evacuation, against callers that
// wait for these hosts although the other zones have room, and against a zone that stays unused.
func TestZoneReturnsCold(t *testing.T) {
	const rate, agents = 5, 18
	f := packettest.NewFleet(1)
	f.Zone = func(ip uint32) string { return [...]string{"a", "b", "c"}[ip%3] }
	f.WarmupRates = map[string]uint16{packettest.FirstService: rate}
	for i := range 6 {
		f.AddEntry(packettest.Address(1 + i))
	}
	var returning []*packettest.Agent
	for i := range agents {
		a := f.AddAgent(packettest.Address(100+i), packettest.FirstService)
		a.Host.Slots, a.Host.WorkTime, a.Host.WorkSpread, a.Host.ColdTime, a.Host.ColdFactor = 2, 10*time.Millisecond, 5*time.Millisecond, 5*time.Second, 1.6
		if f.Zone(a.IP) == "b" {
			returning = append(returning, a)
		}
	}
	f.Run(2 * time.Second)
	opened := func() int {
		n := 0
		for _, a := range returning {
			n += a.Host.Opened
		}
		return n
	}
	// Two of the three zones serve the load with about 0.65 of their slots.
	l := packettest.StartLoad(f, requests(constant(1000)))
	inForce := evacuation.State{}.WithListed(1, 10, []string{"b"})
	f.Entries[0].NoteEvacuations(inForce)
	f.Run(2 * time.Second)
	before := opened()
	for _, a := range returning {
		// The host's first heartbeat of this incarnation arrives after the withdrawal.
		f.StartColdHost(a)
	}
	f.Entries[0].NoteEvacuations(inForce.WithChanges(11, nil, []string{"b"}))
	withdrawn := f.Now()
	f.Run(4 * time.Second)
	cold := opened() - before
	require.LessOrEqual(t, cold, 4*rate*len(returning))
	require.Greater(t, cold, 2*rate*len(returning), "the zone returns")
	f.Run(4 * time.Second)
	require.Greater(t, opened()-before, 5*cold, "warm hosts have no limit")
	requireInTime(t, l, withdrawn, withdrawn+7*time.Second)
	require.Empty(t, f.Violations)
}
