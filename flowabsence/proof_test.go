package flowabsence_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/flowabsence"
	_ "endiveflow.example/endiveflow/testseed"
)

// modelAgent is an agent of TestProofModel with the flow's state at its host.
type modelAgent struct {
	// present is set while the host has the flow; restarted is set if the agent has no record of the flows before its start.
	present, restarted bool
	incarnation        flowabsence.Incarnation
}

func (a modelAgent) verdict() flowabsence.Verdict {
	switch {
	case a.present && !a.restarted:
		return flowabsence.Present
	case a.restarted:
		return flowabsence.Unknown
	}
	return flowabsence.Absent
}

// Guards against a proof for a flow that a host has, whatever the order in which messages arrive, are repeated or lost,
// agents restart, are added, or pass the flow on before the caller opens it, and the flow ends.
func TestProofModel(t *testing.T) {
	type message struct {
		agent       uint32
		incarnation flowabsence.Incarnation
		verdict     flowabsence.Verdict
	}
	rapid.Check(t, func(t *rapid.T) {
		agents := make([]modelAgent, rapid.IntRange(1, 5).Draw(t, "agents"))
		index := rapid.IntRange(0, len(agents)-1)
		var expected []uint32
		for i := range agents {
			expected = append(expected, uint32(i))
		}
		owner := index.Draw(t, "owner")
		agents[owner].present = rapid.Bool().Draw(t, "open")
		var p flowabsence.Proof
		known := rapid.IntRange(0, len(agents)-1).Draw(t, "known")
		p.Expect(expected[:known])
		var inFlight []message
		everAbsent := !agents[owner].present
		t.Repeat(map[string]func(*rapid.T){
			"answer": func(t *rapid.T) {
				i := index.Draw(t, "agent")
				inFlight = append(inFlight, message{uint32(i), agents[i].incarnation, agents[i].verdict()})
			},
			"arrive": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				m := inFlight[i]
				p.Answer(m.agent, m.incarnation, m.verdict)
				if rapid.Bool().Draw(t, "lastCopy") {
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
			},
			"restart agent": func(t *rapid.T) {
				i := index.Draw(t, "agent")
				agents[i].incarnation.Agent++
				agents[i].restarted = true
			},
			"restart host": func(t *rapid.T) {
				i := index.Draw(t, "agent")
				agents[i] = modelAgent{incarnation: flowabsence.Incarnation{Agent: agents[i].incarnation.Agent, Host: agents[i].incarnation.Host + 1}}
				everAbsent = everAbsent || i == owner
			},
			"end": func(*rapid.T) { agents[owner].present, everAbsent = false, true },
			"": func(t *rapid.T) {
				p.Expect(expected)
				if p.Complete() && !everAbsent {
					t.Fatal("proof of the absence of an open flow")
				}
			},
		})
	})
}

// Guards against a proof that is complete too early or never, in any order of the answers.
func TestProofNeedsAllAnswersInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.SliceOfNDistinct(rapid.Uint32(), 1, 8, rapid.ID[uint32]).Draw(t, "agents")
		order := rapid.Permutation(agents).Draw(t, "order")
		bad := rapid.IntRange(-1, len(agents)-1).Draw(t, "bad")
		verdict := rapid.SampledFrom([]flowabsence.Verdict{flowabsence.Unknown, flowabsence.Present}).Draw(t, "verdict")
		var p flowabsence.Proof
		require.False(t, p.Complete())
		p.Expect(agents)
		for i, agent := range order {
			require.False(t, p.Complete())
			if i == bad {
				p.Answer(agent, flowabsence.Incarnation{}, verdict)
			}
			p.Answer(agent, flowabsence.Incarnation{Agent: 1}, flowabsence.Absent)
			p.Answer(agent, flowabsence.Incarnation{Agent: 1}, flowabsence.Absent)
		}
		require.Equal(t, bad < 0, p.Complete())
		p.Answer(order[0], flowabsence.Incarnation{Agent: 2}, flowabsence.Absent)
		require.False(t, p.Complete(), "an agent answered as two incarnations")
	})
}
