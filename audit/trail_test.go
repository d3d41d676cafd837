package audit_test

import (
	"bytes"
	"log/slog"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/audit"
)

// A full trail must drop the oldest events, not the newest.
func TestFullTrailKeepsNewestEvents(t *testing.T) {
	var lines bytes.Buffer
	trail := audit.New(audit.Config{MaxEvents: 3, Log: slog.New(slog.NewJSONHandler(&lines, nil))})
	for i := range 5 {
		trail.Record(audit.Event{Action: "eject", Target: strconv.Itoa(i), Reason: "test"})
	}
	var targets []string
	for _, e := range trail.Recent() {
		targets = append(targets, e.Target)
	}
	require.Equal(t, []string{"2", "3", "4"}, targets)
	require.Equal(t, 5, bytes.Count(lines.Bytes(), []byte("\n")))
}
