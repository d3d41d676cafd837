package config_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
)

// Without any audit entries nodes had no record of former addresses, and entries that started after a change
// dropped the flows there.
func TestForNodesKeepsFormerAddresses(t *testing.T) {
	when := time.Unix(1_700_000_000, 0)
	o := config.Object{
		Key:     config.Key{Kind: config.KindService, Name: "rota"},
		Service: &config.Service{},
		Changes: []config.Change{
			{OperationID: "1", Who: "ann", When: when, Diff: []string{"address: unset -> 10.0.0.1:443"}},
			{OperationID: "2", Who: "ann", When: when, BaseVersion: 1, Diff: []string{"long: [] -> [/draws]"}},
			{OperationID: "3", Who: "ann", When: when, BaseVersion: 2, Why: "move", Diff: []string{"address: 10.0.0.1:443 -> 10.0.0.2:443", "short: [] -> [/]"}},
		},
	}
	got := o.ForNodes()
	require.Equal(t, []config.Change{{When: when, BaseVersion: 2, Diff: []string{"address: 10.0.0.1:443 -> 10.0.0.2:443"}}}, got.Changes)
	require.Len(t, o.Changes, 3, "the stored object must not change")

	other := config.Object{Key: config.Key{Kind: config.KindUpstream, Name: "hosts"}, Changes: o.Changes}
	require.Empty(t, other.ForNodes().Changes)
}
