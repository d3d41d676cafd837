package packetagent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowabsence"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
)

const (
	// passedRetention is the time after which an offer that the agent passed on has been taken or lost.
	passedRetention = time.Second
	// flowAgeMargin is added to the maximum age of a flow, as the host and the agent don't measure it at the same moments.
	flowAgeMargin = 5 * time.Second
	// togetherSkew is the longest time by which the agent may have started after its host to count as started with it. It is
	// shorter than it takes a process to start, to be given flows, to end and to be started again, so that no earlier process
	// that started with the host can have given flows to it. One that was running before the host started can only if it ends
	// and is started again within this time.
	togetherSkew = 40 * time.Millisecond
	// firstSequence is the sequence number of a host's first heartbeat. An agent that receives it was running when the host
	// started, whatever the clocks say.
	firstSequence = 1
	// maxForgotten bounds the number of forgotten flows. At 270 new flows per second, a host has as many within the maximum age
	// of a flow.
	maxForgotten = 1 << 14
)

// absences holds what the agent's answers to queries of entries depend on, besides its records. The zero value is ready.
type absences struct {
	mu sync.Mutex
	// forgotten holds flows whose records were removed although the host may have them, or whose offers were passed on, with
	// the time until which the agent can't tell whether a host has them. At most maxForgotten. Guarded by mu.
	forgotten map[flow.Key]time.Duration
	// allForgottenUntil is the time until which the agent can't tell this of any flow, as there was no room. Guarded by mu.
	allForgottenUntil time.Duration
	// complete reports whether the agent has seen every flow of the host's incarnation, as both started together or the host
	// later. Guarded by mu.
	complete bool
	// hostDown reports whether the host's port refused connections since its last heartbeat. Guarded by mu.
	hostDown bool
}

// forget records that the agent can't tell until a time whether a host has a flow.
func (s *absences) forget(key flow.Key, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, exists := s.forgotten[key]
	if !exists && len(s.forgotten) >= maxForgotten {
		s.allForgottenUntil = max(s.allForgottenUntil, until)
		return
	}
	if s.forgotten == nil {
		s.forgotten = make(map[flow.Key]time.Duration)
	}
	s.forgotten[key] = max(previous, until)
}

// isForgotten reports whether forget was called for a flow with a time that has not come.
func (s *absences) isForgotten(key flow.Key, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, exists := s.forgotten[key]
	return exists && now < until || now < s.allForgottenUntil
}

func (s *absences) sweep(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, until := range s.forgotten {
		if now >= until {
			delete(s.forgotten, key)
		}
	}
}

func (s *absences) setComplete(complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = complete
}

func (s *absences) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

func (s *absences) setHostDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostDown = down
}

func (s *absences) isHostDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hostDown
}

// HasNoHost reports whether no host runs: it announced its shutdown, or nothing listened at its address and no host has sent a
// heartbeat since. The agent has a record of each flow that a host opens from then on, as the packets of the flow pass it.
func (a *Agent) HasNoHost() bool {
	r, known := a.host.Current()
	return a.absences.isHostDown() || known && r.State == host.Gone
}

// HostReported reports whether the host has sent a heartbeat since the agent started.
func (a *Agent) HostReported() bool {
	_, known := a.host.Current()
	return known
}

// hostIncarnation returns a number that identifies the incarnation of a host. It isn't 0.
func hostIncarnation(r host.Report) uint64 {
	return max(xxhash.Sum64String(r.ID)^flow.Mix(uint64(r.StartedAt)), 1)
}

// noteIncarnation records whether the agent has seen every flow of an incarnation of its host, of which r is the first report
// that it received. The start times are those of one VM, whose clock may have been set between them, so that they show it only
// together with the host's first heartbeat.
func (a *Agent) noteIncarnation(r host.Report) {
	a.absences.setComplete(r.StartedAt > 0 && r.StartedAt+togetherSkew.Milliseconds() >= a.cfg.Incarnation && a.host.FirstSequence() <= firstSequence)
}

// startedBeforeAgent reports whether the host failed to send its first heartbeat because the agent had not started. If its start time says
// that it started after the agent, that isn't the reason, and an earlier process at this address may have given it flows.
func (a *Agent) startedBeforeAgent(r host.Report) bool {
	return a.host.FirstSequence() == firstSequence+1 && r.StartedAt <= a.cfg.Incarnation
}

// forgetFlow records that the agent removes its record of a flow that its host may still have, or may still answer. No
// host has a flow for longer than the maximum age.
func (a *Agent) forgetFlow(key flow.Key) {
	a.absences.forget(key, a.cfg.Now()+a.cfg.MaxFlowAge+flowAgeMargin)
}

// forgetOffer records that the agent passed on an offer, so that another one may be about to take the flow.
func (a *Agent) forgetOffer(key flow.Key) { a.absences.forget(key, a.cfg.Now()+passedRetention) }

// recordBounce records that the host's current incarnation rejected a packet of an open flow. Other answers to a probe don't show
// that it doesn't have the flow.
func (a *Agent) recordBounce(s flow.Segment) {
	r, known := a.host.Current()
	if !known || s.IsSYN {
		return
	}
	shard := a.searches.Lock(s.Key)
	defer shard.Unlock()
	searchOf(shard, s.Key).bouncedBy = hostIncarnation(r)
}

// handleAbsenceQuery answers an entry that asks whether the host has flows.
func (a *Agent) handleAbsenceQuery(m *mesh.Message) {
	q, err := mesh.DecodeAbsenceQuery(m.Body)
	if err != nil {
		badDatagrams.Inc()
		return
	}
	r, known := a.host.Current()
	answer := mesh.AbsenceAnswer{Serial: q.Serial, Agent: a.cfg.Incarnation, Host: hostIncarnation(r), Verdicts: make([]byte, len(q.Keys))}
	for i, key := range q.Keys {
		v := flowabsence.Unknown
		if known || a.absences.isHostDown() {
			v = a.absenceOf(key, answer.Host)
		}
		answer.Verdicts[i] = byte(v)
		absenceVerdicts[v].Inc()
	}
	if after, _ := a.host.Current(); hostIncarnation(after) != answer.Host {
		// The host was replaced meanwhile, so that the answers are about two incarnations.
		return
	}
	out := a.newMessage(mesh.KindAbsenceAnswer, flow.Key{})
	out.Body = answer.Append(nil)
	a.send(m.Origin, &out)
}

// absenceOf returns whether the current incarnation of the host, which is given, has a flow.
func (a *Agent) absenceOf(key flow.Key, incarnation uint64) flowabsence.Verdict {
	shard := a.flows.Lock(key)
	recorded := shard.Get(key) != nil
	shard.Unlock()
	now := a.cfg.Now()
	switch {
	case recorded:
		return flowabsence.Present
	case a.absences.isForgotten(key, now):
		return flowabsence.Unknown
	case a.lookUpLocation(key) != 0:
		// Another agent announced the flow and has not withdrawn it. The entry may not know of that agent.
		return flowabsence.Unknown
	case a.HasNoHost(), a.absences.isComplete(), now-a.started > a.cfg.MaxFlowAge+flowAgeMargin, a.bouncedBy(key) == incarnation:
		return flowabsence.Absent
	}
	return flowabsence.Unknown
}

// bouncedBy returns the incarnation of the host that rejected a packet of an open flow, 0 if none did.
func (a *Agent) bouncedBy(key flow.Key) uint64 {
	shard := a.searches.Lock(key)
	defer shard.Unlock()
	found := shard.Get(key)
	if found == nil {
		return 0
	}
	return found.bouncedBy
}
