package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/header"
	"endiveflow.example/endiveflow/retry"
)

// job is a request that has been read completely. It is not modified after its run has begun.
type job struct {
	id         uint64
	method     string
	host       string
	url        *url.URL
	header     http.Header
	body       []byte
	key        string
	deadline   time.Time
	class      admit.Class
	repeatable bool
}

// read reads a whole request. If that fails, it returns the result for the caller instead of a job; the
// request has not been run then.
func (h *Handler) read(r *http.Request) (*job, *result) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, h.cfg.MaxBodyBytes))
	if err != nil {
		status, reason := http.StatusBadRequest, "request body broke off"
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			status, reason = http.StatusRequestEntityTooLarge, "request body too large"
		}
		res := result{outcome: retry.NotRun, status: status, reason: reason}
		if r.Header.Get(header.Key) != "" {
			// An earlier attempt with the key may have run.
			res.outcome = retry.Unknown
		}
		return nil, &res
	}
	service := h.cfg.Service()
	j := &job{
		id:         h.lastID.Add(1),
		method:     r.Method,
		host:       r.Host,
		url:        &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		header:     forwardableHeaders(r.Header),
		body:       body,
		key:        r.Header.Get(header.Key),
		deadline:   h.deadline(r.Header.Get(header.Deadline)),
		repeatable: retry.Repeatable(r.Method, r.URL.Path, service.Repeatable),
	}
	j.class = h.slots.classify(j, service)
	return j, nil
}

// deadline returns the earlier of the policy's deadline and the caller's, which text holds in milliseconds
// from now. Unlike in header.ReadDeadline, 0 is valid: a forwarding agent sends it when no time is left.
func (h *Handler) deadline(text string) time.Time {
	limit := h.cfg.Policy().Deadline
	if ms, err := strconv.ParseInt(text, 10, 64); err == nil && ms < limit.Milliseconds() {
		limit = time.Duration(max(ms, 0)) * time.Millisecond
	}
	return h.cfg.Now().Add(limit)
}

// hopHeaders are the headers that apply to one connection only and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// internalPrefix is the prefix of the headers of Endiveflow itself, which are not forwarded.
const internalPrefix = "Endiveflow-"

// forwardableHeaders returns a copy of the headers without those of the connection and internal ones.
func forwardableHeaders(from http.Header) http.Header {
	out := from.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, internalPrefix) {
			delete(out, name)
		}
	}
	return out
}

// admission returns the request as the scheduler sees it.
func (j *job) admission() admit.Request {
	return admit.Request{ID: j.id, Class: j.class, Deadline: j.deadline}
}

// contentHash returns a hash of the method, the URL and the body.
func (j *job) contentHash() uint64 {
	d := xxhash.New()
	for _, part := range []string{j.method, j.url.RequestURI(), string(j.body)} {
		// The length prefixes keep different parts with equal concatenation distinct.
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return d.Sum64()
}

// request returns an HTTP request for one attempt.
//
// http.Transport replays a request by itself if the body is nil or http.NoBody or GetBody is set, and if
// the method or an Idempotency-Key header marks the request as idempotent. A non-repeatable
// request therefore always has a body, even an empty one, and no GetBody.
func (j *job) request(ctx context.Context, now time.Time) *http.Request {
	r := &http.Request{
		Method:        j.method,
		URL:           &url.URL{Scheme: "http", Host: j.host, Path: j.url.Path, RawPath: j.url.RawPath, RawQuery: j.url.RawQuery},
		Host:          j.host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        j.header.Clone(),
		Body:          http.NoBody,
		ContentLength: int64(len(j.body)),
	}
	if len(j.body) > 0 || !j.repeatable {
		r.Body = io.NopCloser(bytes.NewReader(j.body))
	}
	r.Header.Set(header.Deadline, strconv.FormatInt(j.remainingMs(now), 10))
	return r.WithContext(withAttempt(ctx, Attempt{Repeatable: j.repeatable, Long: j.class == admit.Long}))
}

// hopMargin is subtracted from the deadline at each hop, so that an answer at the last moment still
// reaches the caller in time.
const hopMargin = 5 * time.Millisecond

// remainingMs returns the deadline for the next hop, in milliseconds from now.
func (j *job) remainingMs(now time.Time) int64 {
	return max((j.deadline.Sub(now) - hopMargin).Milliseconds(), 0)
}
