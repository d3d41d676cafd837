package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

// failureSimulation simulates hosts that fail a share of their requests immediately, which makes them look
// idle.
type failureSimulation struct {
	random *rand.Rand
	hosts  []*placement.Host
	// failureRates holds the share of requests that each host fails.
	failureRates []float64
	// target is the route's target.
	target  time.Duration
	now     time.Duration
	due     float64
	flows   int
	running []failureSimulationRequest
}

type failureSimulationRequest struct {
	finishes time.Duration
	host     int
	failed   bool
	*placement.Request
}

// The simulated fleet: each host has failureSimSlots slots, and a request takes failureSimServiceTime.
const (
	failureSimHosts       = 10
	failureSimSlots       = 2
	failureSimServiceTime = 30 * time.Millisecond
	// failureSimResetTime is the time after which a failing request is reset.
	failureSimResetTime = 3 * time.Millisecond
)

func newFailureSimulation(failureRates ...float64) *failureSimulation {
	s := &failureSimulation{
		random: rand.New(rand.NewPCG(3, 3)), failureRates: make([]float64, failureSimHosts), target: 150 * time.Millisecond,
	}
	copy(s.failureRates, failureRates)
	for range failureSimHosts {
		s.hosts = append(s.hosts, placement.NewHost(placement.HostConfig{Slots: failureSimSlots, ServiceTime: failureSimServiceTime}))
	}
	return s
}

// run simulates a load, given as a share of the capacity, for a duration. It returns the number of flows
// placed on each host, the number of failed requests, and the number of refused flows.
func (s *failureSimulation) run(load float64, d time.Duration) (placed []int, failed, refused int) {
	placed = make([]int, failureSimHosts)
	for end := s.now + d; s.now < end; s.now += time.Millisecond {
		failed += s.finishRequests()
		for i, h := range s.hosts {
			if s.now%time.Second == 0 {
				_, _ = h.Reassess(s.now)
			}
			for _, ok := h.Dequeue(s.now); ok; _, ok = h.Dequeue(s.now) {
				s.startRequest(i)
				placed[i]++
			}
		}
		for s.due += load * failureSimHosts * failureSimSlots * float64(time.Millisecond) / float64(failureSimServiceTime); s.due >= 1; s.due-- {
			switch host, action := s.offer(); action {
			case placement.Take:
				s.startRequest(host)
				placed[host]++
			case placement.Refuse:
				refused++
			}
		}
	}
	return placed, failed, refused
}

func (s *failureSimulation) finishRequests() (failed int) {
	kept := s.running[:0]
	for _, r := range s.running {
		switch {
		case r.finishes > s.now:
			kept = append(kept, r)
		case r.failed:
			failed++
			s.hosts[r.host].RequestFailed(r.Request, s.now)
		default:
			s.hosts[r.host].RequestAnswered(r.Request, s.now)
		}
	}
	s.running = kept
	return failed
}

func (s *failureSimulation) startRequest(host int) {
	r := failureSimulationRequest{
		host: host, finishes: s.now + failureSimServiceTime, failed: s.random.Float64() < s.failureRates[host],
		Request: s.hosts[host].RequestArrived(s.now, true, 0),
	}
	if r.failed {
		r.finishes = s.now + failureSimResetTime
	}
	s.running = append(s.running, r)
}

// offer offers a flow to the hosts in the order that an entry would use.
func (s *failureSimulation) offer() (host int, action placement.Action) {
	s.flows++
	candidates := make([]placement.Candidate, failureSimHosts)
	for i, h := range s.hosts {
		candidates[i] = placement.Candidate{IP: uint32(i), SameZone: true, Load: h.Load(0)}
	}
	var order [mesh.MaxCandidates]uint32
	count := placement.Order(flowKey(s.flows), candidates, &order)
	o := terms(0)
	o.TargetLatency = mesh.MillisOf(s.target)
	for {
		host = int(order[o.Current])
		d := s.hosts[host].Decide(flowKey(s.flows), o, count, s.now)
		if d.Action != placement.Pass && d.Action != placement.Return {
			return host, d.Action
		}
		o = d.Terms
	}
}

// Guards against hosts that pass their health checks and fail part of their requests: they fail fast, so they
// look idle and got more than their share of the flows. At most a tenth of the failures under an even spread
// is allowed: 2 of 10 hosts that fail 0.4 of their requests give a rate of 0.08.
func TestFaultyHostsAreAvoided(t *testing.T) {
	s := newFailureSimulation(0.4, 0.4)
	_, _, _ = s.run(0.6, time.Second)
	before := s.flows
	_, failed, refused := s.run(0.6, 10*time.Second)
	require.Zero(t, refused)
	require.LessOrEqual(t, float64(failed), 0.1*0.08*float64(s.flows-before))
}

// Guards against a host that gets no flows after its fault has ended.
func TestRecoveredHostGetsItsShare(t *testing.T) {
	s := newFailureSimulation(0.4)
	_, _, _ = s.run(0.6, 5*time.Second)
	s.failureRates[0] = 0
	_, _, _ = s.run(0.6, 20*time.Second)
	before := s.flows
	placed, _, _ := s.run(0.6, 5*time.Second)
	require.Greater(t, float64(placed[0]), 0.5*float64(s.flows-before)/failureSimHosts)
}

// Guards against refusals because hosts are faulty: when all hosts are faulty, or the load exceeds the
// capacity of the others, a faulty host is better than none.
func TestFaultyHostsAreUsedWhenNeeded(t *testing.T) {
	t.Run("all are faulty", func(t *testing.T) {
		s := newFailureSimulation(0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4)
		_, _, refused := s.run(0.6, 5*time.Second)
		require.Zero(t, refused)
	})
	t.Run("all fail most requests of a route with a long target", func(t *testing.T) {
		s := newFailureSimulation(0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9)
		s.target = 2 * time.Second
		_, _, refused := s.run(0.6, 5*time.Second)
		require.Zero(t, refused)
	})
	t.Run("load above the capacity of the others", func(t *testing.T) {
		s := newFailureSimulation(0.2, 0.2)
		_, _, _ = s.run(0.9, time.Second)
		placed, _, refused := s.run(0.9, 5*time.Second)
		require.Zero(t, refused)
		require.Positive(t, placed[0])
	})
}

// Guards against requests that count as failures of the host although their callers left early.
func TestAbandonedRequestsAreNotFailures(t *testing.T) {
	h := placement.NewHost(placement.HostConfig{})
	now := time.Duration(0)
	for range 100 {
		r := h.RequestArrived(now, false, 0)
		now += 3 * placement.DefaultServiceTime
		h.RequestAbandoned(r, now)
	}
	faulty, _ := h.Reassess(now)
	require.False(t, faulty)
	for range 10 {
		r := h.RequestArrived(now, false, 0)
		now += 2 * time.Second
		h.RequestAbandoned(r, now)
	}
	faulty, _ = h.Reassess(now)
	require.True(t, faulty, "a host that leaves its callers waiting")
}
