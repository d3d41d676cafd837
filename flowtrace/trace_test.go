package flowtrace_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flowtrace"
)

// logLines holds lines of VMs whose clocks differ by a second, lines of another flow and text that isn't JSON.
const logLines = `
  1.002 a {"time":"2026-02-10T18:31:47.002Z","msg":"offer","node":"a","flow":"f","outcome":"pass","entry":"10.0.0.1","visit":0}
  1.001 e {"time":"2026-02-10T18:31:48.001Z","msg":"open","node":"e","flow":"f","outcome":"offered","entry":"10.0.0.1","attempt":1}
not JSON
  1.003 b {"time":"2026-02-10T18:31:46.003Z","msg":"offer","node":"b","flow":"f","outcome":"hold","entry":"10.0.0.1","visit":1}
  1.003 b {"time":"2026-02-10T18:31:46.003Z","msg":"offer","node":"b","flow":"g","outcome":"hold","entry":"10.0.0.1","visit":1}
  1.403 b {"time":"2026-02-10T18:31:46.403Z","msg":"held flow given to the host","node":"b","flow":"f","heldMs":400}
`

// Guards against a history sorted by clocks that differ, and against lines of other flows.
func TestOrderIsCausal(t *testing.T) {
	lines, err := flowtrace.Read(strings.NewReader(logLines), "f")
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, flowtrace.Write(&out, flowtrace.Order(lines)))
	require.Equal(t, "18:31:48.001\te\topen\toffered\tattempt=1 entry=10.0.0.1\n"+
		"18:31:47.002\ta\toffer\tpass\tentry=10.0.0.1 visit=0\n"+
		"18:31:46.003\tb\toffer\thold\tentry=10.0.0.1 visit=1\n"+
		"18:31:46.403\tb\theld flow given to the host\t\theldMs=400\n", out.String())
}
