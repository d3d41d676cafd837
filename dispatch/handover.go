package dispatch

import (
	"context"
	"time"

	"endiveflow.example/endiveflow/admit"
)

// maxQueueProbes is the number of peers whose queue is asked. The first may be gone or just full.
const maxQueueProbes = 2

// queueOnPeer hands a request to the queue of a peer, for an agent whose own
// upstream takes no work. Without it, callers of a draining agent were refused
// while all slots of its peers were busy, and waited a second for nothing.
func (h *Handler) queueOnPeer(ctx context.Context, j *job, reason string) result {
	res, ran := h.offer(ctx, j, offer{handover: handoverQueue, probes: maxQueueProbes, choose: func(peers []admit.PeerLoad) admit.Choice {
		return admit.ChooseQueue(peers, h.cfg.Now(), h.random)
	}})
	switch {
	case ran:
		return res
	case ctx.Err() != nil:
		return h.endedBeforeRun(ctx)
	case res.status == 0: // no peer was asked
		return refused(reason, time.Second)
	}
	return res
}

// runQueued serves a request that a peer hands over because it has no upstream
// of its own to run it on.
func (h *Handler) runQueued(ctx context.Context, j *job) result {
	if reason := h.takesNoWork(); reason != "" {
		return refused(reason, time.Second)
	}
	return h.runLocalQueued(ctx, j)
}

// runLocalQueued runs a request on the local upstream, waiting for a slot.
func (h *Handler) runLocalQueued(ctx context.Context, j *job) result {
	d, err := h.slots.acquire(ctx, j)
	switch {
	case err != nil:
		return h.endedBeforeRun(ctx)
	case d.Verdict == admit.Refuse:
		return refused(d.Reason, d.RetryAfter)
	}
	placedQueue.Inc()
	return h.runLocal(ctx, j)
}
