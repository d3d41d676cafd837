package config_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
)

// Guards against text that is printed in a form that is read back as another text or rejected: applying an
// unedited copy would then change the object.
func TestPrintedTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(
			rapid.String(),
			rapid.StringMatching(`[-#:'"\\ \n\t,{}\[\]&*!|>%@~a1.0xe_+]{0,12}`),
			rapid.SampledFrom([]string{"null", "true", "0x10", "---\na", "a\n---\n", "1e3", "- a", "? b", "2026-05-01", "a: b", "a #b", " a ", "\n", "a\r\nb", "0o7", "...", "=", "<<"}),
		).Draw(t, "text")
		o := exception("x", "service/rota", config.SettingSlowStart, "1s", 1)
		o.Exception.Reason = "r" + text
		if rapid.Bool().Draw(t, "bare") && strings.TrimSpace(text) != "" {
			o.Exception.Reason = text
		}
		s := service("rota", 1)
		s.Service.LongPrefixes = []string{"/" + text}
		printed, err := config.MarshalYAML(o)
		require.NoError(t, err)
		other, err := config.MarshalYAML(s)
		require.NoError(t, err)
		set, err := config.Parse(nil, "f", []byte(string(printed)+"---\n"+string(other)))
		require.NoError(t, err, "%s", printed)
		require.Equal(t, []config.Object{o, s}, set.Objects(), "%s", printed)
	})
}
