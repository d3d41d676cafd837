package evacuation_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"endiveflow.example/endiveflow/evacuation"
)

func requireZones(t *testing.T, s evacuation.State, zones ...string) {
	t.Helper()
	assert.ElementsMatch(t, zones, s.Zones)
	for _, zone := range zones {
		assert.True(t, s.Includes(zone), zone)
	}
}

// Guards against a zone that returns without its withdrawal having been read, and against one that never returns.
func TestWithdrawal(t *testing.T) {
	evacuated := evacuation.State{}.WithListed(1, 10, []string{"b", "a"})
	t.Run("a list of the same era that lacks the zone", func(t *testing.T) {
		requireZones(t, evacuated.WithListed(1, 11, []string{"b"}), "b")
	})
	t.Run("a deletion", func(t *testing.T) {
		requireZones(t, evacuated.WithChanges(11, nil, []string{"a"}), "b")
	})
	t.Run("written again within one answer", func(t *testing.T) {
		requireZones(t, evacuated.WithChanges(11, []string{"a"}, []string{"a"}), "a", "b")
	})
	t.Run("a restored store that lacks the zone", func(t *testing.T) {
		restored := evacuated.WithListed(2, 4, []string{"b"})
		requireZones(t, restored, "a", "b")
		requireZones(t, restored.WithListed(2, 5, []string{"b"}), "a", "b")
		seen := restored.WithChanges(6, []string{"a"}, nil)
		requireZones(t, seen.WithListed(2, 7, nil))
		requireZones(t, restored.WithChanges(6, nil, []string{"a"}), "b")
	})
	t.Run("a restored store that has a zone withdrawn since the copy", func(t *testing.T) {
		requireZones(t, evacuated.WithChanges(11, nil, []string{"a", "b"}).WithListed(2, 4, []string{"a"}), "a")
	})
}

// Guards against a late report that brings back a withdrawn evacuation, or ends one in force.
func TestMergeKeepsNewest(t *testing.T) {
	var h evacuation.Holder
	assert.False(t, h.Current().IsKnown())
	assert.False(t, h.Merge(evacuation.State{}))
	old := evacuation.State{}.WithListed(1, 10, []string{"a"})
	assert.True(t, h.Merge(old))
	assert.True(t, h.Merge(old.WithChanges(12, nil, []string{"a"})))
	assert.False(t, h.Merge(old), "an older revision")
	requireZones(t, h.Current())
	assert.False(t, h.Merge(h.Current().WithChanges(13, nil, nil)), "a revision without a change")
	assert.Equal(t, uint64(13), h.Current().Revision)
	assert.True(t, h.Merge(evacuation.State{}.WithListed(2, 3, []string{"b"})), "a new era has lower revisions")
	requireZones(t, h.Current(), "b")
}
