package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/header"
	"endiveflow.example/endiveflow/outlier"
	"endiveflow.example/endiveflow/retry"
)

// headBytes is the part of an answer that is read before the caller gets any of it. Answers
// up to this size are complete when they are sent, and can be attempted again when they break off.
const headBytes = 64 << 10

// answer is an answer of an upstream. Its rest must be closed.
type answer struct {
	status int
	header http.Header
	// head is the first part of the body.
	head []byte
	// rest is the remaining body; nil when head is all of it.
	rest io.ReadCloser
}

func (a *answer) close() {
	if a.rest != nil {
		_ = a.rest.Close()
	}
}

// readAnswer reads the head of an answer. ended is called exactly once, when the body
// has been read, broke off or was closed, or when ctx ended: a caller that does not read holds no slot
// beyond its deadline.
func readAnswer(ctx context.Context, resp *http.Response, ended func(error)) (*answer, error) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, headBytes))
	if err != nil {
		_ = resp.Body.Close()
		ended(err)
		return nil, fmt.Errorf("read answer: %w", err)
	}
	a := &answer{status: resp.StatusCode, header: forwarded(resp.Header), head: head}
	if length := resp.Header.Get("Content-Length"); length != "" {
		a.header.Set("Content-Length", length)
	}
	if len(head) < headBytes {
		_ = resp.Body.Close()
		ended(nil)
		return a, nil
	}
	rest := &restBody{body: resp.Body, ended: ended}
	context.AfterFunc(ctx, func() { rest.end(ctx.Err()) })
	a.rest = rest
	return a, nil
}

// restBody reports the end of a body once.
type restBody struct {
	body  io.ReadCloser
	once  sync.Once
	ended func(error)
}

// Read reads the body and reports its end.
func (b *restBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil {
		b.end(notEOF(err))
	}
	return n, err
}

func (b *restBody) end(err error) { b.once.Do(func() { b.ended(err) }) }

// Close closes the body; a body that was not read to its end broke off.
func (b *restBody) Close() error {
	err := b.body.Close()
	b.end(context.Canceled)
	return err
}

func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// runLocal attempts a request that holds a local slot and frees the slot.
func (h *Handler) runLocal(ctx context.Context, j *job) result {
	started := h.cfg.Now()
	end := func(err error, failed bool) { h.endLocal(ctx, j, started, err, failed) }
	resp, err := h.callUpstream(j.request(ctx, started))
	if err != nil {
		end(err, true)
		return h.failed(ctx, err)
	}
	if shed(resp) {
		_ = resp.Body.Close()
		h.slots.cancel(j.id)
		h.record(ctx, j, h.cfg.Self.Peer, 0, true)
		res := refused(reasonShed, retryAfterOf(resp))
		res.tried = true
		return res
	}
	a, err := readAnswer(ctx, resp, func(err error) { end(err, resp.StatusCode >= http.StatusInternalServerError) })
	if err != nil {
		return h.broken(ctx)
	}
	return result{outcome: retry.Answered, answer: a, tried: true}
}

// endLocal frees the slot and records the result.
func (h *Handler) endLocal(ctx context.Context, j *job, started time.Time, err error, failed bool) {
	took := h.cfg.Now().Sub(started)
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if err == nil || late {
		h.slots.done(j, took)
	} else {
		h.slots.cancel(j.id)
	}
	h.record(ctx, j, h.cfg.Self.Peer, took, failed || err != nil)
}

// lateFactor is how many times the mean run time of its class a request must have run for its missed
// deadline to be the upstream's failure; a caller's short deadline is not.
const lateFactor = 2

// record passes a result to the judge. What the caller cancelled says nothing.
func (h *Handler) record(ctx context.Context, j *job, target netip.AddrPort, took time.Duration, failed bool) {
	if failed && ctx.Err() != nil {
		late := errors.Is(ctx.Err(), context.DeadlineExceeded)
		if !late || took < lateFactor*h.slots.meanRun(j.class) {
			return
		}
	}
	if j.class == admit.Long {
		took = 0
	}
	h.detector.Record(outlier.Result{Target: target, Failed: failed, Latency: took}, h.cfg.Now())
}

// failed returns the result of an attempt without an answer.
func (h *Handler) failed(ctx context.Context, err error) result {
	if notSent := new(NotSentError); errors.As(err, &notSent) {
		res := refused(reasonNotSent, time.Second)
		res.tried = true
		return res
	}
	return h.broken(ctx)
}

func (h *Handler) broken(ctx context.Context) result {
	res := unknown(reasonBroken)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		res = unknown(reasonDeadline)
	}
	res.tried = true
	return res
}

// shed says whether the upstream stated that it did not run the request.
func shed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(header.Shed) == "1"
}

// maxRetryAfter bounds the Retry-After of a peer or an upstream.
const maxRetryAfter = time.Minute

// retryAfterOf reads the milliseconds that agents send besides the whole seconds of the standard field.
func retryAfterOf(resp *http.Response) time.Duration {
	for _, field := range []struct {
		name string
		unit time.Duration
	}{{header.RetryAfter, time.Millisecond}, {"Retry-After", time.Second}} {
		if n, err := strconv.ParseInt(resp.Header.Get(field.name), 10, 32); err == nil && n > 0 {
			return min(time.Duration(n)*field.unit, maxRetryAfter)
		}
	}
	return time.Second
}

// runOnPeer attempts a request on a free slot of a peer, or in its queue. A result that is not-run
// and not tried is a refusal of the peer's admission.
func (h *Handler) runOnPeer(ctx context.Context, j *job, addr netip.AddrPort, handover string) result {
	started := h.cfg.Now()
	took := func() time.Duration {
		if handover == handoverQueue {
			// The time in the peer's queue says nothing about its upstream.
			return 0
		}
		return h.cfg.Now().Sub(started)
	}
	r := j.request(ctx, started)
	r.Header.Set(HeaderHandover, handover)
	r.Header.Set(HeaderClass, j.class.String())
	if handover == handoverLighter {
		setLoad(r.Header, h.Load())
	}
	resp, err := h.callPeer(ctx, addr, r)
	if err != nil {
		h.peers.forget(addr, h.cfg.Now())
		h.record(ctx, j, addr, took(), true)
		res := h.failed(ctx, err)
		res.tried = res.outcome != retry.NotRun
		return res
	}
	h.peers.report(addr, resp.Header, h.cfg.Now())
	end := func(err error) {
		failed := err != nil || resp.StatusCode >= http.StatusInternalServerError
		h.record(ctx, j, addr, took(), failed)
	}
	return h.readPeer(ctx, resp, end)
}

// readPeer reads the answer of another agent.
func (h *Handler) readPeer(ctx context.Context, resp *http.Response, end func(error)) result {
	switch retry.ParseOutcome(resp.Header.Get(header.Outcome)) {
	case retry.NotRun:
		_ = resp.Body.Close()
		res := refused(resp.Header.Get(HeaderReason), retryAfterOf(resp))
		res.status = resp.StatusCode
		res.tried = resp.Header.Get(header.Shed) == "1"
		if res.tried {
			end(errShed)
		}
		return res
	case retry.Answered:
		a, err := readAnswer(ctx, resp, end)
		if err != nil {
			return h.broken(ctx)
		}
		return result{outcome: retry.Answered, answer: a, tried: true}
	}
	_ = resp.Body.Close()
	end(errNoOutcome)
	res := unknown(reasonPeerFailed)
	if text := resp.Header.Get(HeaderReason); text != "" {
		res.reason = text
	}
	res.tried = true
	return res
}

var errShed = errors.New("peer's upstream shed the request")

var errNoOutcome = errors.New("peer's answer has no outcome")

// whole reads an answer completely, up to a limit in bytes.
func (a *answer) whole(limit int64) error {
	if a.rest == nil {
		return nil
	}
	defer a.close()
	body := bytes.NewBuffer(a.head)
	n, err := io.Copy(body, io.LimitReader(a.rest, limit-int64(len(a.head))+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if n+int64(len(a.head)) > limit {
		return errAnswerTooLarge
	}
	a.head, a.rest = body.Bytes(), nil
	return nil
}

var errAnswerTooLarge = errors.New("answer exceeds the limit of answers with a key")
