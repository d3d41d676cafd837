package config_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
)

// Guards against a documentation page that lacks a setting, or whose defaults, ranges or example differ from
// what the code accepts.
func TestConfigurationPageMatchesCode(t *testing.T) {
	data, err := os.ReadFile("../docs/configuration.md")
	require.NoError(t, err)
	page := string(data)
	var want, got [][]string
	for _, s := range config.Settings() {
		want = append(want, []string{string(s), config.BuiltinPolicy().Value(s), config.ExpectedForm(s)})
	}
	for _, row := range regexp.MustCompile("(?m)^\\| `(.*?)` \\| (.*?) \\| (.*?) \\|").FindAllStringSubmatch(page, -1) {
		got = append(got, row[1:])
	}
	require.Equal(t, want, got)
	_, example, _ := strings.Cut(page, "```yaml\n")
	example, _, _ = strings.Cut(example, "```")
	set, err := config.Parse(nil, "example", []byte(example))
	require.NoError(t, err)
	require.Len(t, set.Objects(), 4)
}
