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
	reasonNoKey           = "request needs a key"
	reasonBadKey          = "key is not valid"
	reasonMayHaveRun      = "request may have run"
	reasonKeyRefused      = "key has been refused and will not run"
	reasonKeyReused       = "key was used for another request"
	reasonHomeUnreachable = "home of the key does not answer"
	reasonLedgerSealed    = "no new keys after the hand-over"
)

// serveKeyed serves a non-repeatable request of a caller.
func (h *Handler) serveKeyed(ctx context.Context, w http.ResponseWriter, j *job) {
	if j.key == "" {
		h.writeToCaller(w, h.issueKey())
		return
	}
	key, err := h.cfg.ParseKey(j.key)
	if err != nil {
		// An earlier attempt with this key may have run while the key was still accepted.
		h.writeToCaller(w, result{outcome: retry.Unknown, status: http.StatusBadRequest, reason: reasonBadKey})
		return
	}
	if h.ledgerFor(key) != nil {
		h.writeToCaller(w, h.withNewKey(h.runAtHome(ctx, j)))
		return
	}
	h.writeToCaller(w, h.withNewKey(h.forwardToHome(ctx, j, key)))
}

// withNewKey adds a new key to a refusal, since a request with the refused key will never be run.
func (h *Handler) withNewKey(res result) result {
	if res.outcome != retry.NotRun || h.ledger.Sealed() {
		return res
	}
	res.key = h.issueKey().key
	return res
}

// issueKey returns the result for a request without a key, which carries a new key.
func (h *Handler) issueKey() result {
	if h.ledger.Sealed() {
		return refused(reasonLedgerSealed, time.Second)
	}
	k := h.ledger.Issue(h.cfg.Now())
	text := h.cfg.IssueKey(Key{
		Home: h.cfg.Self.Peer, Incarnation: h.cfg.Self.Incarnation, Sequence: k.Sequence, Issued: k.Issued,
	})
	return result{outcome: retry.NotRun, status: http.StatusPreconditionRequired, reason: reasonNoKey, key: text}
}

// ledgerFor returns the ledger of this agent that is responsible for a key, or nil.
func (h *Handler) ledgerFor(key Key) *ledger.Ledger {
	if key.Home == h.cfg.Self.Peer && key.Incarnation == h.cfg.Self.Incarnation {
		return h.ledger
	}
	return h.imported.get(key)
}

// runAtHome answers a request with a key from the ledgers of this agent, and runs it if it has
// not been run. It never forwards the request to another home.
func (h *Handler) runAtHome(ctx context.Context, j *job) result {
	key, err := h.cfg.ParseKey(j.key)
	if err != nil {
		return unknown(reasonBadKey)
	}
	l := h.ledgerFor(key)
	if l == nil {
		return unknown(reasonHomeUnreachable)
	}
	state, entry := l.Begin(ledger.Key{Sequence: key.Sequence, Issued: key.Issued, ContentHash: j.contentHash()}, h.cfg.Now())
	switch state {
	case ledger.Run:
		h.startKeyed(j, entry)
	case ledger.NeverRun:
		return result{outcome: retry.NotRun, status: http.StatusPreconditionRequired, reason: reasonKeyRefused}
	case ledger.Unknown:
		return unknown(reasonMayHaveRun)
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
		if !isDone(entry) {
			return unknown(reasonDeadline)
		}
	}
	if entry.Abandoned() {
		return refused(entry.Reason(), entry.RetryAfter())
	}
	saved := entry.Answer()
	if saved == nil {
		return unknown(reasonMayHaveRun)
	}
	return result{outcome: retry.Answered, answer: &answer{status: saved.Status, header: saved.Header.Clone(), head: saved.Body}}
}

// isDone reports whether the run has ended.
func isDone(entry *ledger.Entry) bool {
	select {
	case <-entry.Done():
		return true
	default:
		return false
	}
}

// startKeyed starts the run of a request that owns its ledger entry. The run continues when the caller
// disconnects. Its end is reported by the entry, and Shutdown waits for it.
func (h *Handler) startKeyed(j *job, entry *ledger.Entry) {
	h.keyedRuns.Add(1)
	ctx, cancel := context.WithDeadline(h.keyedCtx, j.deadline)
	go func() {
		defer h.keyedRuns.Done()
		defer cancel()
		// This has no effect if finishKeyed has ended the entry. Otherwise the request may have run.
		defer func() { entry.FinishUnknown(h.cfg.Now()) }()
		h.finishKeyed(h.run(ctx, j), entry)
	}()
}

// finishKeyed ends the ledger entry of a run by its result, unless the outcome is unknown or the answer
// cannot be saved.
func (h *Handler) finishKeyed(res result, entry *ledger.Entry) {
	switch res.outcome {
	case retry.NotRun:
		entry.Abandon(res.reason, res.retryAfter, h.cfg.Now())
	case retry.Answered:
		if err := res.answer.readAll(h.cfg.MaxAnswerBytes); err != nil {
			return
		}
		entry.Finish(ledger.Answer{Status: res.answer.status, Header: res.answer.header, Body: res.answer.head}, h.cfg.Now())
	}
}

// forwardToHome sends a request with a key to the home of the key, or to the successor of the home if the home
// does not answer. Sending it twice is safe, since the home runs it only once. No failure here proves that the
// request was not run, since an earlier attempt with the same key may have run it.
func (h *Handler) forwardToHome(ctx context.Context, j *job, key Key) result {
	h.budget.AddRequest(h.cfg.Policy().RetryShare, h.cfg.Now())
	res, answered := h.sendKeyed(ctx, j, key.Home)
	if !answered && ctx.Err() == nil {
		a := retry.Attempt{Outcome: retry.Unknown, Repeatable: true, Deadline: j.deadline}
		if d := retry.MayRetry(a, h.budget, h.cfg.Now()); d.Retry {
			res, answered = h.sendKeyed(ctx, j, key.Home)
		}
	}
	if answered {
		return res
	}
	if addr, ok := h.cfg.Successor(key); ok && ctx.Err() == nil {
		res, answered = h.sendKeyed(ctx, j, addr)
	}
	if answered {
		return res
	}
	return unknown(reasonHomeUnreachable)
}

// sendKeyed sends a request with a key to one agent. answered is false if the agent gave no usable answer.
func (h *Handler) sendKeyed(ctx context.Context, j *job, addr netip.AddrPort) (res result, answered bool) {
	r := j.request(ctx, h.cfg.Now())
	r.Header.Set(HeaderHandover, handoverHome)
	r.Header.Set(header.Key, j.key)
	resp, err := h.callPeer(ctx, addr, r)
	if err != nil {
		return result{}, false
	}
	h.peers.recordLoad(addr, resp.Header, h.cfg.Now())
	res = h.readPeer(ctx, resp, func(error) {})
	return res, res.outcome != retry.Unknown || resp.Header.Get(header.Outcome) != ""
}

// SealLedger stops the issue of keys by this agent and the start of runs with its keys. Before the process
// exits, seal the ledger, wait with Shutdown for the runs with a key, and then export the ledger: runs that
// have not ended by then are exported as unknown.
func (h *Handler) SealLedger() { h.ledger.Seal() }

// ExportLedger seals the ledger and returns this agent's identity and the export for a successor. From then
// on this agent starts no runs with its keys, whether or not the successor receives the export.
func (h *Handler) ExportLedger() (Identity, ledger.Export) {
	out := h.ledger.Export()
	h.cfg.Trail.Record(audit.Event{
		Action: "hand-over", Target: "ledger " + h.cfg.Self.Peer.String(),
		Reason: "ledger sealed with " + strconv.Itoa(len(out.Records)) + " records for the successor",
	})
	return h.cfg.Self, out
}

// ImportLedger imports the ledger of another incarnation, for which this agent then answers repeated
// requests. It never runs requests with keys of that incarnation.
func (h *Handler) ImportLedger(origin Identity, export ledger.Export) error {
	policy := h.cfg.Policy()
	l, err := ledger.Import(ledger.Config{MaxBytes: policy.LedgerBytes / maxImported, KeyWindow: policy.KeyWindow}, export, h.cfg.Now())
	if err != nil {
		return fmt.Errorf("take over ledger of %s: %w", origin.Peer, err)
	}
	h.imported.put(origin, l)
	h.cfg.Trail.Record(audit.Event{
		Action: "hand-over", Target: "ledger " + origin.Peer.String(),
		Reason: "imported " + strconv.Itoa(len(export.Records)) + " records to answer repeated requests",
	})
	return nil
}

// maxImported bounds the number of imported ledgers; they share the byte limit of one ledger.
const maxImported = 4

// importedLedgers holds the ledgers of other incarnations.
type importedLedgers struct {
	// mu guards the fields below.
	mu      sync.Mutex
	ledgers map[Identity]*ledger.Ledger
	// order holds the keys of ledgers, oldest first.
	order []Identity
}

func newImportedLedgers() *importedLedgers {
	return &importedLedgers{ledgers: make(map[Identity]*ledger.Ledger)}
}

func (i *importedLedgers) get(key Key) *ledger.Ledger {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ledgers[Identity{Peer: key.Home, Incarnation: key.Incarnation}]
}

func (i *importedLedgers) put(origin Identity, l *ledger.Ledger) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, ok := i.ledgers[origin]; !ok {
		i.order = append(i.order, origin)
	}
	i.ledgers[origin] = l
	if len(i.order) > maxImported {
		delete(i.ledgers, i.order[0])
		i.order = i.order[1:]
	}
}
