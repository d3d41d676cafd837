package standin_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/standin"
)

func get(ctx context.Context, url, id string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set(standin.RequestIDHeader, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against a switch without effect, which makes the tests that rely on it pass for the wrong reason.
func TestUpstreamSwitches(t *testing.T) {
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		Service:   "rota",
		Slots:     1,
		WorkTimes: map[string]time.Duration{"/": 0, "/long": time.Minute},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := u.Run(ctx)
	url := "http://" + u.Address().String()
	_, body, err := get(t.Context(), url+"/a", "1")
	require.NoError(t, err)
	require.Contains(t, body, `"service":"rota","id":"1"`)

	u.SetMisleading(true)
	status, _, err := get(t.Context(), url+"/healthz", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)

	for _, b := range []standin.Break{standin.BreakBefore, standin.BreakAfter, standin.BreakTruncate, standin.BreakGarbage} {
		u.SetBreak(b)
		_, _, err := get(t.Context(), url+"/a", "broken")
		require.Error(t, err, b)
	}
	u.SetBreak(standin.BreakNone)
	require.GreaterOrEqual(t, u.Executed()["broken"], 3)
	require.Equal(t, []string{"broken"}, u.Doubled())

	longCtx, stopLong := context.WithCancel(t.Context())
	go func() { _, _, _ = get(longCtx, url+"/long", "long") }()
	require.Eventually(t, func() bool { return u.Running() == 1 }, 5*time.Second, time.Millisecond)
	status, _, err = get(t.Context(), url+"/a", "shed")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Zero(t, u.Executed()["shed"])
	stopLong()
	require.Eventually(t, func() bool { return len(u.Cancelled()) == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}
