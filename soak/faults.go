package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// fault is a kind of fault: inject starts it and returns its description and a function that ends it.
type fault struct {
	name   string
	inject func(r *run, ctx context.Context) (what string, end func())
}

// faults are the kinds of faults that a run chooses from.
var faults = []fault{
	{"kill", func(r *run, _ context.Context) (string, func()) { return r.signalRandom(syscall.SIGKILL, "killed") }},
	{"stop", func(r *run, _ context.Context) (string, func()) { return r.signalRandom(syscall.SIGTERM, "stopped") }},
	{"hangup", func(r *run, _ context.Context) (string, func()) { return r.signalRandom(syscall.SIGHUP, "hung up") }},
	{"pause", func(r *run, _ context.Context) (string, func()) {
		p := r.randomProcess()
		p.signal(syscall.SIGSTOP)
		return fmt.Sprintf("%s %s paused", p.role, p.ip), func() { p.signal(syscall.SIGCONT) }
	}},
	{"drain", func(r *run, _ context.Context) (string, func()) {
		h := r.randomHost()
		h.drain()
		return fmt.Sprintf("host %s drains", h.ip), func() { time.AfterFunc(2*maxDrainDelay, h.restart) }
	}},
	{"crash", func(r *run, _ context.Context) (string, func()) {
		h := r.randomHost()
		h.crash()
		return fmt.Sprintf("host %s crashes", h.ip), h.restart
	}},
	{"outage", func(r *run, _ context.Context) (string, func()) {
		r.setOutage(true)
		return "store unavailable", func() { r.setOutage(false) }
	}},
	{"proxy", func(r *run, _ context.Context) (string, func()) {
		mode := 1 + int32(r.random.IntN(int(modes)-1))
		r.changeStore(func() { r.proxy.mode.Store(mode) })
		return "connections to the store " + modeNames[mode], func() { r.changeStore(func() { r.proxy.mode.Store(passing) }) }
	}},
	{"config", func(r *run, ctx context.Context) (string, func()) {
		withToggled := r.random.IntN(2) == 0
		if err := r.toggle(ctx, withToggled); err != nil {
			// The store is unavailable and refused the change.
			return "configuration change refused", func() {}
		}
		return fmt.Sprintf("configuration changed, second route %t", withToggled), func() {}
	}},
}

// restore brings the store back from an older copy.
var restore = fault{"restore", func(r *run, ctx context.Context) (string, func()) {
	lost := uint64(r.random.IntN(maxLostWrites + 1))
	r.setOutage(true)
	return fmt.Sprintf("store comes back without its last %d writes", lost), func() {
		if !r.restoreStore(ctx, lost) {
			r.fail("the configuration could not be written after a restore of the store")
		}
	}
}}

const (
	// maxLostWrites is the largest number of writes that a restore of the store loses. It exceeds the number of
	// member records of a small fleet.
	maxLostWrites = 8
	// meanFaultPause is the mean time between faults, meanFaultTime the mean duration of a fault.
	meanFaultPause = 700 * time.Millisecond
	meanFaultTime  = 1500 * time.Millisecond
)

// injectFaults injects faults for the configured time. They may overlap.
func (r *run) injectFaults(ctx context.Context) <-chan error {
	kinds := faults
	if r.cfg.Restores {
		kinds = append(slices.Clone(faults), restore)
	}
	return background(func() {
		var ends []<-chan time.Time
		for ctx.Err() == nil {
			time.Sleep(time.Duration(r.random.ExpFloat64() * float64(meanFaultPause)))
			remaining := r.cfg.FaultTime - time.Since(r.startedAt)
			if remaining <= 0 {
				break
			}
			what, end := kinds[r.random.IntN(len(kinds))].inject(r, ctx)
			r.recordFault(what)
			duration := min(time.Duration(r.random.ExpFloat64()*float64(meanFaultTime)), remaining)
			ended := make(chan time.Time, 1)
			time.AfterFunc(duration, func() {
				end()
				ended <- time.Now()
			})
			ends = append(ends, ended)
		}
		for _, ended := range ends {
			<-ended
		}
	})
}

func (r *run) recordFault(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Event{AtMs: time.Since(r.startedAt).Milliseconds(), What: what}
	r.report.Faults = append(r.report.Faults, e)
	_, _ = fmt.Fprintf(r.cfg.Out, "%6.2f s  %s\n", float64(e.AtMs)/1000, what)
}

func (r *run) randomProcess() *process {
	all := append(append([]*process(nil), r.entries...), r.agents...)
	return all[r.random.IntN(len(all))]
}

func (r *run) randomHost() *host { return r.hosts[r.random.IntN(len(r.hosts))] }

func (r *run) signalRandom(s syscall.Signal, what string) (string, func()) {
	p := r.randomProcess()
	p.signal(s)
	return fmt.Sprintf("%s %s %s", p.role, p.ip, what), func() {}
}
