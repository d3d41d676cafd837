package config

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of an object.
type Kind string

// Kinds of objects that operators write.
const (
	KindService   Kind = "Service"
	KindUpstream  Kind = "Upstream"
	KindDefaults  Kind = "Defaults"
	KindException Kind = "Exception"
)

// DefaultsName is the name of the single Defaults object.
const DefaultsName = "fleet"

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as "Kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Hash distributes keys over the shards of a board section.
func (k Key) Hash() uint64 { return xxhash.Sum64String(k.String()) }

// ServiceTag identifies a service in packets. It is a hash of the service's name; validation rejects two
// services with the same tag. If two were applied at the same time, a View ignores one of them.
type ServiceTag uint32

// TagOf returns the tag of a service name.
func TagOf(service string) ServiceTag { return ServiceTag(xxhash.Sum64String(service)) }

// Object is one immutable version of an object. Exactly one of the four specifications is set, matching Kind,
// unless Deleted is set.
type Object struct {
	Key
	// Version is assigned by the store and increases with each write of the key, including a deletion.
	Version uint64 `json:"-"`
	// Deleted marks a deleted object. It stays in the store, so that versions keep increasing and the audit
	// entries are kept.
	Deleted   bool       `json:"deleted,omitempty"`
	Service   *Service   `json:"service,omitempty"`
	Upstream  *Upstream  `json:"upstream,omitempty"`
	Defaults  *Defaults  `json:"defaults,omitempty"`
	Exception *Exception `json:"exception,omitempty"`
	// Changes holds the most recent audit entries, newest last, at most MaxChanges.
	Changes []Change `json:"changes,omitempty"`
}

// MaxChanges is the number of audit entries kept with an object.
const MaxChanges = 20

// Change is the audit entry of one write.
type Change struct {
	// OperationID is random and unique. A writer that lost the store's answer uses it to find its write.
	OperationID string    `json:"operationId"`
	Who         string    `json:"who"`
	When        time.Time `json:"when"`
	Why         string    `json:"why"`
	// BaseVersion is the version on which the write was based; 0 means that the object was created.
	BaseVersion uint64 `json:"baseVersion"`
	// Diff lists the changed settings, each as "path: old -> new".
	Diff []string `json:"diff,omitempty"`
}

// Service is a service that callers reach at one address.
type Service struct {
	// Address is the UDP address to which callers send. It is unique among services.
	Address netip.AddrPort `json:"address"`
	// LongPrefixes are the path prefixes of long work. Work under neither LongPrefixes nor ShortPrefixes is
	// classified by its run time.
	LongPrefixes []string `json:"long,omitempty"`
	// ShortPrefixes are the path prefixes of short work.
	ShortPrefixes []string `json:"short,omitempty"`
	// Repeatable overrides, for path prefixes, whether a request may be repeated. The longest prefix wins;
	// without a match the method decides.
	Repeatable []RepeatRule `json:"repeatable,omitempty"`
}

// RepeatRule declares whether requests of a method under a prefix may be repeated.
type RepeatRule struct {
	Method     string `json:"method"`
	Prefix     string `json:"prefix"`
	Repeatable bool   `json:"repeatable"`
}

// Upstream declares which hosts may serve a service.
type Upstream struct {
	Service string `json:"service"`
	// Networks holds the address ranges of the hosts. Agents outside them are not accepted.
	Networks []netip.Prefix `json:"networks"`
	// Slots is the number of requests that one upstream runs concurrently, at least 1.
	Slots int `json:"slots"`
}

// Defaults holds the settings of the whole fleet. A setting that is absent has its built-in value, see
// BuiltinPolicy.
type Defaults struct {
	Settings map[Setting]string `json:"settings"`
}

// Exception changes one setting of one target.
type Exception struct {
	// Target is "service/NAME" or "host/IP". An exception of a host takes precedence over one of its service.
	Target  string  `json:"target"`
	Setting Setting `json:"setting"`
	Value   string  `json:"value"`
	// Reason is written by the operator and must not be empty.
	Reason string `json:"reason"`
}
