package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/board"
	"endiveflow.example/endiveflow/member"
)

// borrower is the loop of an entry that was asked about an agent that it does
// not observe, and so watches it until it answers.
func borrower(t *testing.T) (l *entryLoop, asker, agent member.Record) {
	t.Helper()
	f := newFleet(t, 1, 0, 0)
	n := f.newNode(member.RoleEntry, address(1, 0))
	digest := func() uint64 { return 0 }
	e, err := NewEntry(EntryConfig{
		Socket: f.socket(n), Ring: f.ring, Self: n.record, Members: n.view, Trail: quietTrail(),
		ConfigDigest: digest, ConfigObjects: func() [][]byte { return nil }, ApplyConfig: n.objects.apply,
		ObjectsFor: n.objectsFor,
	})
	require.NoError(t, err)
	l = newEntryLoop(e)
	n.view.Merge([]member.Record{n.record()})
	for i := 1; i < 4; i++ {
		asker = f.newNode(member.RoleEntry, address(1, i)).record()
		n.view.Merge([]member.Record{asker})
	}
	for i := 0; agent.ID == 0 || l.observes(agent.ID); i++ {
		agent = f.newNode(member.RoleAgent, address(2, i)).record()
		agent.Service = service
	}
	n.view.Merge([]member.Record{agent})
	l.detector.Tick(time.Now())
	l.asked(asker.Control, agent.Brief(), time.Now())
	require.True(t, l.detector.Watching(agent.ID))
	return l, asker, agent
}

// stayQuiet lets time pass in which only other members are heard.
func stayQuiet(l *entryLoop, d time.Duration) {
	for range d / tickEvery {
		time.Sleep(tickEvery)
		l.decide(l.detector.RecordMessage(time.Now()))
		l.decide(l.detector.Tick(time.Now()))
	}
}

// An entry that watched a member for another one kept the brief that it was
// asked about. It then ended a version that the view had replaced: the view
// refused, and the suspicion of the live member stayed for ever.
func TestSuspicionEndsAfterADeathThatTheViewRefused(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		t.Run(fmt.Sprintf("change of the view noticed %t", noticed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, asker, agent := borrower(t)
				changed := agent.WithWeight(50)
				l.cfg.Members.Merge([]member.Record{changed})
				if noticed {
					l.viewChanged(board.Changed[member.ID]{Key: agent.ID})
				}
				stayQuiet(l, 4*time.Second)
				require.True(t, l.cfg.Members.Suspect(agent.ID))

				l.decide(l.detector.RecordOpinion(agent.Brief(), asker.ID, member.OpinionSilent, time.Now()))
				l.heard(agent.ID, time.Now())
				require.False(t, l.cfg.Members.Suspect(agent.ID))
			})
		})
	}
}

// A member that this entry has to observe itself was dropped with its first
// heartbeat, if another entry had asked about it before.
func TestBorrowedMemberThatIsNowObservedStaysWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _, agent := borrower(t)
		for _, e := range l.otherEntries() {
			l.cfg.Members.MergeEnded([]member.Brief{e.Brief().Ended()})
			l.viewChanged(board.Changed[member.ID]{Key: e.ID})
		}
		l.rewatch(time.Now())
		require.True(t, l.observes(agent.ID))

		l.heard(agent.ID, time.Now())
		require.True(t, l.detector.Watching(agent.ID))
	})
}
