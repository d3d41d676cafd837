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

// Reasons of results, besides those of packages admit, retry and outlier.
const (
	reasonDraining   = "draining"
	reasonEjected    = "upstream ejected"
	reasonNotSent    = "upstream not reached"
	reasonShed       = "upstream shed the request"
	reasonBroken     = "no complete answer"
	reasonDeadline   = "deadline passed"
	reasonCancelled  = "caller gone"
	reasonPeerFailed = "peer did not answer"
	reasonNoLoad     = "load of the sender is missing"
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
	// tried says that an upstream was tried; refusals of admission are no attempts.
	tried bool
	// key is a new key for the caller.
	key string
}

func refused(reason string, retryAfter time.Duration) result {
	return result{outcome: retry.NotRun, status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

func unknown(reason string) result {
	status := http.StatusBadGateway
	if reason == reasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return result{outcome: retry.Unknown, status: status, reason: reason}
}

// maxProbes is the number of peers that one placement asks. Each asks for a free slot only, so
// more would cost messages and not attempts.
const maxProbes = 2

// maxProbesDraining applies when there is no local slot to fall back to.
const maxProbesDraining = 4

// run places a request and attempts it again where that is allowed.
func (h *Handler) run(ctx context.Context, j *job) result {
	h.budget.AddRequest(h.cfg.Policy().RetryShare, h.cfg.Now())
	mayHaveRun := false
	for attempt := 0; ; attempt++ {
		res := h.attempt(ctx, j, attempt > 0)
		if res.outcome == retry.Answered {
			return res
		}
		mayHaveRun = mayHaveRun || res.outcome == retry.Unknown
		if ctx.Err() == nil && res.tried && h.again(j, res) {
			continue
		}
		// A later attempt that did not run proves nothing about an earlier one.
		if mayHaveRun && res.outcome == retry.NotRun {
			return unknown(res.reason)
		}
		return res
	}
}

func (h *Handler) again(j *job, res result) bool {
	d := retry.MayRetry(retry.Attempt{
		Outcome:     res.outcome,
		Repeatable:  j.repeatable,
		Deadline:    j.deadline,
		MinDuration: h.slots.meanRun(j.class) / 2,
	}, h.budget, h.cfg.Now())
	countRetry(d)
	return d.Retry
}

// attempt places a request once: on a peer that is less loaded, on a free local slot, on a peer
// with a free slot, or in the local queue. An
// attempt after a failed one asks the peers first.
func (h *Handler) attempt(ctx context.Context, j *job, peersFirst bool) result {
	accepts, avoid := h.cfg.AcceptsWork(), h.peers.avoidLocal()
	if accepts && !avoid && !peersFirst {
		if res, ran := h.askLighterPeers(ctx, j); ran {
			return res
		}
		if d := h.slots.try(j); d.Verdict == admit.Run {
			placedLocal.Inc()
			return h.runLocal(ctx, j)
		}
	}
	none := h.slots.load().Slots == 0
	probes := maxProbes
	if !accepts || avoid || none {
		probes = maxProbesDraining
	}
	if res, ran := h.askPeers(ctx, j, probes); ran {
		return res
	}
	switch {
	case ctx.Err() != nil:
		return h.endedBeforeRun(ctx)
	case !accepts:
		return h.queueOnPeer(ctx, j, reasonDraining)
	case avoid:
		return h.queueOnPeer(ctx, j, reasonEjected)
	case none:
		return h.queueOnPeer(ctx, j, admit.ReasonNoSlots)
	}
	return h.runLocalQueued(ctx, j)
}

// endedBeforeRun is the result of a request whose context ended before it got a slot.
func (h *Handler) endedBeforeRun(ctx context.Context) result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refused(reasonDeadline, time.Second)
	}
	return refused(reasonCancelled, time.Second)
}

// askPeers offers a request to peers with a free slot. ran is false when it is proven that none ran it.
func (h *Handler) askPeers(ctx context.Context, j *job, probes int) (res result, ran bool) {
	return h.offer(ctx, j, offer{handover: handoverSlot, probes: probes, choose: func(peers []admit.PeerLoad) admit.Choice {
		return admit.ChoosePeer(peers, j.class, h.cfg.Now(), h.random)
	}})
}

// askLighterPeers offers a request that may have a free local slot to peers that are less loaded.
func (h *Handler) askLighterPeers(ctx context.Context, j *job) (res result, ran bool) {
	local, probes := h.slots.load(), admit.LessLoadedProbes(j.class)
	return h.offer(ctx, j, offer{handover: handoverLighter, probes: probes, choose: func(peers []admit.PeerLoad) admit.Choice {
		return admit.ChooseLessLoaded(local, peers, j.class, h.cfg.Now(), h.random)
	}})
}

// offer describes how a request is offered to peers.
type offer struct {
	// handover is a value of HeaderHandover.
	handover string
	// probes is the largest number of peers that are asked.
	probes int
	choose func([]admit.PeerLoad) admit.Choice
}

// offer offers a request to peers until one runs it. Otherwise it returns the last refusal, if any.
func (h *Handler) offer(ctx context.Context, j *job, o offer) (res result, ran bool) {
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
		if res.outcome != retry.NotRun || res.tried {
			placedPeer.Inc()
			return res, true
		}
	}
	return res, false
}

func (h *Handler) random(n int) int { return min(int(h.cfg.Rand()*float64(n)), n-1) }

// runOnFreeSlot serves a request that a peer without a free slot handed over.
func (h *Handler) runOnFreeSlot(ctx context.Context, j *job) result {
	return h.runHandedOver(ctx, j, h.slots.try)
}

// runIfLighter serves a request of a peer whose load is text, if the local load is less.
func (h *Handler) runIfLighter(ctx context.Context, j *job, text string) result {
	var sender admit.Load
	if err := sender.UnmarshalText([]byte(text)); err != nil {
		malformedLoads.Inc()
		return refused(reasonNoLoad, time.Second)
	}
	return h.runHandedOver(ctx, j, func(j *job) admit.Decision { return h.slots.tryLighter(j, sender) })
}

func (h *Handler) runHandedOver(ctx context.Context, j *job, try func(*job) admit.Decision) result {
	if reason := h.takesNoWork(); reason != "" {
		return refused(reason, time.Second)
	}
	d := try(j)
	if d.Verdict != admit.Run {
		return refused(d.Reason, d.RetryAfter)
	}
	return h.runLocal(ctx, j)
}

// takesNoWork returns the reason why the local upstream takes no handed-over work, or nothing.
func (h *Handler) takesNoWork() string {
	switch {
	case !h.cfg.AcceptsWork():
		return reasonDraining
	case h.peers.avoidLocal():
		return reasonEjected
	}
	return ""
}

// refresh reads the settings and judges the upstreams again when that is due.
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
	for _, v := range h.peers.judged(verdicts) {
		h.auditEjection(v)
	}
	weight := verdicts[0].Weight
	if weight == 0 {
		weight = 100
	}
	h.slots.setWeight(weight, policy.ReservedSlots)
}
