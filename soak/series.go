package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"endiveflow.example/endiveflow/packettest"
)

const (
	// meanSeriesPause is the mean time between two series, meanRepeatPause that between the steps of a series of
	// reloads or configuration changes, meanRestartPause that between two restarts of a rolling restart.
	meanSeriesPause  = 500 * time.Millisecond
	meanRepeatPause  = 150 * time.Millisecond
	meanRestartPause = time.Second
	// maxRepeats is the maximum number of steps in a series.
	maxRepeats = 8
	// restartedShare is the share of a fleet that a rolling restart restarts at a time, as a divisor.
	restartedShare = 8
	// meanJoinPause is the mean time between hosts that join and hosts that leave.
	meanJoinPause = 1500 * time.Millisecond
	// maxStartDelay bounds the time between the starts of an agent and its host on a new VM.
	maxStartDelay = 300 * time.Millisecond
)

// injectSeries carries out one series of planned work after the other, beside the other faults: rolling restarts,
// reloads and configuration changes.
func (r *run) injectSeries(ctx context.Context) <-chan error {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	return background(func() {
		for r.pause(ctx, random, meanSeriesPause) {
			switch random.IntN(4) {
			case 0:
				r.restartAll(ctx, random, r.entries)
			case 1:
				r.restartAll(ctx, random, r.agents)
			case 2:
				r.repeat(ctx, random, "reloads", func() {
					p := r.agents[random.IntN(len(r.agents))]
					if random.IntN(2) == 0 {
						p = r.entries[random.IntN(len(r.entries))]
					}
					p.signal(syscall.SIGHUP)
				})
			default:
				// A change that the store refuses has no effect.
				r.repeat(ctx, random, "configuration changes", func() { _ = r.toggle(ctx, random.IntN(2) == 0) })
			}
		}
	})
}

// pause waits for a random time and reports whether faults are still to be injected.
func (r *run) pause(ctx context.Context, random *rand.Rand, mean time.Duration) bool {
	time.Sleep(time.Duration(random.ExpFloat64() * float64(mean)))
	return ctx.Err() == nil && time.Since(r.startedAt) < r.cfg.FaultTime
}

// restartAll stops processes one after the other, several at a time in large fleets. They start again by themselves.
func (r *run) restartAll(ctx context.Context, random *rand.Rand, processes []*process) {
	r.recordFault(fmt.Sprintf("rolling restart, role %s", processes[0].role))
	for batch := range slices.Chunk(processes, max(len(processes)/restartedShare, 1)) {
		for _, p := range batch {
			p.signal(syscall.SIGTERM)
		}
		if !r.pause(ctx, random, meanRestartPause) {
			return
		}
	}
}

// repeat carries out a step of planned work several times.
func (r *run) repeat(ctx context.Context, random *rand.Rand, what string, step func()) {
	n := 2 + random.IntN(maxRepeats-1)
	r.recordFault(fmt.Sprintf("%d %s", n, what))
	for ; n > 0 && r.pause(ctx, random, meanRepeatPause); n-- {
		step()
	}
}

// joinHosts lets several hosts with their agents join at once and leave again, until faults are no longer injected
// and leaving hosts have left. At most as many as the run has hosts are present at a time.
func (r *run) joinHosts(ctx context.Context) <-chan error {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 2))
	return background(func() {
		var leaving sync.WaitGroup
		defer leaving.Wait()
		var present []*host
		for r.pause(ctx, random, meanJoinPause) {
			joining := min(1+random.IntN(r.cfg.Hosts), r.cfg.Hosts-len(present), maxHosts-r.cfg.Hosts-len(r.joined))
			r.recordFault(fmt.Sprintf("%d hosts join", joining))
			for range joining {
				if h := r.joinHost(ctx, random); h != nil {
					present = append(present, h)
				}
			}
			if !r.pause(ctx, random, meanJoinPause) {
				return
			}
			count := random.IntN(len(present) + 1)
			r.recordFault(fmt.Sprintf("%d hosts leave", count))
			for _, h := range present[:count] {
				leaving.Go(func() { h.leave(ctx) })
			}
			present = present[count:]
		}
	})
}

// joinHost starts another host and its agent, one shortly after the other.
func (r *run) joinHost(ctx context.Context, random *rand.Rand) *host {
	delays := [2]time.Duration{time.Duration(random.Int64N(int64(maxStartDelay)))}
	first, service := random.IntN(2), packettest.FirstService
	if random.IntN(4) == 0 {
		service = packettest.SecondService
	}
	h, err := r.addHost(ctx, r.cfg.Hosts+len(r.joined), service, delays[first], delays[1-first])
	if err != nil {
		r.fail("a host did not join: %v", err)
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined = append(r.joined, h)
	return h
}
