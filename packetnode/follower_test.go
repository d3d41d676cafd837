package packetnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/watchduty"
)

// Guards against an entry without a configuration for 1.5 s after a start of all processes: it had read the evacuations, and
// took that answer for one to another entry that watches the configuration.
func TestOwnAnswerEndsOneDutyOnly(t *testing.T) {
	now := time.Second
	duties := newStoreDuties(watchduty.Config{IP: 1, Now: func() time.Duration { return now }, Peers: func() []uint32 { return []uint32{2, 3} }})
	duties.evacuations.Answered(0)
	require.False(t, duties.evacuations.Watches())
	require.True(t, duties.config.Watches())

	duties.answeredOther(0)
	require.False(t, duties.config.Watches())
}
