package packetentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

// Guards against queries whose memory grows with the product of flows and agents.
func TestAnswersOfAbsenceQueryAreBounded(t *testing.T) {
	for agents, flows := range map[int]int{1: mesh.MaxAbsenceKeys, 163: mesh.MaxAbsenceKeys, 1000: 16, maxAbsenceAnswers: 1, maxAbsenceAnswers + 1: 0} {
		a := newAbsences(func() uint64 { return 1 })
		for n := range maxAbsenceWaiting {
			a.waiting = append(a.waiting, lostFlow{key: flow.Key{Caller: flow.Endpoint{IP: uint32(n)}}})
		}
		if q := a.begin(make([]requiredAgent, agents), time.Second, time.Second, absenceInterval); flows == 0 {
			require.Nil(t, q)
		} else {
			require.Len(t, q.flows, flows)
		}
		require.Len(t, a.waiting, maxAbsenceWaiting-flows)
	}
}
