package config_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/strictyaml"
)

const validFile = `kind: Service
name: rota
spec:
  address: 192.0.2.1:443
  long: [/sheets]
  repeatable:
    - {method: POST, prefix: /search, repeatable: true}
---
kind: Upstream
name: rota-hosts
spec:
  service: rota
  networks: [10.0.0.0/24]
  slots: 4
---
---
kind: Defaults
name: fleet
spec:
  settings:
    deadline: 5s
    reservedSlots: 2
    maxEjected: 0.25
---
kind: Exception
name: drain-7
spec: {target: host/10.0.0.7, setting: drain, value: true, reason: disk swap}
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "fleet.yaml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// Guards against an accepted file of which a document or a value is lost.
func TestLoadValidFile(t *testing.T) {
	set, err := config.Load(writeFile(t, validFile))
	require.NoError(t, err)
	v := config.NewView()
	for i, o := range set.Objects() {
		o.Version = uint64(i + 1)
		require.True(t, v.Apply(o))
	}
	require.Len(t, v.Objects(), 4)
	require.Equal(t, "2", v.Policy("rota", netip.MustParseAddr("10.0.0.7")).Value(config.SettingReservedSlots))
	require.True(t, v.Policy("rota", netip.MustParseAddr("10.0.0.7")).Drain)
}

// Guards against invalid input that is accepted, reported at a wrong position, or hidden by an earlier error.
// Each case adds one invalid document to a valid file.
func TestLoadReportsEachProblem(t *testing.T) {
	cases := map[string]struct{ doc, want string }{
		"unknown key":       {"kind: Service\nname: b\nspec: {address: 192.0.2.2:443, colour: red}", ":3:32: spec.colour: unknown key; expected one of address, long"},
		"wrong type":        {"kind: Upstream\nname: b\nspec: {service: rota, networks: [10.1.0.0/24], slots: many}", `:3:55: spec.slots: wrong type: "many"; expected an integer`},
		"missing key":       {"kind: Upstream\nname: b\nspec: {service: rota, slots: 1}", ": spec.networks: missing key; expected a list"},
		"duplicate key":     {"kind: Service\nname: b\nname: c\nspec: {address: 192.0.2.2:443}", `:3:1: mapping key "name" already defined`},
		"duplicate name":    {"kind: Service\nname: rota\nspec: {address: 192.0.2.2:443}", ":2:7: name: second document for Service/rota"},
		"range":             {"kind: Upstream\nname: b\nspec:\n  service: rota\n  networks: [10.1.0.0/24]\n  slots: 0", ":6:10: spec.slots: 0 slots; expected an integer from 1"},
		"dangling service":  {"kind: Upstream\nname: b\nspec: {service: golf, networks: [10.1.0.0/24], slots: 1}", `spec.service: no service "golf"`},
		"dangling host":     {"kind: Exception\nname: b\nspec: {target: host/10.9.9.9, setting: slowStart, value: 1s, reason: x}", "spec.target: no Upstream holds host 10.9.9.9"},
		"same address":      {"kind: Service\nname: b\nspec: {address: 0.0.0.0:443}", "overlaps with 192.0.2.1:443 of service"},
		"same networks":     {"kind: Upstream\nname: b\nspec: {service: rota, networks: [10.0.0.128/25], slots: 1}", "overlaps with 10.0.0.0/24 of upstream"},
		"empty reason":      {"kind: Exception\nname: b\nspec: {target: service/rota, setting: slowStart, value: 1s, reason: \" \"}", "spec.reason: empty reason"},
		"unknown setting":   {"kind: Exception\nname: b\nspec: {target: service/rota, setting: speed, value: 1s, reason: x}", `spec.setting: unknown setting "speed"; expected one of deadline`},
		"value above range": {"kind: Exception\nname: b\nspec: {target: service/rota, setting: maxEjected, value: 1.5, reason: x}", `spec.value: value "1.5"; expected a number from 0 to 1`},
		"drain of service":  {"kind: Exception\nname: b\nspec: {target: service/rota, setting: drain, value: true, reason: x}", "spec.target: drain applies to hosts only"},
		"second exception":  {"kind: Exception\nname: b\nspec: {target: host/10.0.0.7, setting: drain, value: true, reason: x}", `exception "drain-7" also sets drain`},
		"unknown kind":      {"kind: Servant\nname: b\nspec: {}", `:1:7: kind: unknown kind "Servant"; expected Service`},
		"drain in Defaults": {"kind: Defaults\nname: other\nspec: {settings: {drain: true}}", "spec.settings.drain: drain is not allowed in Defaults"},
		"name of Defaults":  {"kind: Defaults\nname: other\nspec: {settings: {deadline: 1}}", `name: name "other" of Defaults; expected fleet`},
		"plain number":      {"kind: Defaults\nname: other\nspec: {settings: {deadline: 10}}", `spec.settings.deadline: value "10"; expected a duration`},
		"bad name":          {"kind: Service\nname: Rota_2\nspec: {address: 192.0.2.2:443}", "name: name \"Rota_2\"; expected lower-case letters"},
		"IPv6":              {"kind: Service\nname: b\nspec: {address: \"[2001:db8::1]:443\"}", "expected an IPv4 address"},
		"alias":             {"kind: Service\nname: &n b\nspec: {address: 192.0.2.2:443}", ":2:7: name: anchors, aliases and tags are not accepted"},
		"no value":          {"kind: Service\nname: b\nspec:", "spec: no value"},
		"document end":      {"kind: Service\nname: b\nspec: {address: 192.0.2.2:443}\n...", ":4:1: unsupported document marker"},
		"not a mapping":     {"- a", ":1:1: wrong type: a list; expected a mapping"},
	}
	var all []string
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := config.Load(writeFile(t, validFile), writeFile(t, c.doc))
			require.ErrorIs(t, err, errors.NotValid)
			require.Contains(t, err.Error(), c.want)
		})
		all = append(all, c.doc)
	}
	t.Run("all at once", func(t *testing.T) {
		_, err := config.Load(writeFile(t, validFile), writeFile(t, strings.Join(all, "\n---\n")))
		var problems strictyaml.FileErrors
		require.ErrorAs(t, err, &problems)
		require.GreaterOrEqual(t, len(problems), len(cases))
	})
}

// Guards against rejecting a file whose objects refer to objects in force.
func TestLoadWithObjectsInForce(t *testing.T) {
	file := writeFile(t, "kind: Exception\nname: b\nspec: {target: service/rota, setting: slowStart, value: 1s, reason: x}")
	_, err := config.LoadWith([]config.Object{service("rota", 1)}, file)
	require.NoError(t, err)
	_, err = config.LoadWith([]config.Object{deleted(service("rota", 1), 2)}, file)
	require.ErrorIs(t, err, errors.NotValid)
}

// Guards against an unreported collision between the objects of two operators.
func TestCheckObjects(t *testing.T) {
	draws := service("draws", 2)
	require.NoError(t, config.CheckObjects([]config.Object{service("rota", 1), deleted(draws, 3)}))
	require.NoError(t, config.CheckObjects(nil))
	err := config.CheckObjects([]config.Object{service("rota", 1), draws})
	require.ErrorContains(t, err, "in force: Service/draws")
	require.ErrorContains(t, err, "overlaps with 192.0.2.1:443 of service")
}

// Guards against a panic caused by malformed files, and against an accepted object that a node cannot decode or
// that cannot be printed.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("kind: Service\nname: a\nspec: {address: 1.1.1.1:1, short: [/], long: [/a]}\n---\nkind: Exception\nname: b\nspec:"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := config.Parse(nil, "f", data)
		if err != nil {
			require.ErrorIs(t, err, errors.NotValid)
			return
		}
		for _, o := range set.Objects() {
			value, err := config.EncodeValue(o)
			require.NoError(t, err)
			_, err = config.DecodeValue(value, 1)
			require.NoError(t, err)
		}
		printed := printAll(t, set)
		again, err := config.Parse(nil, "f", []byte(printed))
		require.NoError(t, err, "%s", printed)
		require.Equal(t, printed, printAll(t, again))
	})
}

func printAll(t *testing.T, set config.Set) string {
	t.Helper()
	var docs []string
	for _, o := range set.Objects() {
		o.Version = max(o.Version, 1)
		doc, err := config.MarshalYAML(o)
		require.NoError(t, err)
		docs = append(docs, string(doc))
	}
	return strings.Join(docs, "---\n")
}
