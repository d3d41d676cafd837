package admit

import (
	"math/rand/v2"
	"time"
)

// Defaults of a SchedulerConfig.
const (
	DefaultLongShare   = 0.25
	DefaultQueueFactor = 2.0
	DefaultMaxQueue    = 1000
	DefaultShortRun    = 20 * time.Millisecond
	DefaultLongRun     = time.Second
)

// queueFloor is the shortest bound of the queue time. A refused caller returns after
// minRetryAfter at the earliest, so refusing what is served sooner only adds to its response time.
// A request waits for at most twice the bound. 40 ms is the bound of 20 ms work, for which
// the target at the crest is stated; a higher floor would lengthen its queue.
const queueFloor = 40 * time.Millisecond

// unmeasuredFloor is queueFloor until minMeasured run times are measured. The assumed run time is
// too weak a reason to refuse work; without any bound, callers of an upstream that hangs from
// the start would be refused only at their deadline.
const unmeasuredFloor = 400 * time.Millisecond

// minMeasured is the number of measured run times that make the mean usable as a bound.
const minMeasured = 8

// SchedulerConfig configures a Scheduler.
type SchedulerConfig struct {
	// Slots is the number of requests that the upstream runs at a time.
	Slots int
	// Reserved is the number of slots that long work never takes. At least one slot stays open to it.
	Reserved int
	// LongShare is the share of the slot time, 0 to 1, that long work gets while both
	// classes wait; 0 means DefaultLongShare.
	LongShare float64
	// QueueFactor bounds the queue time of a class in multiples of its mean run time; 0 means
	// DefaultQueueFactor. A bound by the deadline alone would let every admitted
	// request of an overload wait for almost its whole deadline.
	QueueFactor float64
	// MaxQueue bounds the length of each queue; 0 means DefaultMaxQueue.
	MaxQueue int
	// ShortRun and LongRun are the mean run times assumed until some are measured; 0 means the defaults.
	ShortRun, LongRun time.Duration
	// Rand returns a number from 0 to 1, 1 excluded, for the jitter; nil means math/rand/v2.
	Rand func() float64
}

// Scheduler shares the slots of one upstream. It is not safe for concurrent use.
type Scheduler struct {
	cfg SchedulerConfig
	// slots is 0 or more; running requests above it finish, but none starts.
	slots, reserved int
	// warmSlots is the number of slots after the slow start; 0 when there is none.
	warmSlots   int
	short, long *lane
	// running holds each request that holds a slot.
	running map[uint64]run
	usage   usage
	// virtual is the start tag of the latest start; it never decreases.
	virtual float64
}

type run struct {
	lane    *lane
	started time.Time
}

// NewScheduler returns a scheduler with free slots.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	cfg = withDefaults(cfg)
	s := &Scheduler{cfg: cfg, running: make(map[uint64]run)}
	s.short = newLane(Short, 1-cfg.LongShare, cfg.ShortRun)
	s.long = newLane(Long, cfg.LongShare, cfg.LongRun)
	s.setSlots(cfg.Slots, cfg.Reserved)
	return s
}

func withDefaults(cfg SchedulerConfig) SchedulerConfig {
	if cfg.LongShare <= 0 || cfg.LongShare >= 1 {
		cfg.LongShare = DefaultLongShare
	}
	if cfg.QueueFactor <= 0 {
		cfg.QueueFactor = DefaultQueueFactor
	}
	if cfg.MaxQueue <= 0 {
		cfg.MaxQueue = DefaultMaxQueue
	}
	if cfg.ShortRun <= 0 {
		cfg.ShortRun = DefaultShortRun
	}
	if cfg.LongRun <= 0 {
		cfg.LongRun = DefaultLongRun
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return cfg
}

// SetSlots changes the slots and returns the decisions that follow from it.
func (s *Scheduler) SetSlots(slots, reserved int, now time.Time) []Decision {
	s.setSlots(slots, reserved)
	return s.Next(now)
}

// SetWarmSlots sets the number of slots after the slow start, by which queue times are bounded; 0
// means that there is none.
func (s *Scheduler) SetWarmSlots(slots int) { s.warmSlots = slots }

func (s *Scheduler) setSlots(slots, reserved int) {
	s.slots = max(slots, 0)
	s.reserved = max(min(reserved, s.slots-1), 0)
}

// Load returns the load.
func (s *Scheduler) Load(now time.Time) Load {
	s.advance(now)
	return Load{
		Slots: s.slots, Reserved: s.reserved,
		ShortInUse: s.short.inUse, LongInUse: s.long.inUse,
		ShortQueued: len(s.short.queue), LongQueued: len(s.long.queue),
		Recent: s.usage.thousandths(),
	}
}

// TryRun runs a request on a free slot or refuses it; it never queues it.
func (s *Scheduler) TryRun(r Request, now time.Time) Decision {
	l := s.lane(r.Class)
	if s.slots == 0 {
		return s.refuse(r.ID, l, ReasonNoSlots, now)
	}
	if !s.Load(now).HasRoom(r.Class) {
		return s.refuse(r.ID, l, ReasonBusy, now)
	}
	if !r.Deadline.IsZero() && !now.Add(l.shortestUseful()).Before(r.Deadline) {
		return s.refuse(r.ID, l, ReasonDeadline, now)
	}
	s.start(r.ID, l, now)
	return Decision{ID: r.ID, Verdict: Run, Reason: ReasonFreeSlot}
}

// TryRunLighter is TryRun for a request of an agent with a free slot of its own: it also
// refuses when the upstream is not less loaded than that agent's.
func (s *Scheduler) TryRunLighter(r Request, sender Load, now time.Time) Decision {
	if !s.Load(now).lighterThan(sender) {
		return s.refuse(r.ID, s.lane(r.Class), ReasonNotLighter, now)
	}
	return s.TryRun(r, now)
}

// Offer runs a request on a free slot, queues it, or refuses it when it is not expected
// to meet its deadline.
func (s *Scheduler) Offer(r Request, now time.Time) Decision {
	d := s.TryRun(r, now)
	if d.Verdict == Run || d.Reason != ReasonBusy {
		return d
	}
	l := s.lane(r.Class)
	if len(l.queue) >= s.cfg.MaxQueue {
		return s.refuse(r.ID, l, ReasonQueueLength, now)
	}
	wait := s.expectedWait(l, len(l.queue))
	w := waiting{id: r.ID, deadline: r.Deadline}
	if s.late(l, w, wait, now) {
		return s.refuse(r.ID, l, ReasonDeadline, now)
	}
	bound := s.maxWait(l)
	if wait > bound {
		return s.refuse(r.ID, l, ReasonQueueTime, now)
	}
	w.end = now.Add(2 * bound)
	if len(l.queue) == 0 {
		l.activate(s.virtual)
	}
	l.queue = append(l.queue, w)
	return Decision{ID: r.ID, Verdict: Queue, Reason: ReasonBusy, Wait: wait, GiveUp: s.giveUp(l, w)}
}

// Done frees the slot of a request, measures its run time, and returns the decisions
// that follow. For a request that holds no slot only the queues are looked at.
func (s *Scheduler) Done(id uint64, now time.Time) []Decision {
	if r, ok := s.running[id]; ok {
		s.release(id, r, now)
		r.lane.measure(now.Sub(r.started), now)
	}
	return s.Next(now)
}

// Cancel frees the place of a request in a queue or its slot, without measuring a run
// time, and returns the decisions that follow.
func (s *Scheduler) Cancel(id uint64, now time.Time) []Decision {
	if r, ok := s.running[id]; ok {
		s.release(id, r, now)
		return s.Next(now)
	}
	s.short.remove(id)
	s.long.remove(id)
	return s.Next(now)
}

// Next returns the decisions that are due: requests that get a slot and requests that are
// refused because they can no longer meet their deadline.
func (s *Scheduler) Next(now time.Time) []Decision {
	var out []Decision
	for {
		out = s.dropLate(s.short, out, now)
		out = s.dropLate(s.long, out, now)
		l := s.nextLane()
		if l == nil {
			return out
		}
		w := l.queue[0]
		l.queue = l.queue[1:]
		s.start(w.id, l, now)
		out = append(out, Decision{ID: w.id, Verdict: Run, Reason: ReasonTurn})
	}
}

// MeanRun returns the measured mean run time of a class.
func (s *Scheduler) MeanRun(c Class) time.Duration { return s.lane(c).mean }

func (s *Scheduler) lane(c Class) *lane {
	if c == Long {
		return s.long
	}
	return s.short
}

func (s *Scheduler) advance(now time.Time) { s.usage.advance(s.short.inUse+s.long.inUse, now) }

func (s *Scheduler) release(id uint64, r run, now time.Time) {
	s.advance(now)
	delete(s.running, id)
	r.lane.inUse--
}

func (s *Scheduler) start(id uint64, l *lane, now time.Time) {
	s.advance(now)
	s.running[id] = run{lane: l, started: now}
	s.virtual = l.charge(s.virtual)
	l.inUse++
}

// nextLane returns the lane whose first request gets the next slot, or nil.
func (s *Scheduler) nextLane() *lane {
	if s.short.inUse+s.long.inUse >= s.slots {
		return nil
	}
	longMay := len(s.long.queue) > 0 && s.long.inUse < s.slots-s.reserved
	shortMay := len(s.short.queue) > 0
	switch {
	case shortMay && longMay:
		if s.long.tag(s.virtual) < s.short.tag(s.virtual) {
			return s.long
		}
		return s.short
	case shortMay:
		return s.short
	case longMay:
		return s.long
	}
	return nil
}
