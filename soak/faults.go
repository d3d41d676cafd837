package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"endiveflow.example/endiveflow/standin"
)

// fault is a kind of fault: begin starts it, and what it returns ends it.
type fault struct {
	name  string
	begin func(r *run, ctx context.Context) (what string, end func())
}

// faults are the kinds that a run chooses from.
var faults = []fault{
	{"kill", func(r *run, _ context.Context) (string, func()) { return r.hit(syscall.SIGKILL, "killed") }},
	{"stop", func(r *run, _ context.Context) (string, func()) { return r.hit(syscall.SIGTERM, "stopped") }},
	{"hangup", func(r *run, _ context.Context) (string, func()) { return r.hit(syscall.SIGHUP, "hung up") }},
	{"pause", func(r *run, _ context.Context) (string, func()) {
		p := r.anyProcess()
		p.signal(syscall.SIGSTOP)
		return fmt.Sprintf("%s %s paused", p.role, p.ip), func() { p.signal(syscall.SIGCONT) }
	}},
	{"drain", func(r *run, _ context.Context) (string, func()) {
		h := r.anyHost()
		h.drain()
		return fmt.Sprintf("host %s drains", h.ip), func() { time.AfterFunc(2*drainWithin, h.restart) }
	}},
	{"crash", func(r *run, _ context.Context) (string, func()) {
		h := r.anyHost()
		h.crash()
		return fmt.Sprintf("host %s crashes", h.ip), h.restart
	}},
	{"outage", func(r *run, _ context.Context) (string, func()) {
		r.store.Set(standin.Switches{Outage: true})
		return "store away", func() { r.store.Set(standin.Switches{}) }
	}},
	{"proxy", func(r *run, _ context.Context) (string, func()) {
		mode := 1 + int32(r.random.IntN(int(modes)-1))
		r.proxy.mode.Store(mode)
		return "connections to the store " + modeNames[mode], func() { r.proxy.mode.Store(passing) }
	}},
	{"config", func(r *run, ctx context.Context) (string, func()) {
		both := r.random.IntN(2) == 0
		if err := r.configure(ctx, both); err != nil {
			// The store is away: the change was refused.
			return "configuration refused", func() {}
		}
		return fmt.Sprintf("configuration changed, second route %t", both), func() {}
	}},
}

const (
	// faultPause is the mean time between faults, faultTime the mean time that one lasts.
	faultPause = 700 * time.Millisecond
	faultTime  = 1500 * time.Millisecond
)

// inject injects faults for the run's time. They overlap.
func (r *run) inject(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var ends []<-chan time.Time
		for ctx.Err() == nil {
			time.Sleep(time.Duration(r.random.ExpFloat64() * float64(faultPause)))
			left := r.cfg.Time - time.Since(r.began)
			if left <= 0 {
				break
			}
			what, end := faults[r.random.IntN(len(faults))].begin(r, ctx)
			r.note(what)
			lasts := min(time.Duration(r.random.ExpFloat64()*float64(faultTime)), left)
			ended := make(chan time.Time, 1)
			time.AfterFunc(lasts, func() {
				end()
				ended <- time.Now()
			})
			ends = append(ends, ended)
		}
		for _, ended := range ends {
			<-ended
		}
		done <- nil
	}()
	return done
}

func (r *run) note(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Event{AtMs: time.Since(r.began).Milliseconds(), What: what}
	r.report.Faults = append(r.report.Faults, e)
	_, _ = fmt.Fprintf(r.cfg.Out, "%6.2f s  %s\n", float64(e.AtMs)/1000, what)
}

func (r *run) anyProcess() *process {
	all := append(append([]*process(nil), r.entries...), r.agents...)
	return all[r.random.IntN(len(all))]
}

func (r *run) anyHost() *host { return r.hosts[r.random.IntN(len(r.hosts))] }

func (r *run) hit(s syscall.Signal, what string) (string, func()) {
	p := r.anyProcess()
	p.signal(s)
	return fmt.Sprintf("%s %s %s", p.role, p.ip, what), func() {}
}
