package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

// Guards against a held flow that is needlessly served after one that was queued later.
func TestHeldFlowsAreServedInOrder(t *testing.T) {
	h := busyHost(4)
	for i := range 3 {
		require.Equal(t, placement.Hold, decide(h, i, 2, 0))
	}
	_, ok := h.Dequeue(0)
	require.False(t, ok, "the host is full")
	first := h.RequestArrived(0, false, 0)
	h.RequestAnswered(first, time.Millisecond)
	h.SetSlots(6)
	for i := range 2 {
		key, ok := h.Dequeue(time.Millisecond)
		require.True(t, ok)
		require.Equal(t, flowKey(i), key)
	}
}

func decide(h *placement.Host, n int, priority uint8, now time.Duration) placement.Action {
	o := mesh.Terms{Best: 0, MustTake: true, Priority: priority, TargetLatency: mesh.MillisOf(150 * time.Millisecond)}
	return h.Decide(flowKey(n), o, 1, now).Action
}

// Guards against urgent flows served after others, and against flows that meet their target served after
// flows that are late anyway.
func TestHeldFlowsOrderedByPriorityAndTarget(t *testing.T) {
	h := busyHost(4)
	decide(h, 1, 2, 0)
	decide(h, 2, 2, 200*time.Millisecond)
	decide(h, 3, 1, 200*time.Millisecond)
	h.SetSlots(7)
	for _, want := range []int{3, 2, 1} {
		key, ok := h.Dequeue(210 * time.Millisecond)
		require.True(t, ok)
		require.Equal(t, flowKey(want), key)
	}
}

// Guards against callers that time out because their flows wait for their turn again at a second agent.
func TestHandedOverFlowIsServedFirst(t *testing.T) {
	h := busyHost(4)
	decide(h, 1, 1, 0)
	o := mesh.Terms{Best: 0, MustTake: true, HandedOver: true, Priority: 2, TargetLatency: mesh.MillisOf(150 * time.Millisecond), Waited: mesh.MillisOf(time.Second / 2)}
	require.Equal(t, placement.Hold, h.Decide(flowKey(2), o, 1, 0).Action)
	h.SetSlots(6)
	for _, want := range []int{2, 1} {
		key, ok := h.Dequeue(0)
		require.True(t, ok)
		require.Equal(t, flowKey(want), key)
	}
}

// Guards against callers that time out although all can be served: at 1.5 times the capacity for a second, a
// backlog of half a second of work builds up, and afterwards half of the capacity is free for it. When the
// newest late flow was served first, those that had waited longest timed out.
func TestBacklogIsServedWithinHoldLimit(t *testing.T) {
	const work, tick = 40 * time.Millisecond, time.Millisecond
	h := placement.NewHost(placement.HostConfig{Slots: 4, ServiceTime: work})
	type runningRequest struct {
		at time.Duration
		*placement.Request
	}
	var running []runningRequest
	startRequest := func(now time.Duration) {
		running = append(running, runningRequest{now + work, h.RequestArrived(now, true, 0)})
	}
	flows, expired, due := 0, 0, 0.0
	for now := time.Duration(0); now < 4*time.Second; now += tick {
		for len(running) > 0 && running[0].at <= now {
			h.RequestAnswered(running[0].Request, now)
			running = running[1:]
		}
		for _, ok := h.Dequeue(now); ok; _, ok = h.Dequeue(now) {
			startRequest(now)
		}
		for _, ok := h.DequeueExpired(now); ok; _, ok = h.DequeueExpired(now) {
			expired++
		}
		load := 1.5
		if now >= time.Second {
			load = 0.5
		}
		for due += load * 4 * float64(tick) / float64(work); due >= 1; due-- {
			flows++
			if decide(h, flows, 2, now) == placement.Take {
				startRequest(now)
			}
		}
	}
	require.Zero(t, expired, "of %d flows", flows)
}

// Guards against flows that are held for longer than their callers wait.
func TestHoldLimit(t *testing.T) {
	h := busyHost(4)
	decide(h, 1, 2, 0)
	_, ok := h.DequeueExpired(placement.DefaultHoldLimit)
	require.False(t, ok)
	key, ok := h.DequeueExpired(placement.DefaultHoldLimit + time.Millisecond)
	require.True(t, ok)
	require.Equal(t, flowKey(1), key)
	_, ok = h.DequeueAny()
	require.False(t, ok)
}

// Guards against a new flow that is refused because many late flows are held, although it is served before
// them.
func TestLateFlowsDoNotCauseRefusals(t *testing.T) {
	h := busyHost(4)
	for i := range 400 {
		decide(h, i, 2, 0)
	}
	for i := range 3 {
		require.Equal(t, placement.Hold, decide(h, 1000+i, 2, 400*time.Millisecond))
	}
	h.SetSlots(5)
	key, ok := h.Dequeue(410 * time.Millisecond)
	require.True(t, ok)
	require.Equal(t, flowKey(1000), key)
}
