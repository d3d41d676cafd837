package admin_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/admin"
	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/standin"
	"endiveflow.example/endiveflow/upstream"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// start returns the base URL and a function that stops the server gracefully.
func start(t *testing.T, cfg admin.Config) (url string, stop func() error) {
	t.Helper()
	cfg.Address = loopback
	s, err := admin.New(cfg)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := s.Run(ctx)
	t.Cleanup(cancel)
	return "http://" + s.Address().String(), func() error {
		cancel()
		return <-done
	}
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

// The status code must be enough for the platform to stop sending packets to a process that isn't ready,
// and the body must give operators the reasons.
func TestReadiness(t *testing.T) {
	var reasons []string
	url, _ := start(t, admin.Config{Ready: func() []string { return reasons }})
	status, body := get(t, url+"/readyz")
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"ready":true}`, body)
	reasons = []string{"no configuration"}
	status, body = get(t, url+"/readyz")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.JSONEq(t, `{"ready":false,"reasons":["no configuration"]}`, body)
	status, _ = get(t, url+"/livez")
	require.Equal(t, http.StatusOK, status, "a process that isn't ready must not be restarted")
	status, _ = get(t, url+"/status")
	require.Equal(t, http.StatusNotFound, status)
}

// The status code must distinguish invalid input of an operator from a failure of the process.
func TestErrorKindsMapToStatusCodes(t *testing.T) {
	var err error
	trail := audit.New(audit.Config{})
	trail.Record(audit.Event{Action: "eject", Target: "upstream", Reason: "slow"})
	url, _ := start(t, admin.Config{
		Audit:  trail,
		Status: func(context.Context) (any, error) { return map[string]int{"version": 3}, err },
		Explain: func(_ context.Context, q map[string]string) (any, error) {
			return q, nil
		},
	})
	for _, c := range []struct {
		err    error
		status int
	}{
		{nil, http.StatusOK},
		{errors.NotValidf("name"), http.StatusBadRequest},
		{errors.NotFoundf("service"), http.StatusNotFound},
		{errors.New("broken"), http.StatusInternalServerError},
	} {
		err = c.err
		status, _ := get(t, url+"/status")
		require.Equal(t, c.status, status)
	}
	_, body := get(t, url+"/explain?service=rota&id=1")
	require.JSONEq(t, `{"service":"rota","id":"1"}`, body)
	_, body = get(t, url+"/audit")
	require.Contains(t, body, `"reason": "slow"`)
	status, body := get(t, url+"/metrics")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "endiveflow_")
}

// Each state that an upstream announces must take effect; malformed and oversized announcements must be
// rejected.
func TestAnnouncementsOfAnUpstream(t *testing.T) {
	states := make(chan upstream.State, 8)
	announcements := upstream.NewAnnouncements(upstream.AnnouncementsConfig{
		Service:  "rota",
		OnChange: func(_, current upstream.Announcement) { states <- current.State },
	})
	url, _ := start(t, admin.Config{Announce: announcements.Accept})
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		Service:     "rota",
		AgentURL:    url,
		Interval:    20 * time.Millisecond,
		StartupTime: 100 * time.Millisecond,
	})
	require.NoError(t, err)
	done := u.Run(t.Context())
	require.Equal(t, upstream.StateStarting, <-states)
	require.Equal(t, upstream.StateReady, <-states)
	require.Equal(t, u.Address(), announcements.Current().Address)
	u.SetState(upstream.StateDraining)
	require.Equal(t, upstream.StateDraining, <-states)
	require.NoError(t, u.Shutdown(t.Context()))
	require.NoError(t, <-done)

	for _, body := range []string{"{}", strings.Repeat(" ", 1<<20)} {
		resp, err := http.Post(url+"/announce", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	}
}

// A graceful stop must let requests in flight finish.
func TestStopIsGraceful(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	url, stop := start(t, admin.Config{Status: func(context.Context) (any, error) {
		close(started)
		<-release
		return "done", nil
	}})
	answer := make(chan string, 1)
	go func() {
		_, body := get(t, url+"/status")
		answer <- body
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	require.Never(t, func() bool { return len(stopped) > 0 }, 30*time.Millisecond, 5*time.Millisecond)
	close(release)
	require.Equal(t, "\"done\"\n", <-answer)
	require.NoError(t, <-stopped)
}
