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
	targetService = "service/"
	targetHost    = "host/"
)

// Target is what an exception applies to: exactly one of its fields is set.
type Target struct {
	Service string
	Host    netip.Addr
}

// ParseTarget reads "service/NAME" or "host/IP". Errors are of kind errors.NotValid.
func ParseTarget(text string) (Target, error) {
	if name, ok := strings.CutPrefix(text, targetService); ok && name != "" {
		return Target{Service: name}, nil
	}
	if ip, ok := strings.CutPrefix(text, targetHost); ok {
		addr, err := netip.ParseAddr(ip)
		if err != nil {
			return Target{}, errors.NewNotValid(fmt.Errorf("reading the address: %w", err), "target "+text)
		}
		return Target{Host: addr}, nil
	}
	return Target{}, errors.NotValidf("target %q, expected service/NAME or host/IP", text)
}

// ServiceTarget returns the target text of a service.
func ServiceTarget(name string) string { return targetService + name }

// HostTarget returns the target text of a host.
func HostTarget(host netip.Addr) string { return targetHost + host.String() }

// unindex takes an object out of the indexes; v.mu is held.
func (v *View) unindex(o Object) {
	v.changeIndex(o, func(list []Object) []Object {
		return slices.DeleteFunc(slices.Clone(list), func(other Object) bool { return other.Key == o.Key })
	})
}

// reindex puts an object into the indexes; v.mu is held.
func (v *View) reindex(o Object) {
	v.changeIndex(o, func(list []Object) []Object {
		out := append(slices.Clone(list), o)
		// The newest write goes last and wins where two exceptions change one setting.
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

// changeIndex replaces the list that holds an object of its kind. Objects
// without a usable specification are in no index.
func (v *View) changeIndex(o Object, change func([]Object) []Object) {
	switch {
	case o.Service != nil:
		v.updateService(TagOf(o.Name), func(ix *serviceIndex) { ix.service = change(ix.service) })
	case o.Upstream != nil:
		v.updateService(TagOf(o.Upstream.Service), func(ix *serviceIndex) { ix.upstreams = change(ix.upstreams) })
	case o.Exception != nil:
		v.changeException(o, change)
	}
}

func (v *View) changeException(o Object, change func([]Object) []Object) {
	target, err := ParseTarget(o.Exception.Target)
	if err != nil {
		return
	}
	if target.Service != "" {
		v.updateService(TagOf(target.Service), func(ix *serviceIndex) { ix.exceptions = change(ix.exceptions) })
		return
	}
	v.hosts.Update(target.Host, func(old []Object, _ bool) ([]Object, bool) { return change(old), true })
}

func (v *View) updateService(tag ServiceTag, change func(*serviceIndex)) {
	v.index.Update(tag, func(old serviceIndex, _ bool) (serviceIndex, bool) {
		change(&old)
		return old, true
	})
}
