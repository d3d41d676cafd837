package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Prefixes of the targets of exceptions.
const (
	serviceTargetPrefix = "service/"
	hostTargetPrefix    = "host/"
)

// Target is what an exception applies to. Exactly one of its fields is set.
type Target struct {
	Service string
	Host    netip.Addr
}

// ParseTarget parses "service/NAME" or "host/IP". Errors are of kind errors.NotValid.
func ParseTarget(text string) (Target, error) {
	if name, ok := strings.CutPrefix(text, serviceTargetPrefix); ok && name != "" {
		return Target{Service: name}, nil
	}
	if ip, ok := strings.CutPrefix(text, hostTargetPrefix); ok {
		addr, err := netip.ParseAddr(ip)
		if err != nil {
			return Target{}, errors.NewNotValid(fmt.Errorf("reading the address: %w", err), "target "+text)
		}
		return Target{Host: addr}, nil
	}
	return Target{}, errors.NotValidf("target %q, expected service/NAME or host/IP", text)
}

// ServiceTarget returns the target that denotes a service.
func ServiceTarget(name string) string { return serviceTargetPrefix + name }

// HostTarget returns the target that denotes a host.
func HostTarget(host netip.Addr) string { return hostTargetPrefix + host.String() }

// removeFromIndex removes an object from the indexes. The caller must hold v.mu.
func (v *View) removeFromIndex(o Object) {
	v.updateIndex(o, func(list []Object) []Object {
		return slices.DeleteFunc(slices.Clone(list), func(other Object) bool { return other.Key == o.Key })
	})
}

// addToIndex adds an object to the indexes. The caller must hold v.mu.
func (v *View) addToIndex(o Object) {
	v.updateIndex(o, func(list []Object) []Object {
		out := append(slices.Clone(list), o)
		// The last one, written most recently, wins if two exceptions change the same setting.
		slices.SortFunc(out, func(a, b Object) int {
			if a.Version != b.Version {
				if a.Version < b.Version {
					return -1
				}
				return 1
			}
			return strings.Compare(a.Name, b.Name)
		})
		return out
	})
}

// updateIndex replaces the list that holds an object of its kind. Objects without a valid specification are not
// indexed.
func (v *View) updateIndex(o Object, change func([]Object) []Object) {
	switch {
	case o.Service != nil:
		v.updateService(o.Name, func(ix *serviceIndex) { ix.service = change(ix.service) })
	case o.Upstream != nil:
		v.updateService(o.Upstream.Service, func(ix *serviceIndex) { ix.upstreams = change(ix.upstreams) })
	case o.Exception != nil:
		v.updateExceptions(o, change)
	}
}

func (v *View) updateExceptions(o Object, change func([]Object) []Object) {
	target, err := ParseTarget(o.Exception.Target)
	if err != nil {
		return
	}
	if target.Service != "" {
		v.updateService(target.Service, func(ix *serviceIndex) { ix.exceptions = change(ix.exceptions) })
		return
	}
	v.hosts.Update(target.Host, func(old []Object, _ bool) ([]Object, bool) { return change(old), true })
}

func (v *View) updateService(name string, change func(*serviceIndex)) {
	v.services.Update(name, func(old serviceIndex, _ bool) (serviceIndex, bool) {
		change(&old)
		return old, true
	})
	v.names.Update(TagOf(name), func(old []string, _ bool) ([]string, bool) {
		at, known := slices.BinarySearch(old, name)
		if known {
			return old, false
		}
		return slices.Insert(slices.Clone(old), at, name), true
	})
}
