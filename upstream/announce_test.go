package upstream_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/upstream"
)

const ready = `{"service":"rota","address":"127.0.0.1:80","slots":4,"state":"ready"}`

// An upstream that crashed must change to gone after three missed announcements, and not before.
func TestAnnouncementsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(chan upstream.State, 8)
		a := upstream.NewAnnouncements(upstream.AnnouncementsConfig{
			Service:  "rota",
			OnChange: func(_, current upstream.Announcement) { seen <- current.State },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := a.Run(ctx)
		require.Equal(t, upstream.StateGone, a.Current().State)
		require.NoError(t, a.Accept([]byte(ready)))
		time.Sleep(2 * upstream.DefaultAnnouncementInterval)
		synctest.Wait()
		require.NoError(t, a.Accept([]byte(ready)))
		time.Sleep(3*upstream.DefaultAnnouncementInterval - time.Millisecond)
		synctest.Wait()
		require.Equal(t, upstream.StateReady, <-seen)
		require.Empty(t, seen)
		time.Sleep(upstream.DefaultAnnouncementInterval / 2)
		synctest.Wait()
		require.Len(t, seen, 1)
		require.Equal(t, upstream.StateGone, <-seen)
		require.NoError(t, a.Accept([]byte(ready)))
		require.Equal(t, upstream.StateReady, a.Current().State)
		cancel()
		require.NoError(t, <-done)
	})
}

// A malformed announcement, or one of another service, must not replace the current one.
func TestMalformedAnnouncementsAreRejected(t *testing.T) {
	a := upstream.NewAnnouncements(upstream.AnnouncementsConfig{Service: "rota"})
	require.NoError(t, a.Accept([]byte(ready)))
	for _, body := range []string{
		``, `{}`, `[]`,
		`{"service":"draws","address":"127.0.0.1:80","slots":4,"state":"ready"}`,
		`{"service":"rota","address":"127.0.0.1:0","slots":4,"state":"ready"}`,
		`{"service":"rota","address":"127.0.0.1:80","slots":0,"state":"ready"}`,
		`{"service":"rota","address":"127.0.0.1:80","slots":70000,"state":"ready"}`,
		`{"service":"rota","address":"127.0.0.1:80","slots":4,"state":"gone"}`,
		`{"service":"rota","address":"127.0.0.1:80","slots":4,"state":"ready","extra":1}`,
	} {
		require.ErrorIs(t, a.Accept([]byte(body)), errors.NotValid, body)
	}
	require.Equal(t, upstream.StateReady, a.Current().State)
}

// An announcement from a faulty upstream must be rejected as a whole, never accepted in part.
func FuzzParseAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"rota","address":"127.0.0.1:8000","slots":4,"state":"ready"}`))
	f.Add([]byte(`{"service":"rota","address":"nowhere","slots":-1,"state":"gone"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := upstream.ParseAnnouncement(body)
		if err != nil {
			require.ErrorIs(t, err, errors.NotValid)
			return
		}
		require.True(t, a.Address.IsValid())
		require.Positive(t, a.Slots)
		require.NotEmpty(t, a.Service)
		require.Contains(t, []upstream.State{upstream.StateStarting, upstream.StateReady, upstream.StateDraining}, a.State)
	})
}
