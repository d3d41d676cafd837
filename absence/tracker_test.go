package absence_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/absence"
)

var (
	here  = netip.MustParseAddr("10.0.0.1")
	there = netip.MustParseAddr("10.0.0.2")
	lost  = netip.MustParseAddr("10.0.0.3")
)

// observer looks at the records every 10 s and returns the first process found
// gone, and when.
func observer(t *testing.T, looks int, heard func(at time.Duration) []netip.Addr) (netip.Addr, time.Duration) {
	t.Helper()
	var tracker absence.Tracker
	for i := range looks {
		now := time.Duration(i) * 10 * time.Second
		if a, found := tracker.Gone([]netip.Addr{here, there, lost}, heard(now), absence.DefaultGoneAfter, now); found {
			return a, now
		}
	}
	return netip.Addr{}, 0
}

// Guards against records that stay for ever: each start of a process would
// then call all VMs that ever were.
func TestSilentProcessIsGone(t *testing.T) {
	gone, at := observer(t, 200, func(time.Duration) []netip.Addr { return []netip.Addr{here, there} })
	require.Equal(t, lost, gone)
	require.Equal(t, absence.DefaultGoneAfter, at)
}

// Guards against the removal of records of processes that live.
func TestWhoIsHeardStays(t *testing.T) {
	t.Run("now and then", func(t *testing.T) {
		gone, _ := observer(t, 600, func(at time.Duration) []netip.Addr {
			if at%(14*time.Minute) == 0 {
				return []netip.Addr{here, there, lost}
			}
			return []netip.Addr{here, there}
		})
		require.False(t, gone.IsValid())
	})
	t.Run("by an observer that was cut off", func(t *testing.T) {
		gone, at := observer(t, 200, func(at time.Duration) []netip.Addr {
			if at < 14*time.Minute {
				return nil
			}
			return []netip.Addr{here, there}
		})
		require.Equal(t, lost, gone)
		require.Equal(t, 14*time.Minute+absence.DefaultGoneAfter, at)
	})
}

// Guards against an observer that is wrong about many and removes all at once.
func TestOneAtATime(t *testing.T) {
	var tracker absence.Tracker
	recorded := []netip.Addr{there, lost}
	_, found := tracker.Gone(recorded, []netip.Addr{here}, time.Minute, 0)
	require.False(t, found)
	first, found := tracker.Gone(recorded, []netip.Addr{here}, time.Minute, time.Minute)
	require.True(t, found)
	recorded = []netip.Addr{there, lost}
	if first == there {
		recorded = recorded[1:]
	} else {
		recorded = recorded[:1]
	}
	second, found := tracker.Gone(recorded, []netip.Addr{here}, time.Minute, 2*time.Minute)
	require.True(t, found)
	require.NotEqual(t, first, second)
}
