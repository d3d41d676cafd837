package announce_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/announce"
)

// narrowLink is the capacity in bytes per second of the narrowest link of the deployments that are served.
const narrowLink = 20e6 / 8

func addresses(first, n int) []uint32 {
	out := make([]uint32, n)
	for i := range out {
		out[i] = uint32(first + i)
	}
	return out
}

// play runs a schedule for a time span and calls sent for each call of Due.
func play(s *announce.Schedule, from, span time.Duration, sent func(now time.Duration, due []uint32)) {
	for now := from; now < from+span; {
		due, wait := s.Due(now)
		sent(now, due)
		now += wait
	}
}

// Guards against a round of reports that a process sends in one burst, before the packets of callers on its link:
// 300 reports take 30 ms at 20 Mbit/s, as long as an agent has to answer an offer.
func TestNoBurst(t *testing.T) {
	const reportBytes, maxDelay = 300, 3 * time.Millisecond
	for name, act := range map[string]func(*announce.Schedule){
		"at the start":   func(*announce.Schedule) {},
		"after a change": func(s *announce.Schedule) { s.AnnounceAll() },
	} {
		t.Run(name, func(t *testing.T) {
			s := announce.New(announce.Config{LinkBytesPerSecond: narrowLink})
			s.SetRecipients(announce.Entries, addresses(1, 300))
			s.SetRecipients(announce.Agents, addresses(1000, 700))
			act(s)
			play(s, 0, 10*time.Second, func(_ time.Duration, due []uint32) {
				delay := time.Duration(float64(len(due)*reportBytes) / narrowLink * float64(time.Second))
				require.LessOrEqual(t, delay, maxDelay, "%d reports at once", len(due))
			})
		})
	}
}

// Guards against recipients that a round leaves out, and against traffic that grows with the fleet.
func TestRegularReports(t *testing.T) {
	for _, n := range []int{1, 10, 100, 1000} {
		s := announce.New(announce.Config{LinkBytesPerSecond: narrowLink})
		s.SetRecipients(announce.Entries, addresses(1, n))
		play(s, 0, time.Minute, func(time.Duration, []uint32) {})
		received := make(map[uint32]int)
		total := 0
		interval := s.Interval(announce.Entries)
		play(s, time.Minute, 2*interval, func(_ time.Duration, due []uint32) {
			for _, ip := range due {
				received[ip]++
				total++
			}
		})
		require.Len(t, received, n)
		require.LessOrEqual(t, float64(total), max(announce.RegularPerSecond, float64(n))*2*interval.Seconds()+1)
		require.GreaterOrEqual(t, interval, announce.MinInterval)
		require.LessOrEqual(t, float64(n)/interval.Seconds(), max(announce.RegularPerSecond, 1.0)+0.01)
	}
}

// Guards against a process that stays unknown to others for a whole interval after it became a recipient, or after
// a change that they have to know.
func TestAnnouncements(t *testing.T) {
	s := announce.New(announce.Config{LinkBytesPerSecond: narrowLink})
	sentWithin := func(from, span time.Duration) map[uint32]bool {
		sent := make(map[uint32]bool)
		play(s, from, span, func(_ time.Duration, due []uint32) {
			for _, ip := range due {
				sent[ip] = true
			}
		})
		return sent
	}
	s.SetRecipients(announce.Entries, addresses(1, 90))
	require.Len(t, sentWithin(0, time.Second), 90)
	t.Run("a new recipient", func(t *testing.T) {
		s.SetRecipients(announce.Entries, addresses(1, 91))
		require.Contains(t, sentWithin(time.Second, 300*time.Millisecond), uint32(91))
	})
	t.Run("a process that is no recipient", func(t *testing.T) {
		s.Announce(500, 500)
		require.Contains(t, sentWithin(2*time.Second, 300*time.Millisecond), uint32(500))
	})
	t.Run("a change", func(t *testing.T) {
		s.AnnounceAll()
		require.Len(t, sentWithin(3*time.Second, time.Second), 91)
	})
}

// BenchmarkSecond measures the schedule of a process for one second; its sends are counted in reports.
func BenchmarkSecond(b *testing.B) {
	for _, processes := range []int{30, 100, 300, 1000} {
		b.Run(strconv.Itoa(processes), func(b *testing.B) {
			entries, agents := addresses(1, processes*3/10), addresses(10_000, processes*7/10)
			s := announce.New(announce.Config{LinkBytesPerSecond: narrowLink})
			now, reports := time.Duration(0), 0
			second := func() {
				s.SetRecipients(announce.Entries, entries)
				s.SetRecipients(announce.Agents, agents)
				play(s, now, time.Second, func(_ time.Duration, due []uint32) { reports += len(due) })
				now += time.Second
			}
			for range 10 {
				second()
			}
			reports = 0
			b.ResetTimer()
			for range b.N {
				second()
			}
			b.ReportMetric(float64(reports)/float64(b.N), "reports/s")
		})
	}
}
