package config_test

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
)

func sampleObjects() []config.Object {
	s := service("rota", 7)
	s.Service.Repeatable = []config.RepeatRule{{Method: "POST", Prefix: "/search", Repeatable: true}}
	s.Changes = []config.Change{{OperationID: "op", Who: "ann", When: time.Date(2026, 5, 1, 18, 0, 0, 5, time.UTC), Why: "season start", Diff: []string{"address: - -> x"}}}
	return []config.Object{
		s,
		upstream("rota-hosts", "rota", "10.0.0.0/24", 8),
		exception("drain", "host/10.0.0.7", config.SettingDrain, "true", 9),
		deleted(service("draws", 1), 10),
	}
}

// Guards against a field that is lost or changed between processes or in the store.
func TestObjectRoundTrip(t *testing.T) {
	for _, o := range sampleObjects() {
		b, err := config.EncodeObject(o)
		require.NoError(t, err)
		got, err := config.DecodeObject(b)
		require.NoError(t, err)
		require.Equal(t, o, got)
		value, err := config.EncodeValue(o)
		require.NoError(t, err)
		got, err = config.DecodeValue(value, o.Version)
		require.NoError(t, err)
		require.Equal(t, o, got)
	}
}

// Guards against a panic or an inconsistent object caused by malformed input.
func FuzzDecodeObject(f *testing.F) {
	for _, o := range sampleObjects() {
		b, err := config.EncodeObject(o)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		o, err := config.DecodeObject(b)
		if err != nil {
			require.ErrorIs(t, err, errors.NotValid)
			return
		}
		config.NewView().Apply(o)
		_, err = config.EncodeObject(o)
		require.NoError(t, err)
	})
}
