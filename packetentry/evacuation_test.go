package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/packettest"
)

// newZonedFleet returns a fleet of two entries and three agents in each of two zones. Agents with odd addresses are in zone b.
func newZonedFleet() (*packettest.Fleet, packettest.Callers) {
	f := packettest.NewFleet(1)
	f.Zone = func(ip uint32) string { return [...]string{"a", "b"}[ip%2] }
	for i := range 2 {
		f.AddEntry(packettest.Address(1 + i))
	}
	for i := range 6 {
		f.AddAgent(packettest.Address(100+i), packettest.FirstService)
	}
	f.Run(2 * time.Second)
	return f, packettest.NewCallers(f)
}

// openedIn returns the number of flows opened at hosts of a zone.
func openedIn(f *packettest.Fleet, zone string) int {
	n := 0
	for _, a := range f.Agents {
		if f.Zone(a.IP) == zone {
			n += a.Host.Opened
		}
	}
	return n
}

// startCallers starts flows through all entries, one each 10 ms.
func startCallers(f *packettest.Fleet, callers packettest.Callers, first, count int) []*packettest.Caller {
	var all []*packettest.Caller
	for i := range count {
		all = append(all, callers.Start(f, packettest.Key(first+i), through(f.Entries[i%len(f.Entries)])))
		f.Run(10 * time.Millisecond)
	}
	f.Run(200 * time.Millisecond)
	return all
}

// Guards against new flows in an evacuated zone, against open flows that end there, and against a zone that gets none after
// its withdrawal. Only one entry reads the store.
func TestEvacuation(t *testing.T) {
	f, callers := newZonedFleet()
	before := startCallers(f, callers, 0, 40)
	opened := openedIn(f, "b")
	require.Positive(t, opened)

	inForce := evacuation.State{}.WithListed(1, 10, []string{"b"})
	f.Entries[0].NoteEvacuations(inForce)
	f.Run(time.Second)
	t.Run("new flows go elsewhere", func(t *testing.T) {
		assertNoneLost(t, startCallers(f, callers, 100, 40), 1)
		require.Equal(t, opened, openedIn(f, "b"))
	})
	t.Run("open flows stay", func(t *testing.T) {
		for _, c := range before {
			c.Request()
		}
		f.Run(300 * time.Millisecond)
		assertNoneLost(t, before, 2)
	})
	t.Run("processes that restart during an outage of the store", func(t *testing.T) {
		f.RestartProcesses()
		f.Entries[1].NoteEvacuations(inForce)
		f.Run(time.Second)
		for _, a := range f.Agents {
			f.StartAgent(a)
		}
		f.StartEntry(f.Entries[1])
		f.Run(time.Second)
		assertNoneLost(t, startCallers(f, callers, 200, 40), 1)
		require.Equal(t, opened, openedIn(f, "b"))
	})
	t.Run("withdrawal", func(t *testing.T) {
		f.Entries[1].NoteEvacuations(inForce.WithChanges(11, nil, []string{"b"}))
		f.Run(time.Second)
		assertNoneLost(t, startCallers(f, callers, 300, 40), 1)
		require.Greater(t, openedIn(f, "b"), opened)
	})
}

// Guards against callers that wait although no host may take their flows until the operator withdraws an evacuation.
func TestEvacuationOfAllZones(t *testing.T) {
	f, callers := newZonedFleet()
	f.Entries[0].NoteEvacuations(evacuation.State{}.WithListed(1, 10, []string{"a", "b"}))
	f.Run(time.Second)
	c := callers.Start(f, packettest.Key(1), through(f.Entries[0]))
	f.Run(20 * time.Millisecond)
	require.True(t, c.Reset, "the flow waits")
	require.Zero(t, openedIn(f, "a")+openedIn(f, "b"))
}

// Guards against held flows that an evacuated host still gets, by an agent that learns of the evacuation last.
func TestEvacuationHandsOverHeldFlows(t *testing.T) {
	f, callers := newZonedFleet()
	for _, a := range f.Agents {
		a.Host.WorkTime = 400 * time.Millisecond
	}
	all := startCallers(f, callers, 0, 28)
	busy := openedIn(f, "b")
	f.Entries[0].NoteEvacuations(evacuation.State{}.WithListed(1, 10, []string{"b"}))
	f.Run(50 * time.Millisecond)
	opened := openedIn(f, "b")
	f.Run(2 * time.Second)
	require.GreaterOrEqual(t, opened, busy)
	require.Equal(t, opened, openedIn(f, "b"))
	assertNoneLost(t, all, 1)
}
