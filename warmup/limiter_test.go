package warmup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "endiveflow.example/endiveflow/testseed"
	"endiveflow.example/endiveflow/warmup"
)

// Guards against more than the limit in a sliding second, whatever the order of packets, limits and restarts, and against
// packets that are forgotten when the limit changes or while there is none.
func TestNoWindowExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, limit := time.Duration(0), uint16(0)
		l := warmup.New(now)
		var admitted []time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			},
			"limit": func(t *rapid.T) {
				limit = rapid.Uint16Range(0, 6).Draw(t, "limit")
				l.SetLimit(limit)
			},
			"restart": func(*rapid.T) {
				l = warmup.New(now)
				l.SetLimit(limit)
			},
			"packet": func(t *rapid.T) {
				if l.Wait(0, now) > 0 {
					return
				}
				l.Record(now)
				admitted = append(admitted, now)
				if limit > 0 {
					require.LessOrEqual(t, countAfter(admitted, now-warmup.Window), int(limit))
				}
			},
		})
	})
}

func countAfter(times []time.Duration, after time.Duration) int {
	n := 0
	for _, at := range times {
		if at > after {
			n++
		}
	}
	return n
}

// Guards against a limiter that keeps packets from a host for longer than the limit needs.
func TestWindowOpensAgain(t *testing.T) {
	l := warmup.New(0)
	require.Zero(t, l.Wait(0, 0), "no limit")
	l.SetLimit(2)
	require.Equal(t, warmup.Window, l.Wait(0, 0), "full at the start")
	require.Equal(t, 2*warmup.Window, l.Wait(2, 0), "two packets ahead")
	l.Record(time.Second)
	l.Record(1500 * time.Millisecond)
	require.Equal(t, 500*time.Millisecond, l.Wait(0, 1500*time.Millisecond))
	require.Equal(t, time.Second, l.Wait(1, 1500*time.Millisecond))
	require.Equal(t, time.Second, l.Wait(2, 5*time.Second), "packets ahead can't have been admitted before now")
	l.SetLimit(3)
	require.Zero(t, l.Wait(0, 1500*time.Millisecond), "one more is allowed at once")
}
