package packetnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an earlier tick that is delayed until a later one: an agent that holds flows for a second
// would check only after that second whether its host answers, instead of after 40 ms.
func TestAlarmKeepsTheEarlierTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAlarm()
		start := time.Now()
		var ticks []time.Duration
		ctx, cancel := context.WithCancel(context.Background())
		done := a.run(ctx, func() time.Duration {
			ticks = append(ticks, time.Since(start))
			if len(ticks) == 1 {
				return 400 * time.Millisecond
			}
			return 0
		})
		a.schedule(time.Second)
		a.schedule(100 * time.Millisecond)
		a.schedule(600 * time.Millisecond)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, []time.Duration{100 * time.Millisecond, 500 * time.Millisecond}, ticks)
		a.schedule(10 * time.Millisecond)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 5010*time.Millisecond, ticks[2])
		cancel()
		require.NoError(t, <-done)
	})
}
