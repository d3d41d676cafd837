package main

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/standin"
)

// Guards against errors that get the wrong exit code when they are wrapped or joined with an error of
// another kind.
func TestExitCode(t *testing.T) {
	wrap := func(err error) error { return fmt.Errorf("applying: %w", err) }
	for want, errs := range map[int][]error{
		exitSuccess:     {nil},
		exitFailure:     {errors.New("any"), wrap(errors.NotFoundf("Service/rota")), wrap(errStoreLostVersions)},
		exitInvalid:     {wrap(errors.NotValidf("file"))},
		exitConflict:    {wrap(platform.Conflict), fmt.Errorf("%w: %w", platform.Conflict, errors.NotValidf("file"))},
		exitUnavailable: {wrap(platform.Unavailable), wrap(platform.Unclear), fmt.Errorf("%w: %w", errors.NotValidf("file"), platform.Unclear)},
	} {
		for _, err := range errs {
			require.Equal(t, want, exitCode(err), "%v", err)
		}
	}
}

// Guards against reporting a collision between the objects of two operators as invalid input of the one who
// wrote last.
func TestCollisionIsAConflict(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform(standin.PlatformConfig{}).Handler())
	defer server.Close()
	client, err := platform.New(platform.Config{URL: server.URL})
	require.NoError(t, err)
	for _, name := range []string{"rota", "draws"} {
		o := config.Object{
			Key:     config.Key{Kind: config.KindService, Name: name},
			Service: &config.Service{Address: netip.MustParseAddrPort("192.0.2.1:443")},
		}
		value, err := config.EncodeValue(o)
		require.NoError(t, err)
		_, err = client.Put(t.Context(), o.StoreKey(), value, 0)
		require.NoError(t, err)
	}
	a, err := storeFlags{Platform: server.URL}.reader()
	require.NoError(t, err)
	require.Equal(t, exitConflict, exitCode(checkCollision(t.Context(), a)))
	require.Equal(t, exitInvalid, exitCode(checkInForce(t.Context(), a)))
}
