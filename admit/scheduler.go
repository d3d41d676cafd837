package admit

import (
	"math/rand/v2"
	"time"
)

// Defaults of a SchedulerConfig.
const (
	DefaultLongShare    = 0.25
	DefaultQueueFactor  = 2.0
	DefaultMaxQueue     = 1000
	DefaultShortRunTime = 20 * time.Millisecond
	DefaultLongRunTime  = time.Second
)

// minQueueBound is the lowest bound on the expected queue time. A refused caller retries after
// minRetryAfter at the earliest, so refusing a request that would be served sooner only adds to its
// response time. A request waits for at most twice the bound. 40 ms is the bound for 20 ms work, for
// which the response time target at the crest (load peak) is stated; a higher minimum would
// lengthen its queue.
const minQueueBound = 40 * time.Millisecond

// minQueueBoundUnmeasured replaces minQueueBound until minMeasuredRuns run times are measured. The
// assumed run time is too uncertain to refuse work by it; without any bound, callers of an upstream that
// hangs from the start would be refused only at their deadline.
const minQueueBoundUnmeasured = 400 * time.Millisecond

// minMeasuredRuns is the number of measured run times from which the mean is used for the bound.
const minMeasuredRuns = 8

// SchedulerConfig configures a Scheduler.
type SchedulerConfig struct {
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Reserved is the number of slots that long work never takes. At least one slot is left for long work.
	Reserved int
	// LongShare is the share of the slot time, 0 to 1, that long work gets while both
	// classes have queued requests; 0 means DefaultLongShare.
	LongShare float64
	// QueueFactor bounds the expected queue time of a class in multiples of its mean run time; 0 means
	// DefaultQueueFactor. If only the deadline bounded it, every request admitted during an overload
	// would wait for almost its whole deadline.
	QueueFactor float64
	// MaxQueue bounds the length of each queue; 0 means DefaultMaxQueue.
	MaxQueue int
	// ShortRunTime and LongRunTime are the mean run times assumed until the first one is measured; 0 means the
	// defaults.
	ShortRunTime, LongRunTime time.Duration
	// Rand returns a random number in [0, 1) for the jitter; nil means Float64 of math/rand/v2.
	Rand func() float64
}

// Scheduler assigns the slots of one upstream to requests. It is not safe for concurrent use.
type Scheduler struct {
	cfg SchedulerConfig
	// slots is 0 or more. When it is lowered below the number of running requests, these continue, and no
	// other starts until fewer are running than slots.
	slots, reserved int
	// warmSlots is the number of slots after the slow start; 0 when it is not set.
	warmSlots   int
	short, long *lane
	// running holds the requests that hold a slot, by ID.
	running map[uint64]run
	usage   usage
	// virtualTime is the start tag of the request started last; it never decreases.
	virtualTime float64
}

// run is a request that holds a slot.
type run struct {
	lane    *lane
	started time.Time
}

// NewScheduler returns a scheduler with all slots free.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	cfg = withDefaults(cfg)
	s := &Scheduler{cfg: cfg, running: make(map[uint64]run)}
	s.short = newLane(Short, 1-cfg.LongShare, cfg.ShortRunTime)
	s.long = newLane(Long, cfg.LongShare, cfg.LongRunTime)
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
	if cfg.ShortRunTime <= 0 {
		cfg.ShortRunTime = DefaultShortRunTime
	}
	if cfg.LongRunTime <= 0 {
		cfg.LongRunTime = DefaultLongRunTime
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return cfg
}

// SetSlots changes the number of slots and returns the resulting decisions for queued requests.
func (s *Scheduler) SetSlots(slots, reserved int, now time.Time) []Decision {
	s.setSlots(slots, reserved)
	return s.Next(now)
}

// SetWarmSlots sets the number of slots after the slow start, from which the bound on the queue time is
// computed; 0 means that there is no slow start.
func (s *Scheduler) SetWarmSlots(slots int) { s.warmSlots = slots }

func (s *Scheduler) setSlots(slots, reserved int) {
	s.slots = max(slots, 0)
	s.reserved = max(min(reserved, s.slots-1), 0)
}

// Load returns the current load.
func (s *Scheduler) Load(now time.Time) Load {
	s.advance(now)
	return Load{
		Slots: s.slots, Reserved: s.reserved,
		ShortInUse: s.short.inUse, LongInUse: s.long.inUse,
		ShortQueued: len(s.short.queue), LongQueued: len(s.long.queue),
		Recent: s.usage.thousandths(),
	}
}

// TryRun gives a request a free slot or refuses it; it never queues it.
func (s *Scheduler) TryRun(r Request, now time.Time) Decision {
	l := s.lane(r.Class)
	if s.slots == 0 {
		return s.refuse(r.ID, l, ReasonNoSlots, now)
	}
	if !s.Load(now).HasRoom(r.Class) {
		return s.refuse(r.ID, l, ReasonBusy, now)
	}
	if !r.Deadline.IsZero() && !now.Add(l.minRemaining()).Before(r.Deadline) {
		return s.refuse(r.ID, l, ReasonDeadline, now)
	}
	s.start(r.ID, l, now)
	return Decision{ID: r.ID, Verdict: Run, Reason: ReasonFreeSlot}
}

// TryRunIfLessLoaded is TryRun for a request from an agent that has a free slot itself: it also refuses
// the request when this upstream is not less loaded than the sender's.
func (s *Scheduler) TryRunIfLessLoaded(r Request, sender Load, now time.Time) Decision {
	if !s.Load(now).lessLoadedThan(sender) {
		return s.refuse(r.ID, s.lane(r.Class), ReasonNotLessLoaded, now)
	}
	return s.TryRun(r, now)
}

// Offer gives a request a free slot, queues it, or refuses it when it is not expected to meet its
// deadline or the queue is too long.
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
	queued := queuedRequest{id: r.ID, deadline: r.Deadline}
	if s.missesDeadline(l, queued, wait, now) {
		return s.refuse(r.ID, l, ReasonDeadline, now)
	}
	bound := s.maxWait(l)
	if wait > bound {
		return s.refuse(r.ID, l, ReasonQueueTime, now)
	}
	queued.waitLimit = now.Add(2 * bound)
	if len(l.queue) == 0 {
		l.activate(s.virtualTime)
	}
	l.queue = append(l.queue, queued)
	return Decision{ID: r.ID, Verdict: Queue, Reason: ReasonBusy, Wait: wait, ExpiresAt: s.expiresAt(l, queued)}
}

// Done frees the slot of a completed request, records its run time, and returns the resulting decisions
// for queued requests. If the request holds no slot, Done is the same as Next.
func (s *Scheduler) Done(id uint64, now time.Time) []Decision {
	if r, ok := s.running[id]; ok {
		s.release(id, r, now)
		r.lane.recordRun(now.Sub(r.started), now)
	}
	return s.Next(now)
}

// Cancel frees the slot of a request or removes it from the queue, without recording a run time, and
// returns the resulting decisions for queued requests.
func (s *Scheduler) Cancel(id uint64, now time.Time) []Decision {
	if r, ok := s.running[id]; ok {
		s.release(id, r, now)
		return s.Next(now)
	}
	s.short.remove(id)
	s.long.remove(id)
	return s.Next(now)
}

// Next returns the decisions that are due: queued requests that get a slot, and those that are refused
// because they can no longer meet their deadline or have waited too long.
func (s *Scheduler) Next(now time.Time) []Decision {
	var out []Decision
	for {
		out = s.refuseOverdue(s.short, out, now)
		out = s.refuseOverdue(s.long, out, now)
		l := s.nextLane()
		if l == nil {
			return out
		}
		queued := l.queue[0]
		l.queue = l.queue[1:]
		s.start(queued.id, l, now)
		out = append(out, Decision{ID: queued.id, Verdict: Run, Reason: ReasonTurn})
	}
}

// MeanRunTime returns the mean run time of a class, which is the assumed one until a run time is measured.
func (s *Scheduler) MeanRunTime(c Class) time.Duration { return s.lane(c).mean }

func (s *Scheduler) lane(c Class) *lane {
	if c == Long {
		return s.long
	}
	return s.short
}

// advance updates the mean of the slots in use to the time now. Call it before the number of slots in use
// changes.
func (s *Scheduler) advance(now time.Time) { s.usage.advance(s.short.inUse+s.long.inUse, now) }

func (s *Scheduler) release(id uint64, r run, now time.Time) {
	s.advance(now)
	delete(s.running, id)
	r.lane.inUse--
}

func (s *Scheduler) start(id uint64, l *lane, now time.Time) {
	s.advance(now)
	s.running[id] = run{lane: l, started: now}
	s.virtualTime = l.charge(s.virtualTime)
	l.inUse++
}

// nextLane returns the lane whose first queued request gets the next slot, or nil if none can start.
func (s *Scheduler) nextLane() *lane {
	if s.short.inUse+s.long.inUse >= s.slots {
		return nil
	}
	longReady := len(s.long.queue) > 0 && s.long.inUse < s.slots-s.reserved
	shortReady := len(s.short.queue) > 0
	switch {
	case shortReady && longReady:
		if s.long.startTag(s.virtualTime) < s.short.startTag(s.virtualTime) {
			return s.long
		}
		return s.short
	case shortReady:
		return s.short
	case longReady:
		return s.long
	}
	return nil
}
