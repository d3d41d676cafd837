package settings_test

import (
	"encoding/base64"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/settings"
)

var secret = base64.StdEncoding.EncodeToString(make([]byte, 32))

// minimalSettings holds settings of each role with only the required keys.
var minimalSettings = map[string]string{
	"entry":    nodeSettings + "platformURL: http://127.0.0.1:1\nagentNetworks: [10.0.0.0/8]\n",
	"agent":    nodeSettings + "service: rota\ntls: {certFile: file, keyFile: file}\n",
	"platform": "listenAddress: 127.0.0.1:1\n",
	"fabric":   "services:\n  - listenAddress: 127.0.0.1:1\n    entries: [{address: 127.0.0.1:2, healthURL: http://127.0.0.1:3/readyz}]\n",
	"upstream": "listenAddress: 127.0.0.1:1\nagentURL: http://127.0.0.1:2\nservice: rota\n",
}

const nodeSettings = `zone: okn-a
region: okanagan
tunnelAddress: 10.0.0.1:7000
controlAddress: 10.0.0.1:7001
peerAddress: 10.0.0.1:7002
adminAddress: 127.0.0.1:7003
fleetKeys: [{id: 1, secretFile: file}]
`

func load(t *testing.T, role, text string) (any, error) {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "file"), []byte(secret+"\n"), 0o600))
	name := filepath.Join(dir, role+".yaml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	switch role {
	case "entry":
		return settings.LoadEntry(name)
	case "agent":
		return settings.LoadAgent(name)
	case "platform":
		return settings.LoadPlatform(name)
	case "fabric":
		return settings.LoadFabric(name)
	}
	return settings.LoadUpstream(name)
}

// Guards against a secret that is loaded but doesn't reach the key ring.
func TestRing(t *testing.T) {
	got, err := load(t, "entry", minimalSettings["entry"])
	require.NoError(t, err)
	ring, err := got.(settings.Entry).Ring()
	require.NoError(t, err)
	require.Equal(t, []uint8{1}, ring.IDs())
}

// Guards against invalid settings that are accepted, or reported without their position.
func TestLoadReportsAllProblems(t *testing.T) {
	cases := []struct{ role, text, want string }{
		{"entry", minimalSettings["entry"] + "speed: 1\n", ":10:1: speed: unknown key; expected one of zone"},
		{"entry", strings.Replace(minimalSettings["entry"], "10.0.0.1:7000", "10.0.0.1", 1), ":3:16: tunnelAddress: \"10.0.0.1\" is not accepted; expected an IP address with port"},
		{"entry", strings.Replace(minimalSettings["entry"], "10.0.0.1:7000", "\"[::1]:7000\"", 1), "tunnelAddress: address [::1]:7000; expected an IPv4"},
		{"entry", strings.Replace(minimalSettings["entry"], "zone: okn-a\n", "", 1), "zone: missing key; expected a string"},
		{"entry", nodeSettings + "agentNetworks: []\n", "platformURL: missing key; expected a URL"},
		{"entry", nodeSettings + "agentNetworks: []\n", ":8:16: agentNetworks: no networks"},
		{"entry", minimalSettings["entry"] + "logLevel: loud\n", "logLevel: \"loud\" is not accepted; expected debug"},
		{"entry", minimalSettings["entry"] + "shutdownGrace: 30\n", "shutdownGrace: wrong type: 30; expected a duration such as 10s"},
		{"entry", minimalSettings["entry"] + "seeds: [10.0.0.2:0]\n", "seeds[0]: address 10.0.0.2:0"},
		{"entry", strings.Replace(minimalSettings["entry"], "secretFile: file", "secret: c2hvcnQ=", 1), "fleetKeys[0].secret: unusable secret; expected base64 of at least 32 bytes"},
		{"entry", strings.Replace(minimalSettings["entry"], "secretFile: file", "secretFile: none", 1), "fleetKeys[0].secretFile: open"},
		{"entry", strings.Replace(minimalSettings["entry"], ", secretFile: file", "", 1), "fleetKeys[0]: both or neither given"},
		{"entry", strings.Replace(minimalSettings["entry"], "id: 1", "id: 256", 1), "fleetKeys[0].id: wrong type: 256; expected an integer from 0 to 255"},
		{"entry", strings.Replace(minimalSettings["entry"], "7001", "7000", 1), "controlAddress: address 10.0.0.1:7000 is used twice"},
		{"agent", strings.Replace(minimalSettings["agent"], "certFile: file", "certFile: none", 1), "tls.certFile: open"},
		{"agent", strings.Replace(minimalSettings["agent"], "service: rota", "service: a/b", 1), `service: "a/b"; expected a name`},
		{"upstream", minimalSettings["upstream"] + "slots: 0\n", "slots: 0 slots; expected an integer of 1 or more"},
		{"fabric", "services: []\n", "services: no services"},
		{"platform", "---\n---\n", "0 documents; expected one document"},
		{"platform", "listenAddress: 127.0.0.1:1\n---\nlistenAddress: 127.0.0.1:1\n", "2 documents; expected one document"},
	}
	for _, c := range cases {
		t.Run(c.role+" "+c.want, func(t *testing.T) {
			_, err := load(t, c.role, c.text)
			require.ErrorIs(t, err, errors.NotValid)
			require.Contains(t, err.Error(), c.want)
		})
	}
	t.Run("all at once", func(t *testing.T) {
		_, err := load(t, "entry", "zone: 1\nseeds: x\nspeed: 1\n")
		for _, key := range []string{"zone", "seeds", "speed", "region", "platformURL", "fleetKeys"} {
			require.Contains(t, err.Error(), ": "+key+": ")
		}
	})
}

// Guards against a settings page that lacks a key, keeps a removed one or states a wrong default.
func TestSettingsPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	require.NoError(t, err)
	for role, text := range minimalSettings {
		t.Run(role, func(t *testing.T) {
			loaded, err := load(t, role, text)
			require.NoError(t, err)
			want := make(map[string]string)
			collectKeys(want, "", reflect.ValueOf(loaded))
			require.Equal(t, want, documentedKeys(t, string(page), role))
		})
	}
}

// collectKeys collects the keys of a struct with their defaults. The settings were loaded from required keys
// only, so all other values are defaults.
func collectKeys(into map[string]string, path string, v reflect.Value) {
	for i := range v.NumField() {
		f, value := v.Type().Field(i), v.Field(i)
		if f.Anonymous {
			collectKeys(into, path, value)
			continue
		}
		name, optional, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "" {
			continue
		}
		into[path+name] = defaultOf(optional == "omitempty", value)
		if value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct && value.Type().Elem().PkgPath() == v.Type().PkgPath() {
			collectKeys(into, path+name+"[].", value.Index(0))
		}
		if value.Kind() == reflect.Struct && value.Type().PkgPath() == v.Type().PkgPath() {
			collectKeys(into, path+name+".", value)
		}
	}
}

func defaultOf(optional bool, v reflect.Value) string {
	if !optional {
		return "required"
	}
	switch x := v.Interface().(type) {
	case time.Duration:
		return x.String()
	case slog.Level:
		return strings.ToLower(x.String())
	case int:
		return fmt.Sprint(x)
	}
	return "none"
}

func documentedKeys(t *testing.T, page, role string) map[string]string {
	t.Helper()
	_, section, ok := strings.Cut(page, "\n## "+role+"\n")
	require.True(t, ok)
	section, _, _ = strings.Cut(section, "\n## ")
	out := make(map[string]string)
	for _, row := range regexp.MustCompile("(?m)^\\| `(.*?)` \\| (.*?) \\|").FindAllStringSubmatch(section, -1) {
		out[row[1]] = row[2]
	}
	return out
}
