package config_test

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/config"
	_ "endiveflow.example/endiveflow/testseed"
)

func service(name string, version uint64) config.Object {
	return config.Object{
		Key:     config.Key{Kind: config.KindService, Name: name},
		Version: version,
		Service: &config.Service{Address: netip.MustParseAddrPort("192.0.2.1:443")},
	}
}

func exception(name, target string, s config.Setting, value string, version uint64) config.Object {
	return config.Object{
		Key:       config.Key{Kind: config.KindException, Name: name},
		Version:   version,
		Exception: &config.Exception{Target: target, Setting: s, Value: value, Reason: "trial of a longer drain"},
	}
}

func upstream(name, serviceName, network string, version uint64) config.Object {
	return config.Object{
		Key:      config.Key{Kind: config.KindUpstream, Name: name},
		Version:  version,
		Upstream: &config.Upstream{Service: serviceName, Networks: []netip.Prefix{netip.MustParsePrefix(network)}, Slots: 4},
	}
}

func deleted(o config.Object, version uint64) config.Object {
	o.Deleted = true
	o.Version = version
	return o
}

// Guards against a view that reverts. Updates arrive in any order, repeatedly and with delay, and after each the
// view and its indexes must hold the highest version.
func TestViewConvergesToHighestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []config.Object
		for v := uint64(1); v <= 12; v++ {
			o := upstream(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), "rota", "10.0.0.0/24", v)
			if rapid.Bool().Draw(t, "deleted") {
				o.Deleted = true
			}
			history = append(history, o)
		}
		arrivals := rapid.Permutation(append(history, history[:4]...)).Draw(t, "arrivals")
		got, want := config.NewView(), config.NewView()
		for _, o := range history {
			want.Apply(o)
		}
		for _, o := range arrivals {
			known, ok := got.Get(o.Key)
			require.Equal(t, !ok || o.Version > known.Version, got.Apply(o))
		}
		tag := config.TagOf("rota")
		host := netip.MustParseAddr("10.0.0.7")
		require.Equal(t, want.Objects(), got.Objects())
		require.Equal(t, want.Digest(), got.Digest())
		require.Equal(t, config.DigestOf(got.Objects()), got.Digest())
		require.Equal(t, want.Version(), got.Version())
		require.Equal(t, want.AllowsHost(tag, host), got.AllowsHost(tag, host))
	})
}

// Guards against lookups that still return a deleted object.
func TestViewLookups(t *testing.T) {
	v := config.NewView()
	tag := config.TagOf("rota")
	v.Apply(service("rota", 1))
	v.Apply(upstream("rota-hosts", "rota", "10.0.0.0/24", 2))
	name, _, ok := v.Service(tag)
	require.True(t, ok)
	require.Equal(t, "rota", name)
	require.True(t, v.AllowsHost(tag, netip.MustParseAddr("10.0.0.7")))
	require.False(t, v.AllowsHost(tag, netip.MustParseAddr("10.0.1.7")))
	require.False(t, v.AllowsHost(config.TagOf("draws"), netip.MustParseAddr("10.0.0.7")))

	v.Apply(deleted(service("rota", 1), 3))
	v.Apply(deleted(upstream("rota-hosts", "rota", "10.0.0.0/24", 2), 4))
	_, _, ok = v.Service(tag)
	require.False(t, ok)
	require.Empty(t, v.Services())
	require.False(t, v.AllowsHost(tag, netip.MustParseAddr("10.0.0.7")))
	require.Len(t, v.ObjectsFor(tag), 2, "an agent must learn of deletions")
}

// Guards against an exception that is overridden by a value for a wider scope, such as Defaults.
func TestPolicyPrecedence(t *testing.T) {
	v := config.NewView()
	host := netip.MustParseAddr("10.0.0.7")
	v.Apply(exception("host", "host/10.0.0.7", config.SettingDrainFor, "4s", 1))
	v.Apply(exception("service", "service/rota", config.SettingDrainFor, "3s", 2))
	v.Apply(config.Object{
		Key:      config.Key{Kind: config.KindDefaults, Name: config.DefaultsName},
		Version:  3,
		Defaults: &config.Defaults{Settings: map[config.Setting]string{config.SettingDrainFor: "2s", config.SettingSlowStart: "1s"}},
	})
	require.Equal(t, "4s", v.Policy("rota", host).Value(config.SettingDrainFor))
	require.Equal(t, "3s", v.Policy("rota", netip.Addr{}).Value(config.SettingDrainFor))
	require.Equal(t, "2s", v.Policy("draws", netip.Addr{}).Value(config.SettingDrainFor))
	for _, e := range v.Explain("rota", host) {
		switch e.Setting {
		case config.SettingDrainFor:
			require.Equal(t, "Exception/host", e.Source)
			require.NotEmpty(t, e.Reason)
		case config.SettingSlowStart:
			require.Equal(t, "Defaults/fleet", e.Source)
		default:
			require.Equal(t, config.SourceBuiltin, e.Source)
		}
	}
}

// Guards against a deleted exception that stays in force, and against nodes that disagree on which of two
// exceptions of one setting applies.
func TestDeletedAndCollidingExceptions(t *testing.T) {
	newer := exception("a", "service/rota", config.SettingDrainFor, "3s", 2)
	older := exception("b", "service/rota", config.SettingDrainFor, "4s", 1)
	for _, order := range [][]config.Object{{newer, older}, {older, newer}} {
		v := config.NewView()
		for _, o := range order {
			v.Apply(o)
		}
		require.Equal(t, "3s", v.Policy("rota", netip.Addr{}).Value(config.SettingDrainFor))
		v.Apply(deleted(newer, 3))
		require.Equal(t, "4s", v.Policy("rota", netip.Addr{}).Value(config.SettingDrainFor))
		v.Apply(deleted(older, 4))
		require.Equal(t, config.BuiltinPolicy(), v.Policy("rota", netip.Addr{}))
	}
}

// Guards against two services whose names have the same tag, which two operators applied at the same time, and that serve each other's
// callers: hosts of one were allowed for the other, and exceptions of one were in force at the other.
func TestServicesWithEqualTags(t *testing.T) {
	const first, second = "bawu92b", "kuwa46a"
	tag := config.TagOf(first)
	require.Equal(t, tag, config.TagOf(second))
	ofFirst, ofSecond := netip.MustParseAddr("10.0.0.7"), netip.MustParseAddr("10.0.1.7")
	objects := []config.Object{
		service(first, 1), upstream("a", first, "10.0.0.0/24", 2), service(second, 3), upstream("b", second, "10.0.1.0/24", 4),
		exception("c", "service/"+second, config.SettingDrainFor, "3s", 5),
	}
	for _, reverse := range []bool{false, true} {
		v := config.NewView()
		if reverse {
			slices.Reverse(objects)
		}
		for _, o := range objects {
			v.Apply(o)
		}
		name, _, ok := v.Service(tag)
		require.True(t, ok)
		require.Equal(t, first, name)
		require.True(t, v.AllowsHost(tag, ofFirst))
		require.False(t, v.AllowsHost(tag, ofSecond))
		require.Equal(t, config.BuiltinPolicy(), v.Policy(first, netip.Addr{}))
		require.Equal(t, "3s", v.Policy(second, netip.Addr{}).Value(config.SettingDrainFor))

		v.Apply(deleted(service(first, 1), 6))
		name, _, ok = v.Service(tag)
		require.True(t, ok)
		require.Equal(t, second, name)
		require.True(t, v.AllowsHost(tag, ofSecond))
		require.False(t, v.AllowsHost(tag, ofFirst))
	}
}

// Guards against an agent that receives a change of another service or misses one of its own.
func TestObjectsFor(t *testing.T) {
	v := config.NewView()
	v.Apply(service("rota", 1))
	v.Apply(service("draws", 2))
	v.Apply(upstream("rota-hosts", "rota", "10.0.0.0/24", 3))
	v.Apply(exception("mine", "host/10.0.0.7", config.SettingDrain, "true", 4))
	v.Apply(exception("other", "host/10.9.0.7", config.SettingDrain, "true", 5))
	v.Apply(exception("service", "service/rota", config.SettingSlowStart, "1s", 6))
	var names []string
	for _, o := range v.ObjectsFor(config.TagOf("rota")) {
		names = append(names, o.String())
	}
	require.Equal(t, []string{"Exception/mine", "Exception/service", "Service/rota", "Upstream/rota-hosts"}, names)
}

// Guards against an agent that never becomes current: after any changes, applying ObjectsFor once gives it the
// digest that its entry expects.
func TestAgentReachesDigestOfEntry(t *testing.T) {
	tag := config.TagOf("rota")
	rapid.Check(t, func(t *rapid.T) {
		entry, agent := config.NewView(), config.NewView()
		for version := uint64(1); version <= 15; version++ {
			network := rapid.SampledFrom([]string{"10.0.0.0/24", "10.0.1.0/24", "10.0.0.0/16"}).Draw(t, "network")
			o := rapid.SampledFrom([]config.Object{
				service("rota", version),
				service("draws", version),
				upstream("rota-hosts", "rota", network, version),
				upstream("draws-hosts", "draws", network, version),
				exception("a", "host/10.0.0.7", config.SettingDrain, "true", version),
				exception("b", "host/10.0.1.7", config.SettingDrain, "true", version),
				exception("c", "service/rota", config.SettingSlowStart, "1s", version),
			}).Draw(t, "object")
			o.Deleted = rapid.Bool().Draw(t, "deleted")
			entry.Apply(o)
			if rapid.Bool().Draw(t, "exchange") {
				applyObjectsFor(entry, agent, tag)
			}
		}
		applyObjectsFor(entry, agent, tag)
		require.Equal(t, entry.ObjectsFor(tag), agent.ObjectsFor(tag))
		require.Equal(t, entry.DigestFor(tag), agent.DigestFor(tag))
		host := netip.MustParseAddr("10.0.0.7")
		require.Equal(t, entry.AllowsHost(tag, host), agent.AllowsHost(tag, host))
		if entry.AllowsHost(tag, host) {
			require.Equal(t, entry.Explain("rota", host), agent.Explain("rota", host))
		}
	})
}

func applyObjectsFor(from, to *config.View, tag config.ServiceTag) {
	for _, o := range from.ObjectsFor(tag) {
		to.Apply(o)
	}
}
