package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/header"
)

func discardTrail() *audit.Trail {
	return audit.New(audit.Config{Log: slog.New(slog.NewJSONHandler(io.Discard, nil))})
}

func issueKey(k dispatch.Key) string {
	return fmt.Sprintf("%s %d %d %d", k.Home, k.Incarnation, k.Sequence, k.Issued.UnixNano())
}

func parseKey(text string) (dispatch.Key, error) {
	var home string
	var k dispatch.Key
	var nanos int64
	if _, err := fmt.Sscanf(text, "%s %d %d %d", &home, &k.Incarnation, &k.Sequence, &nanos); err != nil {
		return k, err
	}
	k.Issued = time.Unix(0, nanos)
	var err error
	k.Home, err = netip.ParseAddrPort(home)
	return k, err
}

// fullRetryPolicy returns the built-in policy with a retry budget of one retry per request, so that the budget
// never prevents a retry in tests of forbidden retries.
func fullRetryPolicy() config.Policy {
	p := config.BuiltinPolicy()
	p.RetryShare = 1
	return p
}

var home = netip.MustParseAddrPort("10.0.0.1:700")

// agentConfig returns the configuration of an agent without peers.
func agentConfig(upstream func(*http.Request) (*http.Response, error)) dispatch.Config {
	return dispatch.Config{
		Self: dispatch.Identity{Peer: home, Incarnation: 1}, Slots: 2, Upstream: upstream,
		Peers:  func() []dispatch.PeerInfo { return nil },
		Policy: fullRetryPolicy, Service: noRules,
		IssueKey: issueKey, ParseKey: parseKey, Trail: discardTrail(),
	}
}

// call serves one request with h and returns the answer.
func call(h http.Handler, method, path string, fields map[string]string) *http.Response {
	return callContext(context.Background(), h, method, path, fields)
}

func callContext(ctx context.Context, h http.Handler, method, path string, fields map[string]string) *http.Response {
	r := httptest.NewRequestWithContext(ctx, method, path, nil)
	for k, v := range fields {
		r.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result()
}

// post serves one non-repeatable request with a new key.
func post(h http.Handler, fields map[string]string) *http.Response {
	key := call(h, http.MethodPost, "/claims", nil).Header.Get(header.Key)
	all := map[string]string{header.Key: key}
	for k, v := range fields {
		all[k] = v
	}
	return call(h, http.MethodPost, "/claims", all)
}

func outcome(r *http.Response) string { return r.Header.Get(header.Outcome) }

func answer(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

func noRules() config.Service { return config.Service{} }
