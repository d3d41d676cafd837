package dispatch

import (
	"context"
	"time"

	"endiveflow.example/endiveflow/admit"
)

// maxQueueProbes is the largest number of peers whose queue a request is offered to. The first one may be
// unreachable, or its queue may have filled up.
const maxQueueProbes = 2

// queueOnPeer hands a request over to a peer, which may queue it, for an agent whose own
// upstream accepts no work. Otherwise callers of a draining agent would be refused
// whenever all slots of its peers are busy, and would needlessly wait a second before a retry.
func (h *Handler) queueOnPeer(ctx context.Context, j *job, reason string) result {
	res, ran := h.offerToPeers(ctx, j, offer{
		handover: handoverQueue,
		probes:   maxQueueProbes,
		choose: func(peers []admit.PeerLoad) admit.Choice {
			return admit.ChooseQueue(peers, h.cfg.Now(), h.random)
		},
	})
	switch {
	case ran:
		return res
	case ctx.Err() != nil:
		return h.endedBeforeRun(ctx)
	case res.status == 0: // no peer was chosen
		return refused(reason, time.Second)
	}
	return res
}

// runQueued serves a request that a peer has handed over because its own upstream accepts no work.
func (h *Handler) runQueued(ctx context.Context, j *job) result {
	if reason := h.refusalReason(); reason != "" {
		return refused(reason, time.Second)
	}
	return h.runLocalQueued(ctx, j)
}

// runLocalQueued waits for a slot of the local upstream and makes an attempt on it.
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
