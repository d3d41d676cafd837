package dispatch

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/outlier"
	"endiveflow.example/endiveflow/retry"
)

// Reasons for results, in addition to those of packages admit, retry and outlier.
const (
	reasonDraining         = "draining"
	reasonEjected          = "upstream ejected"
	reasonNotSent          = "upstream not reached"
	reasonShed             = "upstream shed the request"
	reasonIncompleteAnswer = "no complete answer"
	reasonDeadline         = "deadline passed"
	reasonCancelled        = "caller gone"
	reasonPeerFailed       = "peer did not answer"
	reasonNoLoad           = "load of the sender is missing"
)

// result is the result of a request or of one attempt.
type result struct {
	outcome retry.Outcome
	// answer is set when the outcome is Answered.
	answer *answer
	// status, reason and retryAfter describe a result without an answer.
	status     int
	reason     string
	retryAfter time.Duration
	// attempted reports whether an attempt on an upstream was made; refusals by admission are not attempts.
	attempted bool
	// key is a new request key for the caller, or empty.
	key string
}

// refused returns the result of a request that was not run.
func refused(reason string, retryAfter time.Duration) result {
	return result{outcome: retry.NotRun, status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// unknown returns the result of a request that may have been run.
func unknown(reason string) result {
	status := http.StatusBadGateway
	if reason == reasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return result{outcome: retry.Unknown, status: status, reason: reason}
}

// maxProbes is the largest number of peers that a request is offered to in one attempt, one after another. A
// peer without a free slot refuses it, so further probes would cost messages but no attempts.
const maxProbes = 2

// maxProbesDraining replaces maxProbes when there is no local slot to fall back to.
const maxProbesDraining = 4

// run runs a request, with retries where they are allowed.
func (h *Handler) run(ctx context.Context, j *job) result {
	h.budget.AddRequest(h.cfg.Policy().RetryShare, h.cfg.Now())
	mayHaveRun := false
	for attempt := 0; ; attempt++ {
		res := h.attempt(ctx, j, attempt > 0)
		if res.outcome == retry.Answered {
			return res
		}
		mayHaveRun = mayHaveRun || res.outcome == retry.Unknown
		if ctx.Err() == nil && res.attempted && h.mayRetry(j, res) {
			continue
		}
		// If a later attempt did not run, an earlier one may still have.
		if mayHaveRun && res.outcome == retry.NotRun {
			return unknown(res.reason)
		}
		return res
	}
}

// mayRetry reports whether a request may be attempted again after the result res, and takes the retry from
// the budget.
func (h *Handler) mayRetry(j *job, res result) bool {
	d := retry.MayRetry(retry.Attempt{
		Outcome:     res.outcome,
		Repeatable:  j.repeatable,
		Deadline:    j.deadline,
		MinDuration: h.slots.meanRun(j.class) / 2,
	}, h.budget, h.cfg.Now())
	countRetry(d)
	return d.Retry
}

// attempt makes one attempt of a request: on a less loaded peer, on a free local slot, on a peer
// with a free slot, or in the local queue, in this order. An attempt after a failed one begins with the
// peers that have a free slot.
func (h *Handler) attempt(ctx context.Context, j *job, peersFirst bool) result {
	accepts, avoidLocal := h.cfg.AcceptsWork(), h.peers.avoidLocal()
	if accepts && !avoidLocal && !peersFirst {
		if res, ran := h.offerToLessLoadedPeers(ctx, j); ran {
			return res
		}
		if d := h.slots.tryAcquire(j); d.Verdict == admit.Run {
			placedLocal.Inc()
			return h.runLocal(ctx, j)
		}
	}
	noSlots := h.slots.load().Slots == 0
	probes := maxProbes
	if !accepts || avoidLocal || noSlots {
		probes = maxProbesDraining
	}
	if res, ran := h.offerToFreePeers(ctx, j, probes); ran {
		return res
	}
	switch {
	case ctx.Err() != nil:
		return h.endedBeforeRun(ctx)
	case !accepts:
		return h.queueOnPeer(ctx, j, reasonDraining)
	case avoidLocal:
		return h.queueOnPeer(ctx, j, reasonEjected)
	case noSlots:
		return h.queueOnPeer(ctx, j, admit.ReasonNoSlots)
	}
	return h.runLocalQueued(ctx, j)
}

// endedBeforeRun returns the result of a request whose context ended before it got a slot.
func (h *Handler) endedBeforeRun(ctx context.Context) result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refused(reasonDeadline, time.Second)
	}
	return refused(reasonCancelled, time.Second)
}

// offerToFreePeers offers a request to peers with a free slot. ran is false if it is certain that no peer
// ran it.
func (h *Handler) offerToFreePeers(ctx context.Context, j *job, probes int) (res result, ran bool) {
	return h.offerToPeers(ctx, j, offer{handover: handoverSlot, probes: probes, choose: func(peers []admit.PeerLoad) admit.Choice {
		return admit.ChoosePeer(peers, j.class, h.cfg.Now(), h.random)
	}})
}

// offerToLessLoadedPeers offers a request, for which there may be a free local slot, to less loaded peers.
func (h *Handler) offerToLessLoadedPeers(ctx context.Context, j *job) (res result, ran bool) {
	local, probes := h.slots.load(), admit.LessLoadedProbes(j.class)
	return h.offerToPeers(ctx, j, offer{handover: handoverLessLoaded, probes: probes, choose: func(peers []admit.PeerLoad) admit.Choice {
		return admit.ChooseLessLoaded(local, peers, j.class, h.cfg.Now(), h.random)
	}})
}

// offer describes how a request is offered to peers.
type offer struct {
	// handover is a value of HeaderHandover.
	handover string
	// probes is the largest number of peers that the request is offered to.
	probes int
	// choose chooses the next peer.
	choose func([]admit.PeerLoad) admit.Choice
}

// offerToPeers offers a request to peers, one after another, until one runs it or may have run it. If none
// does, it returns the last refusal, or a zero result if no peer was chosen.
func (h *Handler) offerToPeers(ctx context.Context, j *job, o offer) (res result, ran bool) {
	skip := map[netip.AddrPort]bool{h.cfg.Self.Peer: true}
	for range o.probes {
		if ctx.Err() != nil {
			return res, false
		}
		addr, ok := h.peers.pick(selection{infos: h.cfg.Peers(), skip: skip, class: j.class, now: h.cfg.Now(), choose: o.choose})
		if !ok {
			return res, false
		}
		skip[addr] = true
		res = h.runOnPeer(ctx, j, addr, o.handover)
		if res.outcome != retry.NotRun || res.attempted {
			placedPeer.Inc()
			return res, true
		}
	}
	return res, false
}

// random returns a random number from 0 to n-1.
func (h *Handler) random(n int) int { return min(int(h.cfg.Rand()*float64(n)), n-1) }

// runOnFreeSlot serves a request that a peer without a free slot has handed over.
func (h *Handler) runOnFreeSlot(ctx context.Context, j *job) result {
	return h.runHandedOver(ctx, j, h.slots.tryAcquire)
}

// runIfLessLoaded serves a request that a peer has handed over, if the local load is less than the
// peer's, which text holds.
func (h *Handler) runIfLessLoaded(ctx context.Context, j *job, text string) result {
	var sender admit.Load
	if err := sender.UnmarshalText([]byte(text)); err != nil {
		malformedLoads.Inc()
		return refused(reasonNoLoad, time.Second)
	}
	return h.runHandedOver(ctx, j, func(j *job) admit.Decision { return h.slots.tryAcquireIfLessLoaded(j, sender) })
}

// runHandedOver serves a request that a peer has handed over, if try gets a slot for it.
func (h *Handler) runHandedOver(ctx context.Context, j *job, try func(*job) admit.Decision) result {
	if reason := h.refusalReason(); reason != "" {
		return refused(reason, time.Second)
	}
	d := try(j)
	if d.Verdict != admit.Run {
		return refused(d.Reason, d.RetryAfter)
	}
	return h.runLocal(ctx, j)
}

// refusalReason returns the reason why the local upstream accepts no requests from peers, or "" if it does.
func (h *Handler) refusalReason() string {
	switch {
	case !h.cfg.AcceptsWork():
		return reasonDraining
	case h.peers.avoidLocal():
		return reasonEjected
	}
	return ""
}

// refresh applies the current settings and assesses the upstreams, if that is due or force is set.
func (h *Handler) refresh(force bool) {
	now := h.cfg.Now()
	if !h.peers.due(now) && !force {
		return
	}
	policy := h.cfg.Policy()
	h.detector.Configure(outlier.Config{SlowStart: policy.SlowStart, MaxEjected: policy.MaxEjected})
	h.ledger.SetBounds(policy.LedgerBytes, policy.KeyWindow)
	addrs := []netip.AddrPort{h.cfg.Self.Peer}
	for _, p := range h.cfg.Peers() {
		if p.Addr != h.cfg.Self.Peer {
			addrs = append(addrs, p.Addr)
		}
	}
	h.detector.RetainOnly(addrs)
	verdicts := h.detector.Assess(addrs, now)
	for _, v := range h.peers.setVerdicts(verdicts) {
		h.auditEjection(v)
	}
	weight := verdicts[0].Weight
	if weight == 0 {
		weight = 100
	}
	h.slots.setWeight(weight, policy.ReservedSlots)
}
