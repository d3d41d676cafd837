package packetnode

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/announce"
	"endiveflow.example/endiveflow/eventlog"
)

// reporter sends a process's report to the processes that it knows, as its schedule says.
type reporter struct {
	schedule *announce.Schedule
	message  func() ([]byte, error)
	// recipients returns the processes of a group that get regular reports; ratePerSecond returns the largest number of
	// such reports per second.
	recipients    func(announce.Group) []uint32
	ratePerSecond func(announce.Group) float64
	send          func(uint32, []byte)
	// changed is signalled after a change that all recipients have to know, configured after a new configuration,
	// listed when there may be new recipients.
	changed, configured, listed <-chan struct{}
	// discovered and stateChanged deliver processes that get a report soon, those of discovered at most one per second.
	discovered, stateChanged <-chan uint32
	// beforeRegular is called once a second.
	beforeRegular func()
	log           *eventlog.Log
	now           func() time.Duration
	// intervals are the current intervals of the groups in nanoseconds, which the reports announce.
	intervals *reportIntervals
	// announced is the longest interval that all entries were told of. Used only by the goroutine of run.
	announced time.Duration
}

// reportIntervals are the times between regular reports to the processes of each group, in nanoseconds.
type reportIntervals [announce.GroupCount]atomic.Int64

func (i *reportIntervals) of(g announce.Group) time.Duration { return time.Duration(i[g].Load()) }

// configAnnouncements is the number of entries and of agents that a process tells of a new configuration. Each of
// them that fetches it tells others, so that it spreads without a message from every process to every other.
const configAnnouncements = 8

func (r *reporter) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		second := time.NewTicker(announce.MinInterval)
		defer second.Stop()
		// introduced holds the processes that were answered in this second. At startup, every process is discovered
		// through many others at the same time.
		introduced := make(map[uint32]bool)
		r.refresh()
		for wait := r.sendDue(); ; wait = r.sendDue() {
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			case <-second.C:
				r.beforeRegular()
				clear(introduced)
				r.refresh()
			case <-r.listed:
				r.refresh()
			case <-r.changed:
				r.schedule.AnnounceAll()
			case <-r.configured:
				for g := range announce.GroupCount {
					r.schedule.AnnounceSome(g, configAnnouncements)
				}
			case ip := <-r.stateChanged:
				r.schedule.Announce(ip)
			case ip := <-r.discovered:
				if !introduced[ip] {
					introduced[ip] = true
					r.schedule.Announce(ip)
				}
			}
			timer.Stop()
		}
	}()
	return done
}

// refresh updates the recipients and the intervals that result. Entries judge by the announced interval whether the
// process is silent, so that they are told at once if it has become much longer.
func (r *reporter) refresh() {
	for g := range announce.GroupCount {
		r.schedule.SetRate(g, r.ratePerSecond(g))
		r.schedule.SetRecipients(g, r.recipients(g))
		r.intervals[g].Store(int64(r.schedule.Interval(g)))
	}
	if interval := r.intervals.of(announce.Entries); interval > r.announced*3/2 {
		r.announced = interval
		r.schedule.AnnounceAll()
	}
}

// sendDue sends the reports that are due and returns the time until more may be.
func (r *reporter) sendDue() time.Duration {
	due, wait := r.schedule.Due(r.now())
	if len(due) == 0 {
		return wait
	}
	b, err := r.message()
	if err != nil {
		r.log.Error("cannot encode report", "error", err.Error())
		return wait
	}
	for _, ip := range due {
		r.send(ip, b)
	}
	return wait
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
