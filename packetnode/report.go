package packetnode

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/eventlog"
)

// reporter sends a process's report to those it knows: at an interval, at
// once after a change, and to each process that it meets.
type reporter struct {
	message  func() ([]byte, error)
	audience func() []uint32
	send     func(uint32, []byte)
	now      <-chan struct{}
	met      <-chan uint32
	// each is called before each regular report.
	each func()
	log  *eventlog.Log
	// interval is told in the reports.
	interval *atomic.Int64
}

const (
	// reportsPerSecond is the number of regular reports that a process sends a
	// second at most. With more to report to, it reports to each less often, so that the traffic
	// of a process does not grow with the fleet.
	reportsPerSecond = 40
	// maxReportInterval bounds that.
	maxReportInterval = 30 * time.Second
)

// intervalFor is the time between reports to an audience.
func intervalFor(audience int) time.Duration {
	return min(max(reportInterval, time.Duration(audience)*time.Second/reportsPerSecond), maxReportInterval)
}

func (r reporter) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		ticker := time.NewTicker(reportInterval)
		defer ticker.Stop()
		r.report(r.audience())
		last, told := time.Now(), time.Duration(0)
		// greeted are those that got a report of their own since the last regular one:
		// at a start, every process hears of every other one from many sides.
		greeted := make(map[uint32]bool)
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.each()
				clear(greeted)
				audience := r.audience()
				interval := intervalFor(len(audience))
				r.interval.Store(int64(interval))
				// A longer interval is told before it holds: silence is judged by it.
				if time.Since(last) > interval-reportInterval/2 || interval > told {
					last, told = time.Now(), interval
					r.report(audience)
				}
			case <-r.now:
				last = time.Now()
				r.report(r.audience())
			case ip := <-r.met:
				if !greeted[ip] {
					greeted[ip] = true
					r.report([]uint32{ip})
				}
			}
		}
	}()
	return done
}

func (r reporter) report(to []uint32) {
	b, err := r.message()
	if err != nil {
		r.log.Error("report not sent", "error", err.Error())
		return
	}
	for _, ip := range to {
		r.send(ip, b)
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// union returns the values of all lists, each once.
func union(lists ...[]uint32) []uint32 {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}
