package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

// The simulated fleet: a service on hosts with few slots behind many entries.
const (
	fleetHosts       = 42
	fleetSlots       = 2
	fleetEntries     = 22
	fleetServiceTime = 30 * time.Millisecond
	fleetTarget      = 250 * time.Millisecond
	fleetDuration    = 4 * time.Second
	fleetStep        = 500 * time.Microsecond
)

// baselineHost is a host that accepts every flow and serves requests in order of arrival.
type baselineHost struct {
	queue   []*job
	running []*job
}

// job is one simulated request.
type job struct {
	arrived, work, finishes, answered time.Duration
	host, entry                       int
	request                           *placement.Request
}

// policySimulation runs the same load against one placement policy.
type policySimulation struct {
	random *rand.Rand
	jobs   []*job
	now    time.Duration
}

// run calls place for each new request, at a load given as a multiple of the capacity, and step at each step.
func (s *policySimulation) run(load float64, place func(*job), step func()) {
	due := 0.0
	for ; s.now < fleetDuration+time.Second; s.now += fleetStep {
		step()
		if s.now >= fleetDuration {
			continue
		}
		for due += load * fleetHosts * fleetSlots * float64(fleetStep) / float64(fleetServiceTime); due >= 1; due-- {
			j := &job{arrived: s.now, work: workTime(s.random, fleetServiceTime), entry: s.random.IntN(fleetEntries)}
			s.jobs = append(s.jobs, j)
			place(j)
		}
	}
}

// results returns the share of requests answered within the target, the 99th percentile of the latency, and
// the ratio of the busiest host's work to the mean.
func (s *policySimulation) results() (inTime float64, p99 time.Duration, imbalance float64) {
	var latencies []time.Duration
	var work [fleetHosts]time.Duration
	var totalWork time.Duration
	for _, j := range s.jobs {
		latency := fleetDuration
		if j.answered > 0 {
			latency = j.answered - j.arrived
			work[j.host] += j.work
			totalWork += j.work
		}
		latencies = append(latencies, latency)
	}
	slices.Sort(latencies)
	inTarget, _ := slices.BinarySearch(latencies, fleetTarget)
	return float64(inTarget) / float64(len(latencies)), latencies[len(latencies)*99/100],
		float64(slices.Max(work[:])) * fleetHosts / float64(totalWork)
}

// simulateBaseline places each request on the host that choose returns.
func simulateBaseline(load float64, choose func(s *policySimulation, j *job, open *[fleetEntries][fleetHosts]int) int) *policySimulation {
	s := &policySimulation{random: rand.New(rand.NewPCG(5, 5))}
	var hosts [fleetHosts]baselineHost
	var open [fleetEntries][fleetHosts]int
	s.run(load, func(j *job) {
		j.host = choose(s, j, &open)
		open[j.entry][j.host]++
		hosts[j.host].queue = append(hosts[j.host].queue, j)
	}, func() {
		for i := range hosts {
			h := &hosts[i]
			h.running = slices.DeleteFunc(h.running, func(j *job) bool {
				if j.finishes > s.now {
					return false
				}
				j.answered = s.now
				open[j.entry][j.host]--
				return true
			})
			for len(h.running) < fleetSlots && len(h.queue) > 0 {
				j := h.queue[0]
				h.queue, j.finishes = h.queue[1:], s.now+j.work
				h.running = append(h.running, j)
			}
		}
	})
	return s
}

func chooseRandom(s *policySimulation, _ *job, _ *[fleetEntries][fleetHosts]int) int {
	return s.random.IntN(fleetHosts)
}

// chooseLeastConnections returns the host with the fewest connections of the job's entry. Entries don't share
// their counts, so it ignores the connections of other entries.
func chooseLeastConnections(s *policySimulation, j *job, open *[fleetEntries][fleetHosts]int) int {
	best := s.random.IntN(fleetHosts)
	for n := range fleetHosts {
		if i := (best + n) % fleetHosts; open[j.entry][i] < open[j.entry][best] {
			best = i
		}
	}
	return best
}

// simulateOffers places each request as entries and agents do. An entry uses the load that it last received
// from each host's agent.
func simulateOffers(load float64) *policySimulation {
	s := &policySimulation{random: rand.New(rand.NewPCG(5, 5))}
	type loadReport struct {
		load mesh.Load
		at   time.Duration
	}
	var hosts [fleetHosts]*placement.Host
	var reports [fleetEntries][fleetHosts]loadReport
	for i := range hosts {
		hosts[i] = placement.NewHost(placement.HostConfig{Slots: fleetSlots, ServiceTime: fleetServiceTime})
	}
	var running []*job
	startJob := func(j *job) {
		j.finishes, j.request = s.now+j.work, hosts[j.host].RequestArrived(s.now, true, 0)
		running = append(running, j)
	}
	place := func(j *job) {
		n := len(s.jobs) - 1
		candidates := make([]placement.Candidate, fleetHosts)
		for i, report := range reports[j.entry] {
			candidates[i] = placement.Candidate{IP: uint32(i), SameZone: i%3 == j.entry%3, Load: report.load, LoadAge: s.now - report.at}
		}
		// The candidates are the first hosts in rendezvous order.
		seed := flowKey(n).Hash()
		weight := func(c placement.Candidate) uint64 { return flow.Mix(seed ^ flow.Mix(uint64(c.IP))) }
		slices.SortFunc(candidates, func(a, b placement.Candidate) int { return cmp.Compare(weight(b), weight(a)) })
		candidates = candidates[:mesh.MaxCandidates]
		var order [mesh.MaxCandidates]uint32
		count := placement.Order(flowKey(n), candidates, &order)
		o := mesh.Terms{Best: mesh.NoCandidate, TargetLatency: mesh.MillisOf(fleetTarget), TypicalServiceTime: mesh.MillisOf(fleetServiceTime)}
		for {
			j.host = int(order[o.Current])
			d := hosts[j.host].Decide(flowKey(n), o, count, s.now)
			reports[j.entry][j.host] = loadReport{hosts[j.host].Load(s.now), s.now}
			if d.Action == placement.Take {
				startJob(j)
			}
			if d.Action != placement.Pass && d.Action != placement.Return {
				return
			}
			o = d.Terms
		}
	}
	s.run(load, place, func() {
		running = slices.DeleteFunc(running, func(j *job) bool {
			if j.finishes > s.now {
				return false
			}
			j.answered = s.now
			hosts[j.host].RequestAnswered(j.request, s.now)
			return true
		})
		for _, h := range hosts {
			for key, ok := h.Dequeue(s.now); ok; key, ok = h.Dequeue(s.now) {
				startJob(s.jobs[flowNumber(key)])
			}
			for _, ok := h.DequeueExpired(s.now); ok; _, ok = h.DequeueExpired(s.now) {
			}
		}
	})
	return s
}

var policies = []struct {
	name     string
	simulate func(load float64) *policySimulation
}{
	{"random", func(load float64) *policySimulation { return simulateBaseline(load, chooseRandom) }},
	{"leastConnections", func(load float64) *policySimulation { return simulateBaseline(load, chooseLeastConnections) }},
	{"offers", simulateOffers},
}

// BenchmarkPolicies compares placement by offers with two common policies, see docs/MEASUREMENTS.md.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.5, 0.8, 0.95, 1.1} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("load=%.2f/%s", load, p.name), func(b *testing.B) {
				var inTime, imbalance float64
				var p99 time.Duration
				for b.Loop() {
					inTime, p99, imbalance = p.simulate(load).results()
				}
				b.ReportMetric(inTime, "inTime")
				b.ReportMetric(float64(p99.Milliseconds()), "p99ms")
				b.ReportMetric(imbalance, "busiest/mean")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// Guards against a placement that answers fewer requests in time than policies that ignore the load of the
// hosts.
func TestOffersBeatCommonPolicies(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95, 1.1} {
		t.Run(fmt.Sprintf("load %.2f", load), func(t *testing.T) {
			offers, _, _ := simulateOffers(load).results()
			for _, p := range policies[:2] {
				inTime, _, _ := p.simulate(load).results()
				require.GreaterOrEqual(t, offers, inTime, p.name)
			}
		})
	}
}
