package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
)

const observer member.ID = 99

// newWatchingDetector returns a detector that watches the agents on hosts 1 to n, all of one service.
func newWatchingDetector(n int, now time.Time) (*member.Detector, []member.Record) {
	d := member.NewDetector(member.DetectorConfig{Self: 1, Members: func(config.ServiceTag) int { return n }})
	var all []member.Record
	for host := range n {
		r := agent(byte(host+1), 1, 1, member.StateReady)
		r.Service = 1
		all = append(all, r)
		d.Watch(r, now)
	}
	d.Tick(now)
	return d, all
}

// runDetector ticks for the given time while the given members send heartbeats, and returns the decisions.
func runDetector(d *member.Detector, sending []member.Record, from time.Time, length time.Duration) []member.Decision {
	var out []member.Decision
	for at := time.Duration(0); at <= length; at += 100 * time.Millisecond {
		now := from.Add(at)
		if at%time.Second == 0 {
			for _, r := range sending {
				out = append(out, d.RecordMessage(now)...)
				out = append(out, d.RecordHeartbeat(r.ID, time.Second, now)...)
			}
		}
		out = append(out, d.Tick(now)...)
	}
	return out
}

func countKinds(decisions []member.Decision) map[member.DecisionKind]int {
	out := make(map[member.DecisionKind]int)
	for _, d := range decisions {
		out[d.Kind]++
	}
	return out
}

func TestDetector(t *testing.T) {
	start := time.Now()
	t.Run("an unresponsive member is suspect after three missed heartbeats and dead when another observer agrees", func(t *testing.T) {
		d, all := newWatchingDetector(4, start)
		require.Zero(t, countKinds(runDetector(d, all[1:], start, 2900*time.Millisecond))[member.DecideSuspect])
		got := countKinds(runDetector(d, all[1:], start.Add(3*time.Second), time.Second))
		require.Equal(t, 1, got[member.DecideSuspect])
		require.Zero(t, got[member.DecideDead])
		now := start.Add(4 * time.Second)
		require.Empty(t, d.RecordOpinion(all[0].Summary(), 1, member.OpinionUnresponsive, now),
			"the observer's own opinion must not confirm the death")
		require.Empty(t, d.RecordOpinion(all[0].Summary(), observer, member.OpinionAlive, now))
		dead := d.RecordOpinion(all[0].Summary(), observer, member.OpinionUnresponsive, now)
		require.Equal(t, member.StateDead, dead[0].Summary.State)
		require.NotEmpty(t, dead[0].Reason)
	})
	t.Run("there is no opinion about a member that has not sent a heartbeat", func(t *testing.T) {
		d, all := newWatchingDetector(4, start)
		require.Equal(t, member.OpinionNone, d.Opinion(all[0].ID, start))
	})
	t.Run("an opinion about an older version does not end a newer one", func(t *testing.T) {
		d, all := newWatchingDetector(4, start)
		runDetector(d, all[1:], start, 4*time.Second)
		d.Watch(all[0].WithWeight(50), start)
		require.Empty(t, d.RecordOpinion(all[0].Summary(), observer, member.OpinionUnresponsive, start.Add(4*time.Second)))
	})
	t.Run("an observer that is cut off suspects no member", func(t *testing.T) {
		d, all := newWatchingDetector(10, start)
		runDetector(d, all, start, 5*time.Second)
		got := countKinds(runDetector(d, nil, start.Add(5*time.Second), time.Minute))
		require.Equal(t, map[member.DecisionKind]int{member.DecideFreeze: 1}, got)
		require.Equal(t, member.OpinionNone, d.Opinion(all[0].ID, start.Add(time.Minute)))
		back := countKinds(runDetector(d, all, start.Add(66*time.Second), 10*time.Second))
		require.Equal(t, 1, back[member.DecideThaw])
		require.Zero(t, back[member.DecideSuspect])
	})
	t.Run("a paused observer suspects no member when it resumes", func(t *testing.T) {
		d, all := newWatchingDetector(10, start)
		runDetector(d, all, start, 5*time.Second)
		require.Equal(t, member.OpinionNone, d.Opinion(all[0].ID, start.Add(2*time.Minute)))
		got := countKinds(runDetector(d, all, start.Add(2*time.Minute), 10*time.Second))
		require.Equal(t, map[member.DecisionKind]int{member.DecideResume: 1}, got)
	})
	t.Run("suspicion is capped in a mass loss until another observer confirms it", func(t *testing.T) {
		d, all := newWatchingDetector(10, start)
		got := countKinds(runDetector(d, all[:4], start, 6*time.Second))
		require.Equal(t, 3, got[member.DecideSuspect], "34%% of 10")
		require.Equal(t, 3, got[member.DecideSuspectCapped])
		for _, r := range all[4:] {
			require.Len(t, d.RecordOpinion(r.Summary(), observer, member.OpinionUnresponsive, start.Add(6*time.Second)), 1)
		}
	})
}

// Whatever the order of heartbeats, their absence, pauses and opinions: a death needs OpinionUnresponsive
// of another observer about the same version, the number of suspects never exceeds the limit, and every
// decision has a reason.
func TestDetectorNeverDeclaresDeathAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		d, all := newWatchingDetector(6, now)
		suspects := make(map[member.ID]bool)
		check := func(decisions []member.Decision, deathAllowed bool) {
			for _, x := range decisions {
				require.NotEmpty(t, x.Reason)
				require.True(t, deathAllowed || x.Kind != member.DecideDead, "dead without confirmation")
				switch x.Kind {
				case member.DecideSuspect:
					require.False(t, d.Frozen())
					suspects[x.ID] = true
				case member.DecideAlive, member.DecideDead:
					delete(suspects, x.ID)
				}
				require.LessOrEqual(t, len(suspects), 2, "34%% of 6")
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			r := all[rapid.IntRange(0, 5).Draw(t, "member")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				check(d.RecordMessage(now), false)
				check(d.RecordHeartbeat(r.ID, time.Second, now), false)
			case 1:
				opinion := member.Opinion(rapid.IntRange(0, 2).Draw(t, "opinion"))
				check(d.RecordOpinion(r.Summary(), observer, opinion, now), opinion == member.OpinionUnresponsive)
			default:
				now = now.Add(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
				check(d.Tick(now), false)
			}
		}
	})
}
