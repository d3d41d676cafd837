package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

// Figures of the compared fleet: a service on hosts with few slots behind many entries.
const (
	fleetHosts   = 42
	fleetSlots   = 2
	fleetEntries = 22
	fleetWork    = 30 * time.Millisecond
	fleetTarget  = 250 * time.Millisecond
	fleetTime    = 4 * time.Second
	fleetStep    = 500 * time.Microsecond
)

// baseline is a host that takes every flow and serves in order of arrival.
type baseline struct {
	queue   []*job
	running []*job
}

// job is one request of the compared load.
type job struct {
	asked, work, ends, answered time.Duration
	at, entry                   int
	request                     *placement.Request
}

// rivals are the compared policies.
type rivals struct {
	random *rand.Rand
	jobs   []*job
	now    time.Duration
}

// load calls place for each new request at a multiple of the capacity, and step in between.
func (r *rivals) load(multiple float64, place func(*job), step func()) {
	due := 0.0
	for ; r.now < fleetTime+time.Second; r.now += fleetStep {
		step()
		if r.now >= fleetTime {
			continue
		}
		for due += multiple * fleetHosts * fleetSlots * float64(fleetStep) / float64(fleetWork); due >= 1; due-- {
			j := &job{asked: r.now, work: workTime(r.random, fleetWork), entry: r.random.IntN(fleetEntries)}
			r.jobs = append(r.jobs, j)
			place(j)
		}
	}
}

// outcome returns the share of requests answered within the target, the 99th percentile of
// the time to an answer, and the work of the busiest host over the mean.
func (r *rivals) outcome() (inTime float64, p99 time.Duration, imbalance float64) {
	var times []time.Duration
	var work [fleetHosts]time.Duration
	var all time.Duration
	for _, j := range r.jobs {
		took := fleetTime
		if j.answered > 0 {
			took = j.answered - j.asked
			work[j.at] += j.work
			all += j.work
		}
		times = append(times, took)
	}
	slices.Sort(times)
	within, _ := slices.BinarySearch(times, fleetTarget)
	return float64(within) / float64(len(times)), times[len(times)*99/100], float64(slices.Max(work[:])) * fleetHosts / float64(all)
}

// playBaseline places each request at the host that choose returns.
func playBaseline(multiple float64, choose func(r *rivals, j *job, open *[fleetEntries][fleetHosts]int) int) *rivals {
	r := &rivals{random: rand.New(rand.NewPCG(5, 5))}
	var hosts [fleetHosts]baseline
	var open [fleetEntries][fleetHosts]int
	r.load(multiple, func(j *job) {
		j.at = choose(r, j, &open)
		open[j.entry][j.at]++
		hosts[j.at].queue = append(hosts[j.at].queue, j)
	}, func() {
		for i := range hosts {
			h := &hosts[i]
			h.running = slices.DeleteFunc(h.running, func(j *job) bool {
				if j.ends > r.now {
					return false
				}
				j.answered = r.now
				open[j.entry][j.at]--
				return true
			})
			for len(h.running) < fleetSlots && len(h.queue) > 0 {
				j := h.queue[0]
				h.queue, j.ends = h.queue[1:], r.now+j.work
				h.running = append(h.running, j)
			}
		}
	})
	return r
}

func chooseRandom(r *rivals, _ *job, _ *[fleetEntries][fleetHosts]int) int {
	return r.random.IntN(fleetHosts)
}

// chooseLeast takes the host with the fewest connections of the job's entry, as
// entries that share nothing know no others.
func chooseLeast(r *rivals, j *job, open *[fleetEntries][fleetHosts]int) int {
	best := r.random.IntN(fleetHosts)
	for n := range fleetHosts {
		if i := (best + n) % fleetHosts; open[j.entry][i] < open[j.entry][best] {
			best = i
		}
	}
	return best
}

// playOffers places each request as entries and agents do. An entry knows of a
// host what the host's agent told it last.
func playOffers(multiple float64) *rivals {
	r := &rivals{random: rand.New(rand.NewPCG(5, 5))}
	type told struct {
		load mesh.Load
		at   time.Duration
	}
	var hosts [fleetHosts]*placement.Host
	var known [fleetEntries][fleetHosts]told
	for i := range hosts {
		hosts[i] = placement.NewHost(placement.HostConfig{Slots: fleetSlots, ServiceTime: fleetWork})
	}
	var running []*job
	begin := func(j *job) {
		j.ends, j.request = r.now+j.work, hosts[j.at].Began(r.now, true, 0)
		running = append(running, j)
	}
	place := func(j *job) {
		n := len(r.jobs) - 1
		candidates := make([]placement.Candidate, fleetHosts)
		for i, k := range known[j.entry] {
			candidates[i] = placement.Candidate{IP: uint32(i), Near: i%3 == j.entry%3, Load: k.load, Age: r.now - k.at}
		}
		var order [mesh.MaxCandidates]uint32
		count := placement.Order(flowKey(n), candidates, &order)
		o := mesh.Terms{Best: mesh.NoCandidate, Target: mesh.WaitOf(fleetTarget), Usual: mesh.WaitOf(fleetWork)}
		for {
			j.at = int(order[o.At])
			d := hosts[j.at].Decide(flowKey(n), o, count, r.now)
			known[j.entry][j.at] = told{hosts[j.at].Load(), r.now}
			if d.Action == placement.Take {
				begin(j)
			}
			if d.Action != placement.Pass && d.Action != placement.Return {
				return
			}
			o = d.Terms
		}
	}
	r.load(multiple, place, func() {
		running = slices.DeleteFunc(running, func(j *job) bool {
			if j.ends > r.now {
				return false
			}
			j.answered = r.now
			hosts[j.at].Answered(j.request, r.now)
			return true
		})
		for _, h := range hosts {
			for key, ok := h.Next(r.now); ok; key, ok = h.Next(r.now) {
				begin(r.jobs[flowNumber(key)])
			}
			for _, ok := h.Expired(r.now); ok; _, ok = h.Expired(r.now) {
			}
		}
	})
	return r
}

var policies = []struct {
	name string
	play func(multiple float64) *rivals
}{
	{"random", func(m float64) *rivals { return playBaseline(m, chooseRandom) }},
	{"leastConnections", func(m float64) *rivals { return playBaseline(m, chooseLeast) }},
	{"offers", playOffers},
}

// BenchmarkPolicies compares what callers get from the placement with two
// common ones, see docs/MEASUREMENTS.md.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.5, 0.8, 0.95, 1.1} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("load=%.2f/%s", load, p.name), func(b *testing.B) {
				var inTime, imbalance float64
				var p99 time.Duration
				for b.Loop() {
					inTime, p99, imbalance = p.play(load).outcome()
				}
				b.ReportMetric(inTime, "inTime")
				b.ReportMetric(float64(p99.Milliseconds()), "p99ms")
				b.ReportMetric(imbalance, "busiest/mean")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// Guards against a placement that serves callers worse than one that knows nothing.
func TestOffersBeatCommonPolicies(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95, 1.1} {
		t.Run(fmt.Sprintf("load %.2f", load), func(t *testing.T) {
			offers, _, _ := playOffers(load).outcome()
			for _, p := range policies[:2] {
				inTime, _, _ := p.play(load).outcome()
				require.GreaterOrEqual(t, offers, inTime, p.name)
			}
		})
	}
}
