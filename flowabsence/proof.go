package flowabsence

// Verdict is the answer of an agent to the question of whether its host has a flow.
type Verdict uint8

// Verdicts. The zero value proves nothing.
const (
	// Unknown: the agent can't tell.
	Unknown Verdict = iota
	// Absent: the host's current incarnation doesn't have the flow.
	Absent
	// Present: the agent has a record of the flow.
	Present
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Absent:
		return "absent"
	case Present:
		return "present"
	case Unknown:
	}
	return "unknown"
}

// Incarnation identifies the processes that an answer is about. Values are only compared for equality.
type Incarnation struct {
	// Agent is the start time of the agent process in Unix milliseconds.
	Agent int64
	// Host identifies the incarnation of the host.
	Host uint64
}

// Proof collects the answers of agents about one flow. The zero value expects no agent and is never complete. It isn't safe
// for concurrent use.
type Proof struct {
	// answers holds an element for each agent that must answer.
	answers map[uint32]answer
	// absent is the number of agents in answers that answered Absent.
	absent int
	// refuted is set for good by an answer other than Absent and by a contradiction.
	refuted bool
}

// answer is an agent's first answer; given is false before it.
type answer struct {
	given       bool
	incarnation Incarnation
}

// Expect adds agents that must answer. An agent that is added after the others have answered makes the proof incomplete again.
func (p *Proof) Expect(agents []uint32) {
	if p.answers == nil {
		p.answers = make(map[uint32]answer, len(agents))
	}
	for _, agent := range agents {
		if _, exists := p.answers[agent]; !exists {
			p.answers[agent] = answer{}
		}
	}
}

// Answer records the answer of an agent. A repeated answer has no effect. An answer other than Absent, also of an agent
// that needn't answer, and one of another incarnation than the agent's answer before refute the absence of the flow.
func (p *Proof) Answer(agent uint32, incarnation Incarnation, v Verdict) {
	if v != Absent {
		p.refuted = true
		return
	}
	previous, expected := p.answers[agent]
	switch {
	case !expected:
	case !previous.given:
		p.answers[agent] = answer{true, incarnation}
		p.absent++
	case previous.incarnation != incarnation:
		p.refuted = true
	}
}

// Refute records evidence against the absence of the flow that isn't an answer.
func (p *Proof) Refute() { p.refuted = true }

// Refuted reports whether the proof can't become complete anymore.
func (p *Proof) Refuted() bool { return p.refuted }

// Complete reports whether all agents that must answer have answered that their hosts don't have the flow.
func (p *Proof) Complete() bool {
	return !p.refuted && len(p.answers) > 0 && p.absent == len(p.answers)
}

// AnsweredBy reports whether an agent must answer and has done so as the given incarnation of its process.
func (p *Proof) AnsweredBy(agent uint32, process int64) bool {
	a := p.answers[agent]
	return a.given && a.incarnation.Agent == process
}
