package packetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that counts as cut off for the silence of a few agents or of all agents, before others
// could answer, or after messages arrive again.
func TestIsolation(t *testing.T) {
	const (
		start = time.Second
		later = start + echoWait
	)
	suspicion := func(echoes int, agents ...uint32) *isolation {
		i := new(isolation)
		i.agentHeard(start - minSilence)
		for _, a := range agents {
			if i.offerUnanswered(a, start-50*time.Millisecond, start) {
				i.echoesSent(echoes, start)
			}
		}
		return i
	}
	for _, c := range []struct {
		name     string
		i        *isolation
		act      func(*isolation)
		at       time.Duration
		isCutOff bool
	}{
		{"no answers", suspicion(4, 1, 2, 3), nil, later, true},
		{"more agents are silent", suspicion(4, 1, 2, 3, 4), nil, later, true},
		{"too early", suspicion(4, 1, 2, 3), nil, later - 1, false},
		{"no other entry is known", suspicion(0, 1, 2, 3), nil, later, false},
		{"two agents only", suspicion(4, 1, 2, 2, 1), nil, later + time.Hour, false},
		{"no offers", suspicion(4), nil, later + time.Hour, false},
		{"most entries hear no agents either", suspicion(4, 1, 2, 3), func(i *isolation) {
			i.echoAnswered(7, false)
			i.echoAnswered(8, false)
		}, later, false},
		{"another entry is cut off too", suspicion(4, 1, 2, 3), func(i *isolation) {
			i.echoAnswered(7, false)
			i.echoAnswered(7, false)
		}, later, true},
		{"another entry hears agents", suspicion(4, 1, 2, 3), func(i *isolation) {
			i.echoAnswered(7, false)
			i.echoAnswered(8, false)
			i.echoAnswered(9, true)
		}, later, true},
		{"an agent is heard again", suspicion(4, 1, 2, 3), func(i *isolation) { i.agentHeard(later) }, later + time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.act != nil {
				c.act(c.i)
			}
			require.Equal(t, c.isCutOff, c.i.isCutOff(c.at))
		})
	}
	i := suspicion(4, 1, 2)
	require.False(t, i.offerUnanswered(3, start-time.Second, start), "an agent was heard after the offer was made")
	require.False(t, i.offerUnanswered(3, start-50*time.Millisecond, start-1), "an agent was heard shortly before")
	require.True(t, i.offerUnanswered(3, start-50*time.Millisecond, start))
}
