package admit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/admit"
)

// Parameters of the swing, a simulated change of demand: 10 agents with 4 slots each run at half load,
// then the load rises within 2 s to 3 times the capacity and remains there. The load peak is called the crest.
const (
	swingAgents = 10
	swingSlots  = 4
	shortRun    = 20 * time.Millisecond
	longFactor  = 50
	longShare   = 0.05
	riseAt      = 20 * time.Second
	crestAt     = riseAt + 2*time.Second
	swingEnd    = crestAt + 40*time.Second
	deadline    = 10 * time.Second
	peerHop     = time.Millisecond
)

// mode is one of the scheduling schemes that are compared.
type mode struct {
	name           string
	classes, peers bool
	// fifo replaces the bounded queues by one queue without bounds and deadlines; its callers abandon a
	// request at their deadline.
	fifo bool
	// skewed gives half of the agents two thirds of the arrivals.
	skewed bool
}

type work struct {
	class    admit.Class
	arrived  time.Time
	run, hop time.Duration
	started  bool
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// swing is the discrete-event simulation.
type swing struct {
	mode   mode
	random *rand.Rand
	start  time.Time
	now    time.Time
	queue  events
	agents []*agent
	nextID uint64
	// response holds the response times of short work by the phase of its arrival, see phaseOf; wait holds
	// the queue times of short work at the crest. All are in microseconds.
	response [3]*hdrhistogram.Histogram
	wait     *hdrhistogram.Histogram
	useful   time.Duration
	offered  [3]int
	refused  [3]int
	// probes counts the requests offered to less loaded peers, by phase.
	probes [3]int
}

type agent struct {
	scheduler *admit.Scheduler
	peers     []admit.PeerLoad
	works     map[uint64]work
	// busy is the slot time in use at half load and at the crest.
	busy [2]time.Duration
}

func newSwing(m mode, seed uint64) *swing {
	s := &swing{mode: m, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_000_000, 0)}
	s.now = s.start
	for i := range s.response {
		s.response[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	s.wait = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range swingAgents {
		cfg := admit.SchedulerConfig{Slots: swingSlots, Reserved: 1, Rand: s.random.Float64}
		if !m.classes {
			cfg.Reserved = 0
		}
		if m.fifo {
			cfg.QueueFactor, cfg.MaxQueue = 1e6, 1e6
		}
		a := &agent{scheduler: admit.NewScheduler(cfg), works: map[uint64]work{}}
		for j := range swingAgents {
			if j != i {
				a.peers = append(a.peers, admit.PeerLoad{Slots: swingSlots, Weight: 100})
			}
		}
		s.agents = append(s.agents, a)
	}
	return s
}

func (s *swing) at(d time.Duration, do func()) { heap.Push(&s.queue, event{at: s.now.Add(d), do: do}) }

func (s *swing) run() {
	s.at(0, s.arrive)
	for s.now.Before(s.start.Add(swingEnd)) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// load returns the offered load as a multiple of the capacity.
func (s *swing) load() float64 {
	switch t := s.now.Sub(s.start); {
	case t < riseAt:
		return 0.5
	case t < crestAt:
		return 0.5 + 2.5*float64(t-riseAt)/float64(crestAt-riseAt)
	}
	return 3
}

// crest reports whether the crest has been reached.
func (s *swing) crest() bool { return !s.now.Before(s.start.Add(crestAt)) }

func (s *swing) arrive() {
	mean := shortRun.Seconds() * (1 - longShare + longShare*longFactor)
	rate := s.load() * swingAgents * swingSlots / mean
	s.at(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	w := work{class: admit.Short, arrived: s.now, run: time.Duration(s.random.ExpFloat64() * float64(shortRun))}
	if s.random.Float64() < longShare {
		w.class, w.run = admit.Long, w.run*longFactor
	}
	s.nextID++
	if s.crest() {
		s.offered[w.class]++
	}
	s.place(s.nextID, w, s.receivingAgent())
}

// receivingAgent returns the index of the agent that receives the next request of a caller.
func (s *swing) receivingAgent() int {
	i := s.random.IntN(swingAgents)
	if s.mode.skewed && i%2 == 1 && s.random.Float64() < 1.0/3 {
		return i - 1
	}
	return i
}

func (s *swing) place(id uint64, w work, receiver int) {
	a := s.agents[receiver]
	r := admit.Request{ID: id, Class: s.class(w), Deadline: w.arrived.Add(deadline)}
	if s.mode.fifo {
		r.Deadline = time.Time{}
	}
	a.works[id] = w
	if s.mode.peers && s.tryLessLoadedPeers(r, &w, receiver) {
		delete(a.works, id)
		return
	}
	a.works[id] = w
	if a.scheduler.TryRun(r, s.now).Verdict == admit.Run {
		s.begin(a, id)
		return
	}
	if s.mode.peers && s.tryPeer(r, w, receiver) {
		delete(a.works, id)
		return
	}
	d := a.scheduler.Offer(r, s.now)
	switch d.Verdict {
	case admit.Refuse:
		s.refuse(a, id)
	case admit.Queue:
		s.scheduleExpiry(a, id, d.ExpiresAt)
	}
}

// scheduleExpiry schedules the removal of a queued request at its expiry, or, in fifo mode, at the
// caller's deadline.
func (s *swing) scheduleExpiry(a *agent, id uint64, expiresAt time.Time) {
	if !s.mode.fifo {
		s.at(expiresAt.Sub(s.now), func() { s.apply(a, a.scheduler.Next(s.now)) })
		return
	}
	s.at(deadline, func() {
		if w, ok := a.works[id]; ok && !w.started {
			s.refuse(a, id)
			s.apply(a, a.scheduler.Cancel(id, s.now))
		}
	})
}

// tryLessLoadedPeers offers the request to peers that are less loaded, although the agent may have a
// free slot, and reports whether one runs it.
func (s *swing) tryLessLoadedPeers(r admit.Request, w *work, receiver int) bool {
	a := s.agents[receiver]
	for range admit.LessLoadedProbes(r.Class) {
		c := admit.ChooseLessLoaded(a.scheduler.Load(s.now), a.peers, r.Class, s.now, s.random.IntN)
		if c.Index < 0 {
			return false
		}
		other := c.Index
		if other >= receiver {
			other++
		}
		b := s.agents[other]
		ran := b.scheduler.TryRunIfLessLoaded(r, a.scheduler.Load(s.now), s.now).Verdict == admit.Run
		a.peers[c.Index].Load, a.peers[c.Index].ReportedAt = b.scheduler.Load(s.now), s.now
		w.hop += peerHop
		s.probes[phaseOf(s.now.Sub(s.start))]++
		if ran {
			b.works[r.ID] = *w
			s.begin(b, r.ID)
			return true
		}
	}
	return false
}

// tryPeer offers the request to one peer for a free slot and reports whether the peer runs it. The
// peer's load report comes with its answer.
func (s *swing) tryPeer(r admit.Request, w work, receiver int) bool {
	a := s.agents[receiver]
	c := admit.ChoosePeer(a.peers, r.Class, s.now, s.random.IntN)
	if c.Index < 0 {
		return false
	}
	other := c.Index
	if other >= receiver {
		other++
	}
	b := s.agents[other]
	ran := b.scheduler.TryRun(r, s.now).Verdict == admit.Run
	a.peers[c.Index].Load, a.peers[c.Index].ReportedAt = b.scheduler.Load(s.now), s.now
	if ran {
		w.hop += peerHop
		b.works[r.ID] = w
		s.begin(b, r.ID)
	}
	return ran
}

func (s *swing) class(w work) admit.Class {
	if s.mode.classes {
		return w.class
	}
	return admit.Short
}

func (s *swing) begin(a *agent, id uint64) {
	w := a.works[id]
	w.started = true
	a.works[id] = w
	if s.crest() && w.class == admit.Short {
		_ = s.wait.RecordValue(s.now.Sub(w.arrived).Microseconds())
	}
	s.at(w.run, func() { s.end(a, id) })
}

func (s *swing) end(a *agent, id uint64) {
	w := a.works[id]
	delete(a.works, id)
	responseTime := s.now.Sub(w.arrived) + w.hop
	if s.crest() {
		// Only the part of a run that lies within the crest is counted.
		part := min(w.run, s.now.Sub(s.start.Add(crestAt)))
		a.busy[1] += part
		if responseTime <= deadline {
			s.useful += part
		}
	}
	if s.now.Before(s.start.Add(riseAt)) {
		a.busy[0] += w.run
	}
	if w.class == admit.Short {
		_ = s.response[phaseOf(w.arrived.Sub(s.start))].RecordValue(responseTime.Microseconds())
	}
	s.apply(a, a.scheduler.Done(id, s.now))
}

// phaseOf returns the phase at time t: 0 for half load, 1 for the crest, 2 for the rise.
func phaseOf(t time.Duration) int {
	switch {
	case t < riseAt:
		return 0
	case t < crestAt:
		return 2
	}
	return 1
}

func (s *swing) apply(a *agent, decisions []admit.Decision) {
	for _, d := range decisions {
		if d.Verdict == admit.Run {
			s.begin(a, d.ID)
			continue
		}
		s.refuse(a, d.ID)
	}
}

func (s *swing) refuse(a *agent, id uint64) {
	if s.crest() {
		s.refused[a.works[id].class]++
	}
	delete(a.works, id)
}

// imbalance returns the busy time of the busiest agent in a phase divided by the mean of all agents.
func (s *swing) imbalance(phase int) float64 {
	most, sum := time.Duration(0), time.Duration(0)
	for _, a := range s.agents {
		most = max(most, a.busy[phase])
		sum += a.busy[phase]
	}
	return float64(most) * swingAgents / float64(sum)
}

// goodput returns the share of the slot time at the crest that was used for requests that met their deadline.
func (s *swing) goodput() float64 {
	capacity := (swingEnd - crestAt) * swingAgents * swingSlots
	return float64(s.useful) / float64(capacity)
}

func swingModes() []mode {
	return []mode{
		{name: "endiveflow", classes: true, peers: true},
		{name: "endiveflowSkewed", classes: true, peers: true, skewed: true},
		{name: "fifoRandom", fifo: true},
		{name: "classesOff"},
	}
}

// Guards against long queue times of admitted short work at the crest, against idle slots under
// overload, and against uneven use of the agents. The bounds are the project's performance targets.
func TestSwingMeetsTargets(t *testing.T) {
	for _, m := range swingModes()[:2] {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", m.name, seed+1), func(t *testing.T) {
				s := newSwing(m, seed+1)
				s.run()
				half, crest := s.response[0].ValueAtQuantile(99), s.response[1].ValueAtQuantile(99)
				require.LessOrEqual(t, float64(crest)/float64(half), 2.0)
				require.GreaterOrEqual(t, s.goodput(), 0.95)
				require.LessOrEqual(t, s.imbalance(0), 1.1)
				require.LessOrEqual(t, s.imbalance(1), 1.1)
			})
		}
	}
}

// BenchmarkSwing compares the schedulers under the swing with two baselines: one unbounded queue
// per agent with random choice of the agent, and bounded queues without classes and peers.
func BenchmarkSwing(b *testing.B) {
	for _, m := range swingModes() {
		b.Run(m.name, func(b *testing.B) {
			var s *swing
			for i := 0; b.Loop(); i++ {
				s = newSwing(m, uint64(i+1))
				s.run()
			}
			const ms = 1e-3
			half, crest := s.response[0], s.response[1]
			for _, q := range []struct {
				name string
				at   float64
			}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}} {
				b.ReportMetric(float64(half.ValueAtQuantile(q.at))*ms, "half-"+q.name+"-ms")
				b.ReportMetric(float64(crest.ValueAtQuantile(q.at))*ms, "crest-"+q.name+"-ms")
			}
			b.ReportMetric(float64(s.response[2].ValueAtQuantile(99))*ms, "rise-p99-ms")
			b.ReportMetric(float64(crest.ValueAtQuantile(99))/float64(half.ValueAtQuantile(99)), "p99-ratio")
			b.ReportMetric(float64(s.wait.ValueAtQuantile(99))*ms, "short-wait-p99-ms")
			b.ReportMetric(s.goodput(), "goodput")
			b.ReportMetric(s.imbalance(0), "half-imbalance")
			b.ReportMetric(float64(s.probes[0]), "half-questions")
			b.ReportMetric(s.imbalance(1), "crest-imbalance")
			b.ReportMetric(float64(s.refused[admit.Short])/float64(s.offered[admit.Short]), "short-refused")
			b.ReportMetric(float64(s.refused[admit.Long])/float64(s.offered[admit.Long]), "long-refused")
			b.ReportMetric(0, "ns/op")
		})
	}
}
