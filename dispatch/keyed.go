package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/header"
	"endiveflow.example/endiveflow/ledger"
	"endiveflow.example/endiveflow/retry"
)

const (
	reasonNoKey       = "request needs a key"
	reasonBadKey      = "key is not valid"
	reasonKeyUnknown  = "request may have run"
	reasonKeyNeverRun = "key has been refused and will not run"
	reasonKeyReused   = "key was used for another request"
	reasonHomeGone    = "home of the key does not answer"
	reasonHandedOver  = "no new keys after the hand-over"
)

// serveKeyed serves a request that must not run twice.
func (h *Handler) serveKeyed(ctx context.Context, w http.ResponseWriter, j *job) {
	if j.key == "" {
		h.write(w, h.issueKey())
		return
	}
	key, err := h.cfg.ParseKey(j.key)
	if err != nil {
		// An earlier attempt with this key may have run while the key was still accepted.
		h.write(w, result{outcome: retry.Unknown, status: http.StatusBadRequest, reason: reasonBadKey})
		return
	}
	if h.ledgerOf(key) != nil {
		h.write(w, h.withKey(h.runAtHome(ctx, j)))
		return
	}
	h.write(w, h.withKey(h.askHome(ctx, j, key)))
}

// withKey adds a new key to a refusal, since the old one will not run any more.
func (h *Handler) withKey(res result) result {
	if res.outcome != retry.NotRun || h.ledger.Sealed() {
		return res
	}
	res.key = h.issueKey().key
	return res
}

// issueKey returns the result for a request without a key.
func (h *Handler) issueKey() result {
	if h.ledger.Sealed() {
		return refused(reasonHandedOver, time.Second)
	}
	k := h.ledger.Issue(h.cfg.Now())
	text := h.cfg.IssueKey(Key{
		Home: h.cfg.Self.Peer, Incarnation: h.cfg.Self.Incarnation, Sequence: k.Sequence, Issued: k.Issued,
	})
	return result{outcome: retry.NotRun, status: http.StatusPreconditionRequired, reason: reasonNoKey, key: text}
}

// ledgerOf returns the ledger that answers for a key here, or nil.
func (h *Handler) ledgerOf(key Key) *ledger.Ledger {
	if key.Home == h.cfg.Self.Peer && key.Incarnation == h.cfg.Self.Incarnation {
		return h.ledger
	}
	return h.inherited.get(key)
}

// runAtHome answers a request with a key from this agent's ledgers, running it if it has
// not run. It never forwards the request to another home.
func (h *Handler) runAtHome(ctx context.Context, j *job) result {
	key, err := h.cfg.ParseKey(j.key)
	if err != nil {
		return unknown(reasonBadKey)
	}
	l := h.ledgerOf(key)
	if l == nil {
		return unknown(reasonHomeGone)
	}
	state, entry := l.Begin(ledger.Key{Sequence: key.Sequence, Issued: key.Issued, Content: j.content()}, h.cfg.Now())
	switch state {
	case ledger.Run:
		h.startKeyed(j, entry)
	case ledger.NeverRun:
		return result{outcome: retry.NotRun, status: http.StatusPreconditionRequired, reason: reasonKeyNeverRun}
	case ledger.Unknown:
		return unknown(reasonKeyUnknown)
	case ledger.Mismatch:
		return result{outcome: retry.Unknown, status: http.StatusUnprocessableEntity, reason: reasonKeyReused}
	}
	return h.awaitKeyed(ctx, entry)
}

// awaitKeyed waits for the end of a run with a key.
func (h *Handler) awaitKeyed(ctx context.Context, entry *ledger.Entry) result {
	select {
	case <-entry.Done():
	case <-ctx.Done():
		if !ended(entry) {
			return unknown(reasonDeadline)
		}
	}
	if entry.Abandoned() {
		return refused(entry.Reason(), entry.RetryAfter())
	}
	saved := entry.Answer()
	if saved == nil {
		return unknown(reasonKeyUnknown)
	}
	return result{outcome: retry.Answered, answer: &answer{status: saved.Status, header: saved.Header.Clone(), head: saved.Body}}
}

func ended(entry *ledger.Entry) bool {
	select {
	case <-entry.Done():
		return true
	default:
		return false
	}
}

// startKeyed runs a request that owns its ledger entry. The run does not end with its
// caller; its end is reported by the entry and awaited by Shutdown.
func (h *Handler) startKeyed(j *job, entry *ledger.Entry) {
	h.keyed.Add(1)
	ctx, cancel := context.WithDeadline(h.base, j.deadline)
	go func() {
		defer h.keyed.Done()
		defer cancel()
		// A run that ends without a statement may have run.
		defer func() { entry.Lose(h.cfg.Now()) }()
		h.finishKeyed(h.run(ctx, j), entry)
	}()
}

func (h *Handler) finishKeyed(res result, entry *ledger.Entry) {
	switch res.outcome {
	case retry.NotRun:
		entry.Abandon(res.reason, res.retryAfter, h.cfg.Now())
	case retry.Answered:
		if err := res.answer.whole(h.cfg.MaxAnswer); err != nil {
			return
		}
		entry.Finish(ledger.Answer{Status: res.answer.status, Header: res.answer.header, Body: res.answer.head}, h.cfg.Now())
	}
}

// askHome sends a request to the home of its key. Asking twice is safe, since the home runs it once.
// Nothing that fails here proves that the request has not run: an
// earlier attempt with the same key may have.
func (h *Handler) askHome(ctx context.Context, j *job, key Key) result {
	h.budget.AddRequest(h.cfg.Policy().RetryShare, h.cfg.Now())
	res, asked := h.ask(ctx, j, key.Home)
	if !asked && ctx.Err() == nil {
		a := retry.Attempt{Outcome: retry.Unknown, Repeatable: true, Deadline: j.deadline}
		if d := retry.MayRetry(a, h.budget, h.cfg.Now()); d.Retry {
			res, asked = h.ask(ctx, j, key.Home)
		}
	}
	if asked {
		return res
	}
	if addr, ok := h.cfg.Successor(key); ok && ctx.Err() == nil {
		res, asked = h.ask(ctx, j, addr)
	}
	if asked {
		return res
	}
	return unknown(reasonHomeGone)
}

// ask sends a request with a key to one agent; asked is false when it gave no usable answer.
func (h *Handler) ask(ctx context.Context, j *job, addr netip.AddrPort) (res result, asked bool) {
	r := j.request(ctx, h.cfg.Now())
	r.Header.Set(HeaderHandover, handoverHome)
	r.Header.Set(header.Key, j.key)
	resp, err := h.callPeer(ctx, addr, r)
	if err != nil {
		return result{}, false
	}
	h.peers.report(addr, resp.Header, h.cfg.Now())
	res = h.readPeer(ctx, resp, func(error) {})
	return res, res.outcome != retry.Unknown || resp.Header.Get(header.Outcome) != ""
}

// SealLedger ends the issue and the use of keys of this agent. To leave, seal the ledger, wait
// with Shutdown for the runs with a key, and then export it: runs that have not ended are
// exported as unknown.
func (h *Handler) SealLedger() { h.ledger.Seal() }

// ExportLedger seals the ledger and returns what a successor needs. From then on this
// agent starts no request with a key of its own, whether or not the successor gets the export.
func (h *Handler) ExportLedger() (Self, ledger.Export) {
	out := h.ledger.Export()
	h.cfg.Trail.Record(audit.Event{
		Action: "hand-over", Target: "ledger " + h.cfg.Self.Peer.String(),
		Reason: "ledger sealed with " + strconv.Itoa(len(out.Records)) + " records for the successor",
	})
	return h.cfg.Self, out
}

// ImportLedger answers repeats for another incarnation from now on. It never runs its keys.
func (h *Handler) ImportLedger(of Self, from ledger.Export) error {
	policy := h.cfg.Policy()
	l, err := ledger.Import(ledger.Config{Bytes: policy.LedgerBytes / maxInherited, Window: policy.KeyWindow}, from, h.cfg.Now())
	if err != nil {
		return fmt.Errorf("take over ledger of %s: %w", of.Peer, err)
	}
	h.inherited.put(of, l)
	h.cfg.Trail.Record(audit.Event{
		Action: "hand-over", Target: "ledger " + of.Peer.String(),
		Reason: "took over " + strconv.Itoa(len(from.Records)) + " records to answer repeats",
	})
	return nil
}

// maxInherited bounds the ledgers taken over; they share the bytes of one ledger.
const maxInherited = 4

// inherited holds the ledgers of other incarnations.
type inherited struct {
	mu sync.Mutex
	// ledgers and order are guarded by mu; order is oldest first.
	ledgers map[Self]*ledger.Ledger
	order   []Self
}

func newInherited() *inherited { return &inherited{ledgers: make(map[Self]*ledger.Ledger)} }

func (i *inherited) get(key Key) *ledger.Ledger {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ledgers[Self{Peer: key.Home, Incarnation: key.Incarnation}]
}

func (i *inherited) put(of Self, l *ledger.Ledger) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, ok := i.ledgers[of]; !ok {
		i.order = append(i.order, of)
	}
	i.ledgers[of] = l
	if len(i.order) > maxInherited {
		delete(i.ledgers, i.order[0])
		i.order = i.order[1:]
	}
}
