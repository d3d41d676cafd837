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

// newLoopWithRequestedWatch returns the loop of an entry that was asked for an opinion about an agent that it
// does not observe, and therefore watches the agent until it answers.
func newLoopWithRequestedWatch(t *testing.T) (l *entryLoop, requester, agent member.Record) {
	t.Helper()
	f := newFleet(t, 1, 0, 0)
	n := f.newNode(member.RoleEntry, address(1, 0))
	digest := func() uint64 { return 0 }
	e, err := NewEntry(EntryConfig{
		Socket: f.socket(n), Ring: f.ring, Self: n.record, Members: n.view, Trail: discardTrail(),
		ConfigDigest: digest, ConfigObjects: func() [][]byte { return nil }, ApplyConfig: n.objects.apply,
		ObjectsFor: n.objectsFor,
	})
	require.NoError(t, err)
	l = newEntryLoop(e)
	n.view.Merge([]member.Record{n.record()})
	for i := 1; i < 4; i++ {
		requester = f.newNode(member.RoleEntry, address(1, i)).record()
		n.view.Merge([]member.Record{requester})
	}
	for i := 0; agent.ID == 0 || l.observes(agent.ID); i++ {
		agent = f.newNode(member.RoleAgent, address(2, i)).record()
		agent.Service = service
	}
	n.view.Merge([]member.Record{agent})
	l.detector.Tick(time.Now())
	l.handleOpinionRequest(requester.Control, agent.Summary(), time.Now())
	require.True(t, l.detector.Watching(agent.ID))
	return l, requester, agent
}

// advanceWithoutHeartbeats lets time pass in which messages arrive, but no heartbeats of the watched members.
func advanceWithoutHeartbeats(l *entryLoop, d time.Duration) {
	for range d / tickInterval {
		time.Sleep(tickInterval)
		l.applyDecisions(l.detector.RecordMessage(time.Now()))
		l.applyDecisions(l.detector.Tick(time.Now()))
	}
}

// An entry that watched a member on request kept the summary that it was asked about. It then declared a version
// dead that the view had already replaced: the view rejected the death, and the live member remained
// suspect for good.
func TestSuspicionEndsAfterViewRejectsDeath(t *testing.T) {
	for _, handled := range []bool{true, false} {
		t.Run(fmt.Sprintf("view change handled %t", handled), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, requester, agent := newLoopWithRequestedWatch(t)
				changed := agent.WithWeight(50)
				l.cfg.Members.Merge([]member.Record{changed})
				if handled {
					l.handleViewChange(board.Changed[member.ID]{Key: agent.ID})
				}
				advanceWithoutHeartbeats(l, 4*time.Second)
				require.True(t, l.cfg.Members.Suspect(agent.ID))

				l.applyDecisions(l.detector.RecordOpinion(agent.Summary(), requester.ID, member.OpinionUnresponsive, time.Now()))
				l.recordHeartbeat(agent.ID, time.Now())
				require.False(t, l.cfg.Members.Suspect(agent.ID))
			})
		})
	}
}

// A member that this entry observes was unwatched at its first heartbeat if another entry had requested an
// opinion about it before.
func TestMemberWatchedOnRequestStaysWatchedWhenObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _, agent := newLoopWithRequestedWatch(t)
		for _, e := range l.otherEntries() {
			l.cfg.Members.MergeEnded([]member.Summary{e.Summary().Ended()})
			l.handleViewChange(board.Changed[member.ID]{Key: e.ID})
		}
		l.updateWatches(time.Now())
		require.True(t, l.observes(agent.ID))

		l.recordHeartbeat(agent.ID, time.Now())
		require.True(t, l.detector.Watching(agent.ID))
	})
}
