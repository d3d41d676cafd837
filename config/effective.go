package config

import "net/netip"

// SourceBuiltin is the source of settings that neither Defaults nor an Exception sets.
const SourceBuiltin = "built-in"

// Explanation describes where the effective value of a setting comes from.
type Explanation struct {
	Setting Setting `json:"setting"`
	// Value is the effective value in the form that operators write.
	Value string `json:"value"`
	// Source is SourceBuiltin or the key of the object that sets the value.
	Source string `json:"source"`
	// Version is the version of the source object; 0 for SourceBuiltin.
	Version uint64 `json:"version,omitempty"`
	// Reason is the operator's reason if the source is an Exception.
	Reason string `json:"reason,omitempty"`
}

// Policy returns the effective settings of a service and host: the built-in values, overridden by Defaults, then
// by the exceptions of the service, then by those of the host. A zero host stands for the service as a whole.
// Values that this version of the program does not accept are ignored.
func (v *View) Policy(service string, host netip.Addr) Policy {
	p := BuiltinPolicy()
	v.forEachSetting(service, host, func(_ Object, s Setting, value string) {
		if next, err := p.With(s, value); err == nil {
			p = next
		}
	})
	return p
}

// Explain returns the effective value of each setting with its source.
func (v *View) Explain(service string, host netip.Addr) []Explanation {
	p := BuiltinPolicy()
	from := make(map[Setting]Object)
	v.forEachSetting(service, host, func(o Object, s Setting, value string) {
		if next, err := p.With(s, value); err == nil {
			p = next
			from[s] = o
		}
	})
	out := make([]Explanation, 0, len(rules))
	for _, s := range Settings() {
		e := Explanation{Setting: s, Value: p.Value(s), Source: SourceBuiltin}
		if o, ok := from[s]; ok {
			e.Source = o.String()
			e.Version = o.Version
			if o.Exception != nil {
				e.Reason = o.Exception.Reason
			}
		}
		out = append(out, e)
	}
	return out
}

// forEachSetting calls apply for each value that is set for a service and host, in order of increasing
// precedence.
func (v *View) forEachSetting(service string, host netip.Addr, apply func(o Object, s Setting, value string)) {
	if o, ok := v.Get(Key{Kind: KindDefaults, Name: DefaultsName}); ok && !o.Deleted && o.Defaults != nil {
		for s, value := range o.Defaults.Settings {
			apply(o, s, value)
		}
	}
	ix, _ := v.services.Get(service)
	onHost, _ := v.hosts.Get(host)
	for _, list := range [][]Object{ix.exceptions, onHost} {
		for _, o := range list {
			if !o.Deleted {
				apply(o, o.Exception.Setting, o.Exception.Value)
			}
		}
	}
}
