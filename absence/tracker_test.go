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

// firstAbsent calls the tracker every 10 s and returns the first process that it returns, and the time.
func firstAbsent(t *testing.T, calls int, alive func(at time.Duration) []netip.Addr) (netip.Addr, time.Duration) {
	t.Helper()
	var tracker absence.Tracker
	for i := range calls {
		now := time.Duration(i) * 10 * time.Second
		if a, found := tracker.LongestAbsent([]netip.Addr{here, there, lost}, alive(now), absence.DefaultMinAbsence, now); found {
			return a, now
		}
	}
	return netip.Addr{}, 0
}

// Guards against records that are never removed: a process that starts would then contact
// every VM that ever existed.
func TestAbsentProcessIsReturned(t *testing.T) {
	process, at := firstAbsent(t, 200, func(time.Duration) []netip.Addr { return []netip.Addr{here, there} })
	require.Equal(t, lost, process)
	require.Equal(t, absence.DefaultMinAbsence, at)
}

// Guards against the removal of records of live processes, also of those seen only occasionally and by an
// observer that was partitioned from the others.
func TestLiveProcessIsNotReturned(t *testing.T) {
	t.Run("seen occasionally", func(t *testing.T) {
		process, _ := firstAbsent(t, 600, func(at time.Duration) []netip.Addr {
			if at%(14*time.Minute) == 0 {
				return []netip.Addr{here, there, lost}
			}
			return []netip.Addr{here, there}
		})
		require.False(t, process.IsValid())
	})
	t.Run("after a partition of the observer", func(t *testing.T) {
		process, at := firstAbsent(t, 200, func(at time.Duration) []netip.Addr {
			if at < 14*time.Minute {
				return nil
			}
			return []netip.Addr{here, there}
		})
		require.Equal(t, lost, process)
		require.Equal(t, 14*time.Minute+absence.DefaultMinAbsence, at)
	})
}

// Guards against an observer with a wrong view that removes the records of many live processes at once.
func TestOneProcessIsReturnedPerCall(t *testing.T) {
	var tracker absence.Tracker
	recorded := []netip.Addr{there, lost}
	_, found := tracker.LongestAbsent(recorded, []netip.Addr{here}, time.Minute, 0)
	require.False(t, found)
	first, found := tracker.LongestAbsent(recorded, []netip.Addr{here}, time.Minute, time.Minute)
	require.True(t, found)
	recorded = []netip.Addr{there, lost}
	if first == there {
		recorded = recorded[1:]
	} else {
		recorded = recorded[:1]
	}
	second, found := tracker.LongestAbsent(recorded, []netip.Addr{here}, time.Minute, 2*time.Minute)
	require.True(t, found)
	require.NotEqual(t, first, second)
}
