package dispatch

import (
	"context"
	"sync"
	"time"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/config"
)

// slots makes the scheduler of the local upstream safe for concurrent use and lets requests wait for its
// decisions.
type slots struct {
	now func() time.Time
	// mu guards the fields below.
	mu         sync.Mutex
	scheduler  *admit.Scheduler
	classifier *admit.Classifier
	// waiting holds a channel for each queued request, by request ID. The channel has a buffer for one decision,
	// so sending it does not block.
	waiting map[uint64]chan admit.Decision
	// total is the number of slots of the warm upstream; weight is the percentage of them in use during a
	// slow start; reserved is the number of slots that long work never takes.
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
	c, _ := s.classifier.Classify(j.method, j.url.Path, service.LongPrefixes, service.ShortPrefixes)
	return c
}

func (s *slots) meanRun(c admit.Class) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.MeanRunTime(c)
}

func (s *slots) setTotal(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total = max(n, 0)
	s.apply()
}

// setWeight sets the upstream's weight in percent and the number of reserved slots.
func (s *slots) setWeight(weight, reserved int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weight == weight && s.reserved == reserved {
		return
	}
	s.weight, s.reserved = weight, reserved
	s.apply()
}

// apply sets the scheduler's number of slots: the weight's percentage of total, rounded up. The caller holds
// mu.
func (s *slots) apply() {
	usable := (s.total*s.weight + 99) / 100
	s.scheduler.SetWarmSlots(s.total)
	s.deliver(s.scheduler.SetSlots(usable, s.reserved, s.now()))
}

// deliver sends decisions to the requests that wait for them. The caller holds mu.
func (s *slots) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if ch, ok := s.waiting[d.ID]; ok {
			delete(s.waiting, d.ID)
			ch <- d
		}
	}
}

// tryAcquire takes a free slot for a request or refuses the request.
func (s *slots) tryAcquire(j *job) admit.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.TryRun(j.admission(), s.now())
}

// tryAcquireIfLessLoaded is tryAcquire for a handed-over request; it also refuses unless the load is less
// than the sender's.
func (s *slots) tryAcquireIfLessLoaded(j *job, sender admit.Load) admit.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.TryRunIfLessLoaded(j.admission(), sender, s.now())
}

// acquire takes a slot for a request, which waits in the queue if necessary. If ctx ends first, acquire
// removes the request from the queue and returns the error of ctx.
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

// recheckInterval is the time between two calls of the scheduler's Next for a queued request whose expiry has
// passed. The scheduler may not refuse it at once, since the expiry is later if the mean run time has decreased.
const recheckInterval = 5 * time.Millisecond

// wait waits for the decision on a queued request, which the scheduler is asked for from expiresAt on.
func (s *slots) wait(ctx context.Context, id uint64, expiresAt time.Time, ch chan admit.Decision) (admit.Decision, error) {
	timer := time.NewTimer(expiresAt.Sub(s.now()))
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
			timer.Reset(recheckInterval)
		}
	}
}

// next delivers the decisions that are due.
func (s *slots) next() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.scheduler.Next(s.now()))
}

// cancel frees the slot of a request or removes it from the queue, without recording a run time.
func (s *slots) cancel(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	s.deliver(s.scheduler.Cancel(id, s.now()))
}

// done frees the slot of a request after a run of duration d, which is recorded.
func (s *slots) done(j *job, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.classifier.Learn(j.method, j.url.Path, d)
	s.deliver(s.scheduler.Done(j.id, s.now()))
}
