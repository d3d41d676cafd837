package status_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/status"
)

func record(role member.Role, zone, address string, digest uint64) member.Record {
	a := netip.MustParseAddrPort(address)
	return member.Record{Role: role, Zone: zone, Control: a, Tunnel: a, Service: config.TagOf("rota"), State: member.StateReady, ConfigDigest: digest}
}

// Guards against a zone that is reported as current while a node is behind, and against comparing agents with
// more of the configuration than they receive.
func TestBuildReport(t *testing.T) {
	v := config.NewView()
	for i, o := range []config.Object{
		{Key: config.Key{Kind: config.KindService, Name: "rota"}, Service: &config.Service{}},
		{Key: config.Key{Kind: config.KindService, Name: "draws"}, Service: &config.Service{}},
		{Key: config.Key{Kind: config.KindUpstream, Name: "u"}, Upstream: &config.Upstream{Service: "rota", Networks: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/24")}}},
		{Key: config.Key{Kind: config.KindException, Name: "x"}, Exception: &config.Exception{Target: "host/10.0.0.7", Setting: config.SettingDrain, Value: "true", Reason: "disk swap"}},
	} {
		o.Version = uint64(i + 1)
		v.Apply(o)
	}
	agentDigest := v.DigestFor(config.TagOf("rota"))
	dead := record(member.RoleEntry, "okn-a", "10.0.0.4:1", 0)
	dead.State = member.StateDead
	r := status.Build(v, []member.Record{
		record(member.RoleEntry, "okn-b", "10.0.0.1:1", v.Digest()),
		record(member.RoleEntry, "okn-a", "10.0.0.2:1", v.Digest()),
		record(member.RoleAgent, "okn-a", "10.0.0.7:1", agentDigest),
		record(member.RoleAgent, "okn-b", "10.0.1.8:1", agentDigest-1),
		record(member.RoleEntry, "okn-b", "10.0.0.3:1", 0),
		dead,
	})
	require.Equal(t, status.Zone{Zone: "okn-a", Nodes: 2, Current: 2, Version: 4}, r.Zones[0])
	b := r.Zones[1]
	require.Equal(t, []int{3, 1, 0}, []int{b.Nodes, b.Current, int(b.Version)})
	require.Equal(t, "has no configuration yet", b.Behind[0].Reason)
	require.Contains(t, b.Behind[1].Reason, "other versions")
	require.Equal(t, "drained by the operator: disk swap (Exception/x)", r.Upstreams[0].Note)
	require.Contains(t, r.Upstreams[1].Note, "no Upstream")
}
