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

// retryPause is the pause after a refusal without Retry-After, and the initial pause between failed
// attempts.
const retryPause = 50 * time.Millisecond

// operation is one call of Do.
type operation struct {
	client  *Client
	request Request
	// key is the request's key, empty until the balancer has issued one. It is set only between attempts.
	key string
	// attempts counts all attempts, pending those without a result yet.
	attempts, pending int
	// refusals counts the attempts that the balancer refused. They are cheap for the balancer, so only the
	// deadline bounds them.
	refusals int
	// mayHaveRun reports that an attempt ended without proof that the request did not run.
	mayHaveRun bool
	// results has room for two results of each attempt.
	results chan result
}

// result is a result of an attempt.
type result struct {
	// silent reports that the connection is silent; the attempt continues.
	silent bool
	answer Answer
	err    error
}

// decision is what to do after a result.
type decision struct {
	// final reports that the result is the final result of the request.
	final bool
	// pause is the time before the next attempt.
	pause time.Duration
	err   error
}

// Do sends a request until it is answered, refused permanently, or ctx ends. Errors are of type
// *OutcomeError; if the last attempt was refused, the answer of the refusal is returned with the error.
// Answers are complete: a truncated answer counts as a broken connection.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cfg.Timeout)
		defer cancel()
	}
	// The end of Do cancels attempts that are still pending.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	op := &operation{client: c, request: r, results: make(chan result, 2*c.cfg.MaxAttempts)}
	// An earlier call of Do with the key may have run the request.
	op.key, op.mayHaveRun = r.Key, r.Key != ""
	return op.run(ctx)
}

func (op *operation) run(ctx context.Context) (Answer, error) {
	op.launch(ctx)
	for {
		// Attempts end with ctx, so there is always a result.
		res := <-op.results
		next := op.evaluate(res)
		if next.final {
			res.answer.Attempts, res.answer.Key = op.attempts, op.key
			return res.answer, next.err
		}
		if op.pending > 0 && !res.silent {
			continue
		}
		if op.attempts-op.refusals < op.client.cfg.MaxAttempts && wait(ctx, next.pause) {
			op.launch(ctx)
			continue
		}
		if op.pending == 0 {
			return res.answer, op.fail(next.err)
		}
	}
}

// fail returns the error of a request that got no answer.
func (op *operation) fail(err error) error {
	outcome := header.OutcomeNotRun
	if op.mayHaveRun {
		outcome = header.OutcomeUnknown
	}
	return &OutcomeError{Outcome: outcome, Err: err}
}

// wait pauses and reports whether another attempt can be made. It returns false immediately if the deadline
// is before the end of the pause.
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

// evaluate decides what to do after a result.
func (op *operation) evaluate(res result) decision {
	if res.silent {
		return decision{err: h3conn.ErrSilent}
	}
	op.pending--
	if res.err != nil {
		return op.evaluateError(res.err)
	}
	if res.answer.Status == http.StatusPreconditionRequired {
		return op.handleKeyRequired(res.answer)
	}
	switch res.answer.Outcome {
	case header.OutcomeNotRun:
		refusedTotal.Inc()
		op.adoptKey(res.answer)
		op.refusals++
		return decision{
			pause: op.refusalPause(retryAfter(res.answer.Header)),
			err:   fmt.Errorf("refused with status %d", res.answer.Status),
		}
	case header.OutcomeUnknown:
		op.mayHaveRun = true
		err := fmt.Errorf("balancer reported an unknown outcome, status %d", res.answer.Status)
		if op.key != "" {
			return decision{final: true, err: op.fail(err)}
		}
		return decision{pause: jitter(retryPause), err: err}
	}
	return decision{final: true}
}

func (op *operation) evaluateError(err error) decision {
	if mismatch := new(tls.CertificateVerificationError); errors.As(err, &mismatch) {
		// Another attempt would get the same certificate.
		return decision{final: true, err: op.fail(err)}
	}
	if errors.Is(err, h3conn.ErrNotSent) {
		return decision{pause: op.backoff(), err: err}
	}
	brokenTotal.Inc()
	// Without a key, the balancer runs only repeatable requests. The outcome is still unknown, since a
	// repeatable request may have run.
	op.mayHaveRun = true
	return decision{pause: op.backoff(), err: err}
}

// handleKeyRequired adopts the key of a 428 answer.
func (op *operation) handleKeyRequired(a Answer) decision {
	if !op.adoptKey(a) {
		return decision{final: true, err: op.fail(errors.New("balancer issued no usable key"))}
	}
	return decision{err: errors.New("key not used yet")}
}

// adoptKey adopts the new key of an answer with the outcome not-run, if it has one, and reports whether it
// did. Such an answer proves that no earlier attempt ran the request: the service does not run it without a
// key, and a key is replaced only after its home has ended it without running the request.
func (op *operation) adoptKey(a Answer) bool {
	key := a.Header.Get(header.Key)
	notRun := a.Outcome == header.OutcomeNotRun || a.Status == http.StatusPreconditionRequired
	if key == "" || key == op.key || !notRun {
		return false
	}
	keysTotal.Inc()
	op.key = key
	op.mayHaveRun = false
	return true
}

// backoff returns the pause after a failed attempt. It is zero after the first attempt, because a
// connection that ended while idle or because of GOAWAY does not suggest that the next one fails too.
func (op *operation) backoff() time.Duration {
	if op.attempts <= 1 {
		return 0
	}
	return jitter(min(retryPause<<(op.attempts-2), time.Second))
}

// maxRefusalPause bounds the growth of the pause after refusals.
const maxRefusalPause = time.Second

// refusalPause doubles the pause that the balancer requests with each further refusal: if many callers
// retried after a few milliseconds, they would only be refused again.
func (op *operation) refusalPause(requested time.Duration) time.Duration {
	if requested >= maxRefusalPause {
		return requested
	}
	return min(requested<<min(op.refusals-1, 10), maxRefusalPause)
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// retryAfter returns the pause that a refusal requests.
func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseUint(h.Get(header.RetryAfter), 10, 32); err == nil && ms > 0 {
		return jitter(time.Duration(ms) * time.Millisecond)
	}
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 32)
	if err != nil {
		return jitter(retryPause)
	}
	return time.Duration(seconds) * time.Second
}

// launch starts an attempt, which sends its results to op.results.
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
