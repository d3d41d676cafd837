package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// meanMassFailurePause is the mean time between two mass failures.
const meanMassFailurePause = 4 * time.Second

// injectMassFailures kills all processes at once, and ends all hosts and processes at once.
func (r *run) injectMassFailures(ctx context.Context) <-chan error {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 4))
	return background(func() {
		for r.pause(ctx, random, meanMassFailurePause) {
			if random.IntN(2) == 0 {
				r.recordFault("all processes killed")
				r.killAll(r.allHosts())
			} else {
				r.recordFault("power loss of all hosts and processes")
				r.losePower(random)
			}
		}
	})
}

func (r *run) allHosts() []*host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.hosts, r.joined)
}

// killAll kills the entries and the agents of the given hosts.
func (r *run) killAll(hosts []*host) {
	r.mu.Lock()
	r.updateEvacuation()
	r.allKilledAt = time.Now()
	if r.evacuated != nil {
		r.evacuated.inForce = false
	}
	r.mu.Unlock()
	for _, p := range r.entries {
		p.signal(syscall.SIGKILL)
	}
	for _, h := range hosts {
		h.agent.signal(syscall.SIGKILL)
	}
}

// losePower ends all hosts and processes, and starts the hosts again when their agents start.
func (r *run) losePower(random *rand.Rand) {
	hosts := r.allHosts()
	for _, h := range hosts {
		h.crash()
	}
	r.killAll(hosts)
	for _, h := range hosts {
		time.AfterFunc(restartPause+time.Duration(random.Int64N(int64(maxStartDelay))), h.restart)
	}
}
