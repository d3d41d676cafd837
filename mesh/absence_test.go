package mesh_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
)

// Guards against panics, out-of-range reads and queries beyond the limit on arbitrary bodies, and against a body that decodes to
// another value than the one that was encoded.
func FuzzAbsence(f *testing.F) {
	key := flow.Key{Caller: flow.Endpoint{IP: 1, Port: 2}, Service: flow.Endpoint{IP: 3, Port: 4}}
	f.Add(mesh.AbsenceQuery{Serial: 5, Keys: []flow.Key{key, {}}}.Append(nil))
	f.Add(mesh.AbsenceAnswer{Serial: 5, Agent: -1, Host: 7, Verdicts: []byte{0, 1, 2}}.Append(nil))
	f.Add(make([]byte, 8+12*(mesh.MaxAbsenceKeys+1)))
	f.Fuzz(func(t *testing.T, b []byte) {
		if q, err := mesh.DecodeAbsenceQuery(b); err == nil {
			require.LessOrEqual(t, len(q.Keys), mesh.MaxAbsenceKeys)
			require.Equal(t, b, q.Append(nil))
		}
		if a, err := mesh.DecodeAbsenceAnswer(b); err == nil {
			require.LessOrEqual(t, len(a.Verdicts), mesh.MaxAbsenceKeys)
			require.Equal(t, b, a.Append(nil))
		}
	})
}

// Guards against kinds that change on the wire, which processes of two versions would misread during an upgrade.
func TestAbsenceKinds(t *testing.T) {
	require.EqualValues(t, 14, mesh.KindAbsenceQuery)
	require.EqualValues(t, 15, mesh.KindAbsenceAnswer)
	require.Equal(t, "absenceAnswer", mesh.KindAbsenceAnswer.String())
}
