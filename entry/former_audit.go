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
	// Networks are the networks whose hosts served a service until it was deleted; nil for other services,
	// whose networks are in the configuration.
	Networks []netip.Prefix
}

// Prefixes and separators of the settings in audit entries.
const (
	addressChanged = "address: "
	changedTo      = " -> "
	serviceDeleted = "deleted: false -> true"
)

// FormerAddresses returns a function for ForwarderConfig.Former that reads the audit entries in a view. It
// is how an entry that starts after a change of address finds the former one. The audit entries are read
// again only after the view has changed. The returned function is not safe for concurrent use.
func FormerAddresses(v *config.View) func() []FormerAddress {
	var digest uint64
	var former []FormerAddress
	return func() []FormerAddress {
		if d := v.Digest(); d != digest {
			digest = d
			former = formerAddressesIn(v.Objects())
		}
		return former
	}
}

// formerAddressesIn returns the former addresses in the audit entries, each with the time when it was last
// removed. An object keeps only its last 20 audit entries.
func formerAddressesIn(objects []config.Object) []FormerAddress {
	networks := deletedNetworks(objects)
	var all []FormerAddress
	for _, o := range objects {
		if o.Kind != config.KindService {
			continue
		}
		former := formerAddressesOf(o)
		if o.Deleted {
			for i := range former {
				former[i].Networks = networks[o.Name]
			}
		}
		all = append(all, former...)
	}
	return all
}

// deletedNetworks returns the networks of deleted Upstreams by service. Upstreams are always deleted before
// their service.
func deletedNetworks(objects []config.Object) map[string][]netip.Prefix {
	networks := make(map[string][]netip.Prefix)
	for _, o := range objects {
		if o.Deleted && o.Upstream != nil {
			networks[o.Upstream.Service] = append(networks[o.Upstream.Service], o.Upstream.Networks...)
		}
	}
	return networks
}

// formerAddressesOf returns the former addresses of a service without their networks.
func formerAddressesOf(o config.Object) []FormerAddress {
	until := make(map[netip.AddrPort]time.Time)
	var current netip.AddrPort
	if o.Deleted && o.Service != nil {
		// The audit entry of the change that set the address may no longer be kept.
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

// changedAddress parses the change of a service's address. An address that was not set is returned as the
// zero value.
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
