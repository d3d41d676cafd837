package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/admit"
)

// Guards against choosing peers that are full, draining or ejected, and against a stale report that
// excludes a peer permanently.
func TestChoosePeer(t *testing.T) {
	full := admit.Load{Slots: 4, Reserved: 1, ShortInUse: 4}
	half := admit.Load{Slots: 4, Reserved: 1, ShortInUse: 1, LongInUse: 1}
	longFull := admit.Load{Slots: 4, Reserved: 1, LongInUse: 3}
	at := func(l admit.Load, age time.Duration) admit.PeerLoad {
		return admit.PeerLoad{Slots: 4, Load: l, ReportedAt: start.Add(-age), Weight: 100}
	}
	draining, ejected := at(admit.Load{Slots: 4}, 0), at(admit.Load{Slots: 4}, 0)
	draining.Draining, ejected.Weight = true, 0
	for name, c := range map[string]struct {
		peers []admit.PeerLoad
		class admit.Class
		want  int
	}{
		"none":               {nil, admit.Short, -1},
		"fullIsSkipped":      {[]admit.PeerLoad{at(full, 0), at(half, 0)}, admit.Short, 1},
		"allFull":            {[]admit.PeerLoad{at(full, time.Second), at(full, 0)}, admit.Short, -1},
		"expiredIsTried":     {[]admit.PeerLoad{at(full, admit.ReportTTL), at(full, 0)}, admit.Short, 0},
		"unusable":           {[]admit.PeerLoad{draining, ejected}, admit.Short, -1},
		"longNeedsItsSlot":   {[]admit.PeerLoad{at(longFull, 0)}, admit.Long, -1},
		"shortUsesReserved":  {[]admit.PeerLoad{at(longFull, 0)}, admit.Short, 0},
		"freshIdleBeatsHalf": {[]admit.PeerLoad{at(half, 0), at(admit.Load{Slots: 4}, 0)}, admit.Short, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 0))
				require.Equal(t, c.want, admit.ChoosePeer(c.peers, c.class, start, random.IntN).Index)
			}
		})
	}
}

// Guards against a load header that an agent writes and cannot read back.
func TestLoadHeaderRoundTrip(t *testing.T) {
	want := admit.Load{Slots: 7, Reserved: 1, ShortInUse: 2, LongInUse: 3, ShortQueued: 4, LongQueued: 5, Recent: 2500}
	text, err := want.MarshalText()
	require.NoError(t, err)
	var got admit.Load
	require.NoError(t, got.UnmarshalText(text))
	require.Equal(t, want, got)
	for _, text := range []string{"", "7,1", "7,1,2,3,4,5,6,7", "7,1,2,3,4,5", "7,1,2,3,4,-5,6", "7,1,2,3,4,5x,6", "7,1,2,3,4,99999,6", "7,1,2,3,4,5,99999999"} {
		require.ErrorIs(t, got.UnmarshalText([]byte(text)), errors.NotValid, text)
	}
}

// Guards against a load header from another process that makes UnmarshalText panic, or that changes when
// it is written again.
func FuzzLoad(f *testing.F) {
	f.Add("7,1,2,3,4,5,2500")
	f.Fuzz(func(t *testing.T, text string) {
		var l, again admit.Load
		if l.UnmarshalText([]byte(text)) != nil {
			return
		}
		l.HasRoom(admit.Long)
		written, err := l.MarshalText()
		require.NoError(t, err)
		require.NoError(t, again.UnmarshalText(written))
		require.Equal(t, l, again)
	})
}

// Guards against a single slow request that makes a path long work, against slow paths that are never
// learned as long work, and against memory that grows with the number of paths.
func TestClassifierLearns(t *testing.T) {
	c := admit.NewClassifier(admit.ClassifierConfig{MaxPatterns: 20})
	class := func(path string) admit.Class {
		got, _ := c.Classify("GET", path, []string{"/draw"}, []string{"/draw/preview"})
		return got
	}
	require.Equal(t, admit.Long, class("/draw/1"))
	require.Equal(t, admit.Short, class("/draw/preview/1"))
	for i := range 100 {
		c.Learn("GET", fmt.Sprintf("/slots/%d", i), 10*time.Millisecond)
	}
	c.Learn("GET", "/slots/1", time.Second)
	require.Equal(t, admit.Short, class("/slots/2"))
	for i := range 3 {
		require.Equal(t, admit.Short, class("/report/7"))
		c.Learn("GET", fmt.Sprintf("/report/%d", i), time.Second)
	}
	require.Equal(t, admit.Long, class("/report/7"))
	for i := range 100 {
		c.Learn("GET", "/x/"+string(rune('A'+i%26))+string(rune('A'+i/26)), time.Millisecond)
	}
	require.Equal(t, admit.Short, class("/report/7"), "the least recently used patterns are evicted")
}
