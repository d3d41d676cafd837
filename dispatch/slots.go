package dispatch

import (
	"context"
	"sync"
	"time"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/config"
)

// slots is the scheduler of the local upstream with the requests that wait for it.
type slots struct {
	now func() time.Time
	mu  sync.Mutex
	// All below is guarded by mu.
	scheduler  *admit.Scheduler
	classifier *admit.Classifier
	// waiting holds a channel for each queued request; its buffer takes the decision.
	waiting map[uint64]chan admit.Decision
	// total is the number of slots of a warm upstream; weight its present percentage.
	total, weight, reserved int
}

func newSlots(cfg admit.SchedulerConfig, now func() time.Time) *slots {
	return &slots{
		now:        now,
		scheduler:  admit.NewScheduler(cfg),
		classifier: admit.NewClassifier(admit.ClassifierConfig{}),
		waiting:    make(map[uint64]chan admit.Decision),
		total:      cfg.Slots,
		weight:     100,
		reserved:   cfg.Reserved,
	}
}

func (s *slots) load() admit.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Load(s.now())
}

func (s *slots) classify(j *job, service config.Service) admit.Class {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, _ := s.classifier.Classify(j.method, j.url.Path, service.Long, service.Short)
	return c
}

func (s *slots) meanRun(c admit.Class) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.MeanRun(c)
}

func (s *slots) setTotal(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total = max(n, 0)
	s.apply()
}

// setWeight sets the weight of a slow start in percent and the reserved slots.
func (s *slots) setWeight(weight, reserved int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weight == weight && s.reserved == reserved {
		return
	}
	s.weight, s.reserved = weight, reserved
	s.apply()
}

// apply sets the usable slots: a cold upstream gets its weight's part, rounded up.
func (s *slots) apply() {
	usable := (s.total*s.weight + 99) / 100
	s.scheduler.SetWarmSlots(s.total)
	s.deliver(s.scheduler.SetSlots(usable, s.reserved, s.now()))
}

// deliver passes decisions to the requests that wait for them. The caller holds mu.
func (s *slots) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if ch, ok := s.waiting[d.ID]; ok {
			delete(s.waiting, d.ID)
			ch <- d
		}
	}
}

// try takes a free slot or refuses.
func (s *slots) try(j *job) admit.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.TryRun(j.admission(), s.now())
}

// tryLighter takes a free slot or refuses, and refuses unless the load is less than the sender's.
func (s *slots) tryLighter(j *job, sender admit.Load) admit.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.TryRunIfLessLoaded(j.admission(), sender, s.now())
}

// acquire takes a slot, waiting in the queue if need be. When ctx ends first, it gives
// the place up and returns the error of ctx.
func (s *slots) acquire(ctx context.Context, j *job) (admit.Decision, error) {
	s.mu.Lock()
	d := s.scheduler.Offer(j.admission(), s.now())
	if d.Verdict != admit.Queue {
		s.mu.Unlock()
		return d, nil
	}
	ch := make(chan admit.Decision, 1)
	s.waiting[j.id] = ch
	s.mu.Unlock()
	return s.wait(ctx, j.id, d.ExpiresAt, ch)
}

// recheck is the time between two looks at a request whose time to give up has been moved.
const recheck = 5 * time.Millisecond

func (s *slots) wait(ctx context.Context, id uint64, giveUp time.Time, ch chan admit.Decision) (admit.Decision, error) {
	timer := time.NewTimer(giveUp.Sub(s.now()))
	defer timer.Stop()
	for {
		select {
		case d := <-ch:
			return d, nil
		case <-ctx.Done():
			s.cancel(id)
			return admit.Decision{}, ctx.Err()
		case <-timer.C:
			s.next()
			timer.Reset(recheck)
		}
	}
}

func (s *slots) next() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.scheduler.Next(s.now()))
}

// cancel gives up a slot or a place in the queue without measuring a run time.
func (s *slots) cancel(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	s.deliver(s.scheduler.Cancel(id, s.now()))
}

// done frees a slot after a run that took d.
func (s *slots) done(j *job, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.classifier.Learn(j.method, j.url.Path, d)
	s.deliver(s.scheduler.Done(j.id, s.now()))
}
