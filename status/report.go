package status

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
)

// Path is the path of the admin endpoint that returns a Report.
const Path = "/status"

// Report is the state of a region as known to one entry.
type Report struct {
	// Version is the highest configuration version known to the answering entry, and Digest identifies all of
	// its configuration. Without configuration Version is 0 and Digest is empty.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Zones are ordered by name.
	Zones []Zone `json:"zones"`
	// Upstreams are ordered by service and host.
	Upstreams []Upstream `json:"upstreams"`
}

// Zone is the state of the configuration in one availability zone.
type Zone struct {
	Zone string `json:"zone"`
	// Nodes is the number of live entries and agents. Current is the number of those that have applied the same
	// versions as the answering entry; agents need only the objects of their service.
	Nodes   int `json:"nodes"`
	Current int `json:"current"`
	// Version is Report.Version if every live node is current, else 0.
	Version uint64 `json:"version"`
	// Behind holds the live nodes that are not current, ordered by address.
	Behind []Behind `json:"behind,omitempty"`
}

// Behind is a node whose configuration differs from the one that the answering entry expects it to have.
type Behind struct {
	Role    string         `json:"role"`
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service,omitempty"`
	State   string         `json:"state"`
	Digest  string         `json:"digest"`
	// Reason explains to operators why the node is behind.
	Reason string `json:"reason"`
}

// Upstream describes an agent and the upstream on its host.
type Upstream struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	State   string         `json:"state"`
	Slots   uint16         `json:"slots"`
	// Weight is the relative share of new flows in percent.
	Weight uint8 `json:"weight"`
	// Note describes an exceptional state: a drain with the operator's reason, an unconfigured service, or a
	// host that no Upstream allows. It is empty otherwise.
	Note string `json:"note,omitempty"`
}

// Build returns the report of an entry from its configuration and the records of members.
func Build(view *config.View, records []member.Record) Report {
	r := Report{Version: view.Version(), Digest: formatDigest(view.Digest()), Zones: []Zone{}, Upstreams: []Upstream{}}
	zones := make(map[string]*Zone)
	digests := make(map[config.ServiceTag]uint64)
	for _, m := range records {
		if m.Role == member.RoleAgent && m.State != member.StateLeft {
			r.Upstreams = append(r.Upstreams, newUpstream(view, m))
		}
		if !m.Alive() {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &Zone{Zone: m.Zone}
			zones[m.Zone] = z
		}
		z.add(view, m, expectedDigest(view, m, digests))
	}
	for _, z := range zones {
		if z.Current == z.Nodes {
			z.Version = r.Version
		}
		slices.SortFunc(z.Behind, func(a, b Behind) int { return a.Address.Compare(b.Address) })
		r.Zones = append(r.Zones, *z)
	}
	slices.SortFunc(r.Zones, func(a, b Zone) int { return strings.Compare(a.Zone, b.Zone) })
	slices.SortFunc(r.Upstreams, func(a, b Upstream) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), a.Address.Compare(b.Address))
	})
	return r
}

// expectedDigest returns the digest that a current node reports. It is the same for all agents of a service.
func expectedDigest(view *config.View, m member.Record, digests map[config.ServiceTag]uint64) uint64 {
	if m.Role == member.RoleEntry {
		return view.Digest()
	}
	digest, ok := digests[m.Service]
	if !ok {
		digest = view.DigestFor(m.Service)
		digests[m.Service] = digest
	}
	return digest
}

func (z *Zone) add(view *config.View, m member.Record, digest uint64) {
	z.Nodes++
	if m.ConfigDigest == digest {
		z.Current++
		return
	}
	z.Behind = append(z.Behind, Behind{
		Role:    m.Role.String(),
		Address: m.Control,
		Service: serviceName(view, m),
		State:   m.State.String(),
		Digest:  formatDigest(m.ConfigDigest),
		Reason:  behindReason(view, m),
	})
}

func behindReason(view *config.View, m member.Record) string {
	switch {
	case m.ConfigDigest == 0:
		return "has no configuration yet"
	case view.Digest() == 0:
		return "the answering entry has no configuration yet"
	case m.State == member.StateStarting:
		return "is starting and has only part of the configuration"
	}
	return "reports other versions than the answering entry has"
}

func newUpstream(view *config.View, m member.Record) Upstream {
	u := Upstream{Service: serviceName(view, m), Address: m.Tunnel, Zone: m.Zone, State: m.State.String(), Slots: m.Slots, Weight: m.Weight}
	host := m.Tunnel.Addr()
	switch name, _, known := view.Service(m.Service); {
	case !known:
		u.Note = "the service is not configured"
	case !view.AllowsHost(m.Service, host):
		u.Note = "no Upstream of the service allows the host"
	case view.Policy(name, host).Drain:
		u.Note = "drained by the operator" + drainReason(view, name, host)
	}
	return u
}

func drainReason(view *config.View, service string, host netip.Addr) string {
	for _, e := range view.Explain(service, host) {
		if e.Setting == config.SettingDrain {
			return fmt.Sprintf(": %s (%s)", e.Reason, e.Source)
		}
	}
	return ""
}

// serviceName returns the name of an agent's service, or its tag if the service is not configured. It is empty
// for entries.
func serviceName(view *config.View, m member.Record) string {
	if m.Role != member.RoleAgent {
		return ""
	}
	if name, _, ok := view.Service(m.Service); ok {
		return name
	}
	return fmt.Sprintf("tag %08x", uint32(m.Service))
}

func formatDigest(d uint64) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", d)
}
