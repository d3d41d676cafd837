package caller

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/h3conn"
	"endiveflow.example/endiveflow/header"
)

// retryPause is the pause after a refusal without Retry-After, and the first
// one after an attempt that failed.
const retryPause = 50 * time.Millisecond

// operation is one call of Do.
type operation struct {
	client  *Client
	request Request
	// key is the request's key, empty before the balancer issued one. It is
	// set between attempts only.
	key string
	// attempts counts all, pending those without result.
	attempts, pending int
	// refusals counts the attempts that the balancer refused. They cost it
	// little and are bounded by the deadline alone.
	refusals int
	// maybeRun tells that an attempt ended without saying whether the request ran.
	maybeRun bool
	// results has room for two events of each attempt.
	results chan result
}

// result is an event of an attempt.
type result struct {
	// silent tells that the connection is silent; the attempt goes on.
	silent bool
	answer Answer
	err    error
}

// verdict is what follows from a result.
type verdict struct {
	// final tells that the result is the result of the request.
	final bool
	// pause is the time before the next attempt.
	pause time.Duration
	err   error
}

// Do sends a request until it is answered, refused for good, or ctx ends. An
// error is an *OutcomeError; the answer that came with a refusal is returned
// beside it. The answer is complete: a truncated one counts as broken.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cfg.Timeout)
		defer cancel()
	}
	// The end of Do cancels attempts that another attempt overtook.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	op := &operation{client: c, request: r, results: make(chan result, 2*c.cfg.Attempts)}
	// What an earlier operation with the key did is not known here.
	op.key, op.maybeRun = r.Key, r.Key != ""
	return op.run(ctx)
}

func (op *operation) run(ctx context.Context) (Answer, error) {
	op.launch(ctx)
	for {
		// Attempts end with ctx, so a result always comes.
		res := <-op.results
		v := op.judge(res)
		if v.final {
			res.answer.Attempts, res.answer.Key = op.attempts, op.key
			return res.answer, v.err
		}
		if op.pending > 0 && !res.silent {
			continue
		}
		if op.attempts-op.refusals < op.client.cfg.Attempts && wait(ctx, v.pause) {
			op.launch(ctx)
			continue
		}
		if op.pending == 0 {
			return res.answer, op.fail(v.err)
		}
	}
}

// fail returns the error of a request without answer.
func (op *operation) fail(err error) error {
	outcome := header.OutcomeNotRun
	if op.maybeRun {
		outcome = header.OutcomeUnknown
	}
	return &OutcomeError{Outcome: outcome, Err: err}
}

// wait pauses and says whether another attempt can follow. It returns false at
// once when the deadline comes before the end of the pause.
func wait(ctx context.Context, pause time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	if pause == 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// judge decides what follows from a result.
func (op *operation) judge(res result) verdict {
	if res.silent {
		return verdict{err: h3conn.ErrSilent}
	}
	op.pending--
	if res.err != nil {
		return op.judgeError(res.err)
	}
	if res.answer.Status == http.StatusPreconditionRequired {
		return op.judgeKey(res.answer)
	}
	switch res.answer.Outcome {
	case header.OutcomeNotRun:
		refusedTotal.Inc()
		op.takeKey(res.answer)
		op.refusals++
		return verdict{
			pause: op.refusalPause(retryAfter(res.answer.Header)),
			err:   fmt.Errorf("refused with status %d", res.answer.Status),
		}
	case header.OutcomeUnknown:
		op.maybeRun = true
		err := fmt.Errorf("balancer doesn't know the outcome, status %d", res.answer.Status)
		if op.key != "" {
			return verdict{final: true, err: op.fail(err)}
		}
		return verdict{pause: jitter(retryPause), err: err}
	}
	return verdict{final: true}
}

func (op *operation) judgeError(err error) verdict {
	if mismatch := new(tls.CertificateVerificationError); errors.As(err, &mismatch) {
		// Another attempt would meet the same certificate.
		return verdict{final: true, err: op.fail(err)}
	}
	if errors.Is(err, h3conn.ErrNotSent) {
		return verdict{pause: op.backoff(), err: err}
	}
	brokenTotal.Inc()
	// Without a key, the balancer runs only what may be repeated. The outcome
	// is unknown all the same, since a repeatable request may have run.
	op.maybeRun = true
	return verdict{pause: op.backoff(), err: err}
}

// judgeKey takes the key of a 428.
func (op *operation) judgeKey(a Answer) verdict {
	if !op.takeKey(a) {
		return verdict{final: true, err: op.fail(errors.New("balancer issued no usable key"))}
	}
	return verdict{err: errors.New("key not used yet")}
}

// takeKey takes the new key of an answer that says not-run, if it carries one.
// Such an answer proves that no earlier attempt ran the request: without a key
// the service does not run it, and an old key is replaced only after its home
// has ended it without a run.
func (op *operation) takeKey(a Answer) bool {
	key := a.Header.Get(header.Key)
	notRun := a.Outcome == header.OutcomeNotRun || a.Status == http.StatusPreconditionRequired
	if key == "" || key == op.key || !notRun {
		return false
	}
	keysTotal.Inc()
	op.key = key
	op.maybeRun = false
	return true
}

// backoff is zero after the first attempt: a connection that ends while idle
// or by GOAWAY says nothing about the next one.
func (op *operation) backoff() time.Duration {
	if op.attempts <= 1 {
		return 0
	}
	return jitter(min(retryPause<<(op.attempts-2), time.Second))
}

// maxRefusalPause bounds the growth of the pause between refusals.
const maxRefusalPause = time.Second

// refusalPause doubles the time that the balancer asks for with each refusal
// in a row: many callers that return after some milliseconds would only be
// refused again.
func (op *operation) refusalPause(asked time.Duration) time.Duration {
	if asked >= maxRefusalPause {
		return asked
	}
	return min(asked<<min(op.refusals-1, 10), maxRefusalPause)
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// retryAfter returns the time that a refusal asks to wait.
func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get(header.RetryAfter)); err == nil && ms > 0 {
		return jitter(time.Duration(ms) * time.Millisecond)
	}
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return jitter(retryPause)
	}
	return time.Duration(seconds) * time.Second
}

// launch starts an attempt, which reports to results.
func (op *operation) launch(ctx context.Context) {
	op.attempts++
	op.pending++
	attemptsTotal.Inc()
	key := op.key
	go func() {
		conn, err := op.client.connect(ctx)
		if err != nil {
			op.results <- result{err: err}
			return
		}
		done := make(chan result, 1)
		go func() { done <- op.send(ctx, conn, key) }()
		select {
		case res := <-done:
			op.results <- res
		case <-conn.Silent():
			op.results <- result{silent: true}
			op.results <- <-done
		}
	}()
}

// send makes one attempt on a connection and reads the whole answer.
func (op *operation) send(ctx context.Context, conn *h3conn.Conn, key string) result {
	req, err := op.build(ctx, key)
	if err != nil {
		return result{err: errors.WithType(err, h3conn.ErrNotSent)}
	}
	resp, err := conn.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := readAll(resp, op.client.cfg.MaxAnswerBytes)
	if err != nil {
		return result{err: err}
	}
	outcome := resp.Header.Get(header.Outcome)
	if outcome == "" {
		outcome = header.OutcomeAnswered
	}
	return result{answer: Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Outcome: outcome}}
}

func (op *operation) build(ctx context.Context, key string) (*http.Request, error) {
	host := op.client.cfg.TLS.ServerName
	if host == "" {
		host = op.client.cfg.Address.String()
	}
	req, err := http.NewRequestWithContext(ctx, op.request.Method, "https://"+host+op.request.Path, bytes.NewReader(op.request.Body))
	if err != nil {
		return nil, fmt.Errorf("building request: %w", err)
	}
	for name, values := range op.request.Header {
		req.Header[name] = values
	}
	header.SetDeadline(ctx, req.Header)
	if key != "" {
		req.Header.Set(header.Key, key)
	}
	return req, nil
}

func readAll(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("reading answer: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer is longer than %d bytes", limit)
	}
	return body, nil
}
