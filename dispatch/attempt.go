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

// headBytes is the number of bytes of an answer that are read before any of it is sent to the caller. A shorter
// answer is complete when it is sent, and if it breaks off before, its request can be attempted again.
const headBytes = 64 << 10

// answer is an answer of an upstream. It must be closed.
type answer struct {
	status int
	header http.Header
	// head is the first part of the body.
	head []byte
	// rest is the remaining body; nil when head is the whole body.
	rest io.ReadCloser
}

func (a *answer) close() {
	if a.rest != nil {
		_ = a.rest.Close()
	}
}

// readAnswer reads the head of an answer. onEnd is called exactly once: when the body has been read to its
// end, has broken off or is closed, or when ctx ends, so that a caller that stops reading does not hold a
// slot beyond its deadline.
func readAnswer(ctx context.Context, resp *http.Response, onEnd func(error)) (*answer, error) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, headBytes))
	if err != nil {
		_ = resp.Body.Close()
		onEnd(err)
		return nil, fmt.Errorf("read answer: %w", err)
	}
	a := &answer{status: resp.StatusCode, header: forwardableHeaders(resp.Header), head: head}
	if length := resp.Header.Get("Content-Length"); length != "" {
		a.header.Set("Content-Length", length)
	}
	if len(head) < headBytes {
		_ = resp.Body.Close()
		onEnd(nil)
		return a, nil
	}
	rest := &restBody{body: resp.Body, onEnd: onEnd}
	context.AfterFunc(ctx, func() { rest.end(ctx.Err()) })
	a.rest = rest
	return a, nil
}

// restBody is the body of an answer after its head. It calls onEnd once, when the body ends.
type restBody struct {
	body  io.ReadCloser
	once  sync.Once
	onEnd func(error)
}

// Read implements io.Reader.
func (b *restBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil {
		b.end(notEOF(err))
	}
	return n, err
}

func (b *restBody) end(err error) { b.once.Do(func() { b.onEnd(err) }) }

// Close implements io.Closer. A body that is closed before its end counts as broken off.
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

// runLocal makes an attempt on the local upstream for a request that holds a slot. The slot is freed when the
// attempt has ended.
func (h *Handler) runLocal(ctx context.Context, j *job) result {
	started := h.cfg.Now()
	end := func(err error, failed bool) { h.endLocal(ctx, j, started, err, failed) }
	resp, err := h.callUpstream(j.request(ctx, started))
	if err != nil {
		end(err, true)
		return h.failed(ctx, err)
	}
	if isShed(resp) {
		_ = resp.Body.Close()
		h.slots.cancel(j.id)
		h.record(ctx, j, h.cfg.Self.Peer, 0, true)
		res := refused(reasonShed, retryAfterOf(resp))
		res.attempted = true
		return res
	}
	a, err := readAnswer(ctx, resp, func(err error) { end(err, resp.StatusCode >= http.StatusInternalServerError) })
	if err != nil {
		return h.incompleteAnswer(ctx)
	}
	return result{outcome: retry.Answered, answer: a, attempted: true}
}

// endLocal frees the slot of a local attempt and records its result.
func (h *Handler) endLocal(ctx context.Context, j *job, started time.Time, err error, failed bool) {
	runTime := h.cfg.Now().Sub(started)
	deadlineExceeded := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if err == nil || deadlineExceeded {
		h.slots.done(j, runTime)
	} else {
		h.slots.cancel(j.id)
	}
	h.record(ctx, j, h.cfg.Self.Peer, runTime, failed || err != nil)
}

// missedDeadlineFactor is the multiple of the mean run time of its class that a request must have run before its
// missed deadline counts as a failure of the upstream. Otherwise the caller's deadline was too short, for which
// the upstream is not responsible.
const missedDeadlineFactor = 2

// record passes the result of an attempt to the outlier detector. A failure because the caller cancelled the
// request is ignored.
func (h *Handler) record(ctx context.Context, j *job, target netip.AddrPort, runTime time.Duration, failed bool) {
	if failed && ctx.Err() != nil {
		deadlineExceeded := errors.Is(ctx.Err(), context.DeadlineExceeded)
		if !deadlineExceeded || runTime < missedDeadlineFactor*h.slots.meanRun(j.class) {
			return
		}
	}
	if j.class == admit.Long {
		runTime = 0
	}
	h.detector.Record(outlier.Result{Addr: target, Failed: failed, Latency: runTime}, h.cfg.Now())
}

// failed returns the result of an attempt that ended with the error err.
func (h *Handler) failed(ctx context.Context, err error) result {
	if notSent := new(NotSentError); errors.As(err, &notSent) {
		res := refused(reasonNotSent, time.Second)
		res.attempted = true
		return res
	}
	return h.incompleteAnswer(ctx)
}

// incompleteAnswer returns the result of an attempt without a complete answer.
func (h *Handler) incompleteAnswer(ctx context.Context) result {
	res := unknown(reasonIncompleteAnswer)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		res = unknown(reasonDeadline)
	}
	res.attempted = true
	return res
}

// isShed reports whether the upstream reported that it shed the request, that is, did not run it.
func isShed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(header.Shed) == "1"
}

// maxRetryAfter bounds the Retry-After received from a peer or an upstream.
const maxRetryAfter = time.Minute

// retryAfterOf returns the Retry-After of an answer, by the milliseconds that agents send in addition to the
// standard header, else by the standard header in seconds, else 1 s.
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

// runOnPeer hands a request over to a peer; handover is a value of HeaderHandover. If the outcome is NotRun
// and attempted is not set in the result, the peer's admission has refused the request, or no byte of it was sent.
func (h *Handler) runOnPeer(ctx context.Context, j *job, addr netip.AddrPort, handover string) result {
	started := h.cfg.Now()
	runTime := func() time.Duration {
		if handover == handoverQueue {
			// The time includes that in the peer's queue, which is no measure of its upstream.
			return 0
		}
		return h.cfg.Now().Sub(started)
	}
	r := j.request(ctx, started)
	r.Header.Set(HeaderHandover, handover)
	r.Header.Set(HeaderClass, j.class.String())
	if handover == handoverLessLoaded {
		setLoad(r.Header, h.Load())
	}
	resp, err := h.callPeer(ctx, addr, r)
	if err != nil {
		h.peers.dropLoad(addr, h.cfg.Now())
		h.record(ctx, j, addr, runTime(), true)
		res := h.failed(ctx, err)
		res.attempted = res.outcome != retry.NotRun
		return res
	}
	h.peers.recordLoad(addr, resp.Header, h.cfg.Now())
	onEnd := func(err error) {
		failed := err != nil || resp.StatusCode >= http.StatusInternalServerError
		h.record(ctx, j, addr, runTime(), failed)
	}
	return h.readPeer(ctx, resp, onEnd)
}

// readPeer returns the result for an answer of another agent. end is called like onEnd of readAnswer, but
// not if the peer's admission has refused the request.
func (h *Handler) readPeer(ctx context.Context, resp *http.Response, onEnd func(error)) result {
	switch retry.ParseOutcome(resp.Header.Get(header.Outcome)) {
	case retry.NotRun:
		_ = resp.Body.Close()
		res := refused(resp.Header.Get(HeaderReason), retryAfterOf(resp))
		res.status = resp.StatusCode
		res.attempted = resp.Header.Get(header.Shed) == "1"
		if res.attempted {
			onEnd(errShed)
		}
		return res
	case retry.Answered:
		a, err := readAnswer(ctx, resp, onEnd)
		if err != nil {
			return h.incompleteAnswer(ctx)
		}
		return result{outcome: retry.Answered, answer: a, attempted: true}
	}
	_ = resp.Body.Close()
	onEnd(errNoOutcome)
	res := unknown(reasonPeerFailed)
	if text := resp.Header.Get(HeaderReason); text != "" {
		res.reason = text
	}
	res.attempted = true
	return res
}

var errShed = errors.New("peer's upstream shed the request")

var errNoOutcome = errors.New("peer's answer has no outcome")

// readAll reads the rest of an answer into head, up to a limit in bytes for the whole body.
func (a *answer) readAll(limit int64) error {
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

var errAnswerTooLarge = errors.New("answer exceeds the size limit for requests with a key")
