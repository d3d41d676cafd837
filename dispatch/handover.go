package dispatch

import (
	"context"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/retry"
)

// queueOnPeer hands a request to the queue of a peer, for an agent whose own
// upstream takes no work. Without it, callers of a draining agent were refused
// while all slots of its peers were busy, and waited a second for nothing.
func (h *Handler) queueOnPeer(ctx context.Context, j *job, reason string) result {
	addr, ok := h.peers.chooseQueue(h.cfg.Peers(), h.cfg.Self.Peer, h.random)
	if !ok {
		return refused(reason, time.Second)
	}
	res := h.runOnPeer(ctx, j, addr, handoverQueue)
	if res.outcome != retry.NotRun || res.tried {
		placedPeer.Inc()
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

// chooseQueue picks the less loaded of two random peers that take work.
func (t *peerTable) chooseQueue(infos []PeerInfo, self netip.AddrPort, random func(int) int) (netip.AddrPort, bool) {
	var usable []netip.AddrPort
	for _, p := range infos {
		if !p.Draining && p.Slots > 0 && p.Addr != self {
			usable = append(usable, p.Addr)
		}
	}
	if len(usable) == 0 {
		return netip.AddrPort{}, false
	}
	first := usable[random(len(usable))]
	second := usable[random(len(usable))]
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending(second) < t.pending(first) {
		return second, true
	}
	return first, true
}

// pending returns the requests that a peer last reported. The caller holds mu.
func (t *peerTable) pending(addr netip.AddrPort) int {
	load := t.loads[addr].load
	return load.InUse() + load.Queued()
}
