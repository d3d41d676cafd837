package packetnode

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/eventlog"
)

// reporter sends a process's report to the processes that it knows: at an interval, immediately after a
// change, and to each newly discovered process.
type reporter struct {
	message    func() ([]byte, error)
	recipients func() []uint32
	send       func(uint32, []byte)
	trigger    <-chan struct{}
	discovered <-chan uint32
	// beforeRegular is called before each regular report.
	beforeRegular func()
	log           *eventlog.Log
	// interval is the current report interval in nanoseconds, which the reports announce.
	interval *atomic.Int64
}

const (
	// reportsPerSecond bounds the regular reports that a process sends per second. With more recipients, each
	// one receives reports less often, so that a process's traffic does not grow with the fleet.
	reportsPerSecond = 40
	// maxReportInterval bounds the interval that results.
	maxReportInterval = 30 * time.Second
)

// intervalFor returns the time between regular reports for a number of recipients.
func intervalFor(recipients int) time.Duration {
	return min(max(reportInterval, time.Duration(recipients)*time.Second/reportsPerSecond), maxReportInterval)
}

func (r reporter) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		ticker := time.NewTicker(reportInterval)
		defer ticker.Stop()
		r.report(r.recipients())
		last, announced := time.Now(), time.Duration(0)
		// introduced holds the processes that received an individual report since the last regular one. At
		// startup, every process is discovered through many others at the same time.
		introduced := make(map[uint32]bool)
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.beforeRegular()
				clear(introduced)
				recipients := r.recipients()
				interval := intervalFor(len(recipients))
				r.interval.Store(int64(interval))
				// A longer interval is announced before it takes effect, because recipients use the announced
				// one to decide whether this process is silent.
				if time.Since(last) > interval-reportInterval/2 || interval > announced {
					last, announced = time.Now(), interval
					r.report(recipients)
				}
			case <-r.trigger:
				last = time.Now()
				r.report(r.recipients())
			case ip := <-r.discovered:
				if !introduced[ip] {
					introduced[ip] = true
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
		r.log.Error("cannot encode report", "error", err.Error())
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

// union returns the values of all lists, sorted and without duplicates.
func union(lists ...[]uint32) []uint32 {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}
