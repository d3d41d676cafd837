package board_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/board"
)

func newSection() *board.Section[int, string] {
	return board.NewSection[int, string](board.Config[int]{Hash: func(k int) uint64 { return uint64(k) }})
}

func requireValue(t *testing.T, s *board.Section[int, string], key int, want string) {
	t.Helper()
	got, ok := s.Get(key)
	require.True(t, ok, "key %d is missing", key)
	require.Equal(t, want, got)
}

func TestSection(t *testing.T) {
	t.Run("an update that returns false keeps the old value", func(t *testing.T) {
		s := newSection()
		s.Put(1, "a")
		stored := s.Update(1, func(string, bool) (string, bool) { return "b", false })
		require.False(t, stored)
		requireValue(t, s, 1, "a")
	})
	t.Run("a snapshot is not changed by later writes", func(t *testing.T) {
		s := newSection()
		s.Put(1, "a")
		snap := s.Snapshot()
		s.Put(1, "b")
		s.Delete(2)
		require.Equal(t, map[int]string{1: "a"}, snap)
	})
}

// A subscriber that missed changes without receiving Overflow would work with
// outdated values for good.
func TestSlowSubscriberReceivesOverflow(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newSection()
	ch := s.Subscribe(ctx)
	for i := range 5000 {
		s.Put(i, "v")
	}
	cancel()
	overflows := 0
	for c := range ch {
		if c.Overflow {
			overflows++
		}
	}
	require.Equal(t, 1, overflows)
}
