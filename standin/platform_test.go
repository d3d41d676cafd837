package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/standin"
)

// Guards against switches that have no effect over HTTP, and against a stop that hangs while a watch is
// pending.
func TestPlatformOverHTTP(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := standin.NewPlatform(standin.PlatformConfig{Address: "127.0.0.1:0"})
	done, err := p.Run(ctx)
	require.NoError(t, err)
	base := "http://" + p.Addr().String()
	c, err := platform.New(platform.Config{URL: base, Backoff: platform.Backoff{Max: time.Millisecond}})
	require.NoError(t, err)
	version, err := c.Put(ctx, "a/a", []byte("1"), 0)
	require.NoError(t, err)

	setSwitches(t, base, `{"outage": true}`)
	_, err = c.Get(ctx, "a/a")
	require.ErrorIs(t, err, platform.Unavailable)
	setSwitches(t, base, `{"loseAnswers": 1}`)
	_, err = c.Put(ctx, "a/a", []byte("2"), version)
	require.ErrorIs(t, err, platform.Unclear)
	o, err := c.Get(ctx, "a/a")
	require.NoError(t, err)
	require.Equal(t, "2", string(o.Value))

	watched := make(chan error, 1)
	go func() {
		_, err := c.Watch(t.Context(), "a/", platform.Listing{Revision: o.Version})
		watched <- err
	}()
	require.Eventually(t, func() bool { return p.Calls()["watch"] == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	require.ErrorIs(t, <-watched, platform.Unavailable)
}

func setSwitches(t *testing.T, base, switches string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, base+"/switches", strings.NewReader(switches))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	var got standin.Switches
	require.NoError(t, json.NewDecoder(res.Body).Decode(&got))
}
