package config

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// maxSlots is the largest number of slots of an upstream.
const maxSlots = 10_000

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var methodPattern = regexp.MustCompile(`^[A-Z]+$`)

// checker validates loaded objects, each by itself and together with the objects in force.
type checker struct {
	objects []loadedObject
	// byKey holds the objects in force and the loaded ones that replace them, without deleted ones.
	byKey map[Key]Object
	// groups holds the objects of byKey by the values in which they may collide. With it a check of thousands of
	// services does not have to compare every pair.
	groups map[any][]Object
}

// Keys of checker.groups.
type (
	addressGroup   struct{ address netip.AddrPort }
	portGroup      struct{ port uint16 }
	networksGroup  struct{ service string }
	exceptionGroup struct {
		target  string
		setting Setting
	}
)

func newChecker(inForce []Object, objects []loadedObject) *checker {
	c := &checker{objects: objects, byKey: make(map[Key]Object), groups: make(map[any][]Object)}
	for _, o := range inForce {
		if !o.Deleted {
			c.byKey[o.Key] = o
		}
	}
	for _, o := range objects {
		c.byKey[o.Key] = o.Object
	}
	for _, o := range c.byKey {
		for _, group := range collisionGroups(o) {
			c.groups[group] = append(c.groups[group], o)
		}
	}
	for _, list := range c.groups {
		sortObjects(list)
	}
	return c
}

func collisionGroups(o Object) []any {
	switch {
	case o.Service != nil:
		a := o.Service.Address
		return []any{TagOf(o.Name), addressGroup{a}, portGroup{a.Port()}}
	case o.Upstream != nil:
		return []any{networksGroup{o.Upstream.Service}}
	case o.Exception != nil:
		return []any{exceptionGroup{o.Exception.Target, o.Exception.Setting}}
	}
	return nil
}

func (c *checker) check() {
	seen := make(map[Key]bool)
	for _, o := range c.objects {
		c.checkName(o)
		if seen[o.Key] {
			o.doc.Reportf("name", "one document for each object", "second document for %s", o.Key)
		}
		seen[o.Key] = true
		switch {
		case o.Service != nil:
			c.checkService(o)
		case o.Upstream != nil:
			c.checkUpstream(o)
		case o.Defaults != nil:
			c.checkDefaults(o)
		case o.Exception != nil:
			c.checkException(o)
		}
	}
}

// others returns the objects of a group except the one with key k, ordered by key.
func (c *checker) others(k Key, group any) []Object {
	return slices.DeleteFunc(slices.Clone(c.groups[group]), func(o Object) bool { return o.Key == k })
}

func (c *checker) checkName(o loadedObject) {
	if !o.doc.Has("name") || o.doc.Failed("name") {
		return
	}
	if !namePattern.MatchString(o.Name) {
		o.doc.Reportf("name", "lower-case letters, digits and inner hyphens, at most 63", "name %q", o.Name)
	}
	if o.Kind == KindDefaults && o.Name != DefaultsName {
		o.doc.Reportf("name", DefaultsName, "name %q of Defaults", o.Name)
	}
}

func (c *checker) checkService(o loadedObject) {
	s := o.Service
	if o.doc.Has("spec.address") && !o.doc.Failed("spec.address") {
		c.checkAddress(o)
	}
	for i, p := range s.ShortPrefixes {
		checkPrefix(o, fmt.Sprintf("spec.short[%d]", i), p)
	}
	for i, p := range s.LongPrefixes {
		key := fmt.Sprintf("spec.long[%d]", i)
		checkPrefix(o, key, p)
		if slices.Contains(s.ShortPrefixes, p) {
			o.doc.Reportf(key, "each prefix in only one of short and long", "prefix %q is both short and long", p)
		}
	}
	for i, r := range s.Repeatable {
		key := fmt.Sprintf("spec.repeatable[%d]", i)
		checkPrefix(o, key+".prefix", r.Prefix)
		if !o.doc.Failed(key+".method") && !methodPattern.MatchString(r.Method) {
			o.doc.Reportf(key+".method", "an HTTP method such as POST", "method %q", r.Method)
		}
	}
	for _, other := range c.others(o.Key, TagOf(o.Name)) {
		o.doc.Reportf("name", "a name with another tag", "tag %08x is that of service %q", uint32(TagOf(o.Name)), other.Name)
	}
}

func checkPrefix(o loadedObject, key, prefix string) {
	if !o.doc.Failed(key) && !strings.HasPrefix(prefix, "/") {
		o.doc.Reportf(key, "a path prefix that starts with /", "prefix %q", prefix)
	}
}

func (c *checker) checkAddress(o loadedObject) {
	a := o.Service.Address
	if !a.Addr().Is4() || a.Port() == 0 {
		o.doc.Reportf("spec.address", "an IPv4 address with a port above 0", "address %s", a)
		return
	}
	for _, other := range c.collidingServices(o, a) {
		o.doc.Reportf("spec.address", "an address that no other service uses", "address %s overlaps with %s of service %q", a, other.Service.Address, other.Name)
	}
}

// collidingServices returns the services whose sockets could not be bound together with one at address a. For a
// specific address these are the services with the same address, or with the wildcard address and the same port.
// For the wildcard address they are all services with the same port.
func (c *checker) collidingServices(o loadedObject, a netip.AddrPort) []Object {
	if a.Addr().IsUnspecified() {
		return c.others(o.Key, portGroup{a.Port()})
	}
	wildcard := netip.AddrPortFrom(netip.IPv4Unspecified(), a.Port())
	return append(c.others(o.Key, addressGroup{a}), c.others(o.Key, addressGroup{wildcard})...)
}

func (c *checker) checkUpstream(o loadedObject) {
	u := o.Upstream
	if o.doc.Has("spec.slots") && !o.doc.Failed("spec.slots") && (u.Slots < 1 || u.Slots > maxSlots) {
		o.doc.Reportf("spec.slots", fmt.Sprintf("an integer from 1 to %d", maxSlots), "%d slots", u.Slots)
	}
	if o.doc.Has("spec.networks") && !o.doc.Failed("spec.networks") && len(u.Networks) == 0 {
		o.doc.Reportf("spec.networks", "at least one network", "no networks")
	}
	c.checkReference(o, "spec.service", u.Service)
	for i, n := range u.Networks {
		key := fmt.Sprintf("spec.networks[%d]", i)
		if o.doc.Failed(key) {
			continue
		}
		if !n.Addr().Is4() || n != n.Masked() {
			o.doc.Reportf(key, fmt.Sprintf("an IPv4 network without host bits such as %s", n.Masked()), "network %s", n)
			continue
		}
		c.checkOverlap(o, key, n, i)
	}
}

// checkOverlap rejects overlapping networks within one service, which would make the number of slots of a host
// ambiguous. Different services may share networks.
func (c *checker) checkOverlap(o loadedObject, key string, n netip.Prefix, i int) {
	for _, earlier := range o.Upstream.Networks[:i] {
		if earlier.Overlaps(n) {
			o.doc.Reportf(key, "networks that don't overlap", "network %s overlaps with %s", n, earlier)
		}
	}
	for _, other := range c.others(o.Key, networksGroup{o.Upstream.Service}) {
		for _, m := range other.Upstream.Networks {
			if m.Overlaps(n) {
				o.doc.Reportf(key, "networks that don't overlap", "network %s overlaps with %s of upstream %q", n, m, other.Name)
			}
		}
	}
}

func (c *checker) checkReference(o loadedObject, key, service string) {
	if !o.doc.Has(key) || o.doc.Failed(key) {
		return
	}
	if _, ok := c.byKey[Key{Kind: KindService, Name: service}]; !ok {
		o.doc.Reportf(key, "the name of a service in the files or in force", "no service %q", service)
	}
}

func (c *checker) checkDefaults(o loadedObject) {
	for _, s := range slices.Sorted(maps.Keys(o.Defaults.Settings)) {
		key := "spec.settings." + string(s)
		if o.doc.Failed(key) {
			continue
		}
		if ruleBySetting[s].exceptionOnly {
			o.doc.Reportf(key, "an Exception with this setting", "%s is not allowed in Defaults", s)
			continue
		}
		checkSetting(o, key, key, s, o.Defaults.Settings[s])
	}
}

// checkSetting reports an unknown setting at nameKey and an invalid value at valueKey.
func checkSetting(o loadedObject, nameKey, valueKey string, s Setting, value string) {
	if _, ok := ruleBySetting[s]; !ok {
		o.doc.Reportf(nameKey, "one of "+settingNames(), "unknown setting %q", s)
		return
	}
	if _, err := BuiltinPolicy().With(s, value); err != nil {
		o.doc.Reportf(valueKey, ExpectedForm(s), "value %q", value)
	}
}

func settingNames() string {
	var out []string
	for _, s := range Settings() {
		out = append(out, string(s))
	}
	return strings.Join(out, ", ")
}

func (c *checker) checkException(o loadedObject) {
	e := o.Exception
	if o.doc.Has("spec.reason") && !o.doc.Failed("spec.reason") && strings.TrimSpace(e.Reason) == "" {
		o.doc.Reportf("spec.reason", "a reason that is not empty", "empty reason")
	}
	if o.doc.Has("spec.setting") && o.doc.Has("spec.value") && !o.doc.Failed("spec.setting") && !o.doc.Failed("spec.value") {
		checkSetting(o, "spec.setting", "spec.value", e.Setting, e.Value)
	}
	if o.doc.Has("spec.target") && !o.doc.Failed("spec.target") {
		c.checkTarget(o)
	}
	for _, other := range c.others(o.Key, exceptionGroup{e.Target, e.Setting}) {
		o.doc.Reportf("spec.setting", "one exception for each target and setting", "exception %q also sets %s of %s", other.Name, e.Setting, e.Target)
	}
}

func (c *checker) checkTarget(o loadedObject) {
	target, err := ParseTarget(o.Exception.Target)
	if err != nil {
		o.doc.Reportf("spec.target", "service/NAME or host/IP", "target %q", o.Exception.Target)
		return
	}
	if target.Service != "" {
		c.checkReference(o, "spec.target", target.Service)
		if ruleBySetting[o.Exception.Setting].hostOnly {
			o.doc.Reportf("spec.target", "host/IP", "%s applies to hosts only", o.Exception.Setting)
		}
		return
	}
	for _, u := range c.byKey {
		if u.Upstream != nil && u.Upstream.Contains(target.Host) {
			return
		}
	}
	o.doc.Reportf("spec.target", "a host in a network of an Upstream", "no Upstream holds host %s", target.Host)
}
