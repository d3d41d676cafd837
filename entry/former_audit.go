package entry

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"endiveflow.example/endiveflow/config"
)

// FormerAddress is an address that a service had according to its audit entries.
type FormerAddress struct {
	Service config.ServiceTag
	Address netip.AddrPort
	// Until is when the service lost the address, by the clock of the operator's command.
	Until time.Time
	// Networks are those that served a service until it was deleted. They are
	// nil for other services, whose networks are configured.
	Networks []netip.Prefix
}

// Forms of the settings in audit entries.
const (
	addressChanged = "address: "
	changedTo      = " -> "
	serviceDeleted = "deleted: false -> true"
)

// FormerAddresses returns a function for ForwarderConfig.Former that reads the
// audit entries in a view. An entry that starts after a change of an address
// learns of it this way. The entries are read again only after a change of the
// view. The function is not safe for concurrent use.
func FormerAddresses(v *config.View) func() []FormerAddress {
	var digest uint64
	var former []FormerAddress
	return func() []FormerAddress {
		if d := v.Digest(); d != digest {
			digest = d
			former = formerIn(v.Objects())
		}
		return former
	}
}

// formerIn returns the former addresses that the audit entries name, with the
// last time of each. An object has its last 20 audit entries only.
func formerIn(objects []config.Object) []FormerAddress {
	networks := deletedNetworks(objects)
	var all []FormerAddress
	for _, o := range objects {
		if o.Kind != config.KindService {
			continue
		}
		former := formerOf(o)
		if o.Deleted {
			for i := range former {
				former[i].Networks = networks[o.Name]
			}
		}
		all = append(all, former...)
	}
	return all
}

// deletedNetworks returns the networks of deleted Upstreams by service. A
// service is deleted after its Upstreams.
func deletedNetworks(objects []config.Object) map[string][]netip.Prefix {
	networks := make(map[string][]netip.Prefix)
	for _, o := range objects {
		if o.Deleted && o.Upstream != nil {
			networks[o.Upstream.Service] = append(networks[o.Upstream.Service], o.Upstream.Networks...)
		}
	}
	return networks
}

// formerOf returns the former addresses of a service without their networks.
func formerOf(o config.Object) []FormerAddress {
	until := make(map[netip.AddrPort]time.Time)
	var current netip.AddrPort
	if o.Deleted && o.Service != nil {
		// The audit entry that set the address may be lost.
		current = o.Service.Address
	}
	for _, change := range o.Changes {
		for _, setting := range change.Diff {
			if from, to, ok := changedAddress(setting); ok {
				until[from] = change.When
				current = to
			} else if setting == serviceDeleted {
				until[current] = change.When
			}
		}
	}
	var former []FormerAddress
	for address, when := range until {
		if address.IsValid() {
			former = append(former, FormerAddress{Service: config.TagOf(o.Name), Address: address, Until: when})
		}
	}
	slices.SortFunc(former, func(a, b FormerAddress) int { return a.Address.Compare(b.Address) })
	return former
}

// changedAddress reads the change of a service's address. An address that was
// not set is returned as the zero value.
func changedAddress(setting string) (from, to netip.AddrPort, ok bool) {
	values, ok := strings.CutPrefix(setting, addressChanged)
	if !ok {
		return from, to, false
	}
	before, after, ok := strings.Cut(values, changedTo)
	from, _ = netip.ParseAddrPort(before)
	to, _ = netip.ParseAddrPort(after)
	return from, to, ok
}
