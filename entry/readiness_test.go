package entry

import (
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
)

func requireState(t *testing.T, b *node.Board, want member.State) {
	t.Helper()
	synctest.Wait()
	require.Equal(t, want, b.Self.Record().State)
}

// An entry must not be ready without a configuration: it then has no socket to send answers from, and
// agents that sent their answers through it lost them.
func TestEntryIsReadyOnlyWithConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := node.NewBoard(member.Record{
			Role: member.RoleEntry, Control: netip.MustParseAddrPort("10.0.0.1:7002"), State: member.StateStarting,
		}, slog.New(slog.DiscardHandler))
		r := &readiness{board: b, now: time.Now}
		done := r.run(t.Context())
		time.Sleep(time.Minute)
		requireState(t, b, member.StateStarting)

		b.Config.Apply(config.Object{Key: config.Key{Kind: config.KindDefaults, Name: config.DefaultsName}, Version: 1, Defaults: &config.Defaults{}})
		time.Sleep(agentsGrace / 2)
		requireState(t, b, member.StateStarting)
		time.Sleep(agentsGrace)
		requireState(t, b, member.StateReady)
		require.NoError(t, <-done)
	})
}
