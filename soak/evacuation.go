package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/standin"
)

const (
	// maxEvacuateDelay is the time in which an evacuation must be in force. The processes get it as bounds.evacuateMs.
	maxEvacuateDelay = 3 * time.Second
	// evacuationDisturbedTime is how long after a start or pause of a process, or a change of the store's state, a late
	// opening packet is no violation.
	evacuationDisturbedTime = 5 * time.Second
	// meanEvacuationPause is the mean time between evacuations, meanEvacuationTime the mean time for which one lasts
	// beyond maxEvacuateDelay.
	meanEvacuationPause = time.Second
	meanEvacuationTime  = 3 * time.Second
	// zones is the number of zones of a run with evacuations.
	zones = 3
)

// zone returns the zone of the nth entry or host.
func (c Config) zone(n int) string {
	if !c.Evacuations {
		return "a"
	}
	return string(rune('a' + n%zones))
}

// evacuation is an evacuation whose write the store acknowledged.
type evacuation struct {
	zone    string
	ackedAt time.Time
	// rewrittenAt is when the object was last written again after a restore of the store.
	rewrittenAt time.Time
	// inForce is set once the system had the time to learn the evacuation, and unset when all processes lose it at once.
	inForce bool
}

// injectEvacuations evacuates one zone after the other. The last evacuation extends into the time without faults, where
// nothing excuses late opening packets.
func (r *run) injectEvacuations(ctx context.Context) <-chan error {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 3))
	return background(func() {
		for last := false; !last && ctx.Err() == nil; {
			r.pause(ctx, random, meanEvacuationPause)
			zone := r.cfg.zone(random.IntN(zones))
			until := time.Since(r.startedAt) + maxEvacuateDelay + time.Duration(random.ExpFloat64()*float64(meanEvacuationTime))
			if until > r.cfg.FaultTime {
				until, last = r.cfg.FaultTime+r.cfg.SettleTime*7/8, true
			}
			r.evacuate(ctx, zone)
			time.Sleep(until - time.Since(r.startedAt))
			r.withdraw(ctx, zone)
		}
	})
}

// evacuate writes the object of an evacuation, several times if the store refuses.
func (r *run) evacuate(ctx context.Context, zone string) {
	r.operator.Lock()
	defer r.operator.Unlock()
	for range restoreAttempts {
		if r.writeEvacuation(ctx, zone) == nil {
			r.mu.Lock()
			r.evacuated = &evacuation{zone: zone, ackedAt: time.Now()}
			r.mu.Unlock()
			r.recordFault(fmt.Sprintf("zone %s evacuated", zone))
			return
		}
		time.Sleep(restorePause)
	}
	r.recordFault(fmt.Sprintf("evacuation of zone %s refused", zone))
}

// writeEvacuation writes the object of an evacuation unless it exists.
func (r *run) writeEvacuation(ctx context.Context, zone string) error {
	key := platform.EvacuationsPrefix + zone
	_, err := r.client.Get(ctx, key)
	if errors.Is(err, errors.NotFound) {
		_, err = r.client.Put(ctx, key, []byte("{}"), 0)
	}
	if err != nil {
		return fmt.Errorf("writing the evacuation of zone %s: %w", zone, err)
	}
	return nil
}

// withdraw deletes the object of an evacuation.
func (r *run) withdraw(ctx context.Context, zone string) {
	r.operator.Lock()
	defer r.operator.Unlock()
	r.mu.Lock()
	e := r.evacuated
	r.evacuated = nil
	r.mu.Unlock()
	if e != nil {
		time.Sleep(time.Until(e.rewrittenAt.Add(maxEvacuateDelay)))
	}
	for range restoreAttempts {
		err := r.deleteEvacuation(ctx, zone)
		switch {
		case err == nil, errors.Is(err, errors.NotFound) && e == nil:
			r.recordFault(fmt.Sprintf("evacuation of zone %s withdrawn", zone))
			return
		case errors.Is(err, errors.NotFound) && r.writeEvacuation(ctx, zone) == nil:
			// A restore of the store removed the object.
			time.Sleep(maxEvacuateDelay)
		default:
			time.Sleep(restorePause)
		}
	}
	r.fail("the evacuation of zone %s could not be withdrawn", zone)
}

func (r *run) deleteEvacuation(ctx context.Context, zone string) error {
	o, err := r.client.Get(ctx, platform.EvacuationsPrefix+zone)
	if err != nil {
		return err
	}
	return r.client.Delete(ctx, o)
}

// rewriteEvacuation writes the current evacuation again after a restore of the store, and deletes those that the restore
// brought back, as the operator does. Only a deletion that the processes observe withdraws an evacuation whose object the
// restore removed.
func (r *run) rewriteEvacuation(ctx context.Context) error {
	if !r.cfg.Evacuations {
		return nil
	}
	r.operator.Lock()
	defer r.operator.Unlock()
	r.mu.Lock()
	e := r.evacuated
	if e != nil {
		e.rewrittenAt = time.Now()
	}
	r.mu.Unlock()
	for n := range zones {
		zone := r.cfg.zone(n)
		if e != nil && e.zone == zone {
			if err := r.writeEvacuation(ctx, zone); err != nil {
				return err
			}
			continue
		}
		if err := r.deleteEvacuation(ctx, zone); err != nil && !errors.Is(err, errors.NotFound) {
			return fmt.Errorf("deleting the evacuation of zone %s: %w", zone, err)
		}
	}
	return nil
}

// changeStore changes the state of the store or of the connections to it.
func (r *run) changeStore(change func()) {
	r.mu.Lock()
	r.updateEvacuation()
	r.storeChangedAt = time.Now()
	r.mu.Unlock()
	change()
}

func (r *run) setOutage(outage bool) {
	r.changeStore(func() { r.store.SetSwitches(standin.Switches{Outage: outage}) })
}

// storeIsReachable reports whether the processes can call the store without disturbance.
func (r *run) storeIsReachable() bool {
	return r.proxy.mode.Load() == passing && !r.store.Switches().Outage
}

// updateEvacuation determines whether the current evacuation is in force: the time in which it must be has passed,
// meanwhile neither the store was disturbed nor were all processes killed, and an entry could read it. r.mu is held.
func (r *run) updateEvacuation() {
	e := r.evacuated
	if e == nil || e.inForce {
		return
	}
	e.inForce = time.Since(e.ackedAt) > maxEvacuateDelay && r.storeIsReachable() &&
		time.Since(r.storeChangedAt) > evacuationDisturbedTime && time.Since(r.allKilledAt) > evacuationDisturbedTime &&
		slices.ContainsFunc(r.entries, func(p *process) bool { return p.undisturbedFor(maxEvacuateDelay) })
}

// checkEvacuation checks that an opening packet doesn't reach a host of an evacuated zone. h.mu is held.
func (r *run) checkEvacuation(h *host, key flow.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateEvacuation()
	e := r.evacuated
	if e == nil {
		return
	}
	checked := e.inForce && r.storeIsReachable()
	if checked {
		r.report.EvacuationChecks++
	}
	if h.zone != e.zone || time.Since(e.ackedAt) <= maxEvacuateDelay {
		return
	}
	entry := r.lastEntries[key]
	if !checked || !h.agent.runsFor(evacuationDisturbedTime) || !entry.runsFor(evacuationDisturbedTime) {
		r.report.EvacuationExcuses++
		return
	}
	r.failLocked("an opening packet of flow %s, sent to entry %s, reached host %s of zone %s, %d ms after its evacuation was acknowledged",
		key, entry.ip, h.ip, h.zone, time.Since(e.ackedAt).Milliseconds())
}
