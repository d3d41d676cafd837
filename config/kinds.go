package config

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind names a kind of object.
type Kind string

// Kinds of objects that operators write.
const (
	KindService   Kind = "Service"
	KindUpstream  Kind = "Upstream"
	KindDefaults  Kind = "Defaults"
	KindException Kind = "Exception"
)

// DefaultsName is the name of the only Defaults object.
const DefaultsName = "fleet"

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as "Kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Hash spreads keys over the shards of a board section.
func (k Key) Hash() uint64 { return xxhash.Sum64String(k.String()) }

// ServiceTag identifies a service in packets. It is a hash of the service's
// name; validation rejects two services of one tag.
type ServiceTag uint32

// TagOf returns the tag of a service name.
func TagOf(service string) ServiceTag { return ServiceTag(xxhash.Sum64String(service)) }

// Object is one immutable version of an object. Exactly one of the four
// specifications is set, matching Kind, unless Deleted is set.
type Object struct {
	Key
	// Version is set by the store and grows with each write of the key, deletion included.
	Version uint64 `json:"-"`
	// Deleted marks a removed object. It stays in the store, so that versions
	// stay monotonic and the audit trail is kept.
	Deleted   bool       `json:"deleted,omitempty"`
	Service   *Service   `json:"service,omitempty"`
	Upstream  *Upstream  `json:"upstream,omitempty"`
	Defaults  *Defaults  `json:"defaults,omitempty"`
	Exception *Exception `json:"exception,omitempty"`
	// Changes are the newest audit entries, newest last, at most MaxChanges.
	Changes []Change `json:"changes,omitempty"`
}

// MaxChanges is the number of audit entries kept in an object.
const MaxChanges = 20

// Change is the audit entry of one write.
type Change struct {
	// OperationID is random and unique; a writer that lost the store's answer finds its write by it.
	OperationID string    `json:"operationId"`
	Who         string    `json:"who"`
	When        time.Time `json:"when"`
	Why         string    `json:"why"`
	// BaseVersion is the version the write was based on; 0 means that the object was created.
	BaseVersion uint64 `json:"baseVersion"`
	// Diff lists the changed settings, one "path: old -> new" each.
	Diff []string `json:"diff,omitempty"`
}

// Service is what callers reach at one address.
type Service struct {
	// Address is the UDP address callers send to. No two services share one.
	Address netip.AddrPort `json:"address"`
	// Long are path prefixes of long work; all other work is classified by its run time.
	Long []string `json:"long,omitempty"`
	// Short are path prefixes of short work.
	Short []string `json:"short,omitempty"`
	// Repeatable changes for path prefixes whether a request may be repeated;
	// the longest prefix wins, and without one the method decides.
	Repeatable []RepeatRule `json:"repeatable,omitempty"`
}

// RepeatRule declares whether requests of a method under a prefix may be repeated.
type RepeatRule struct {
	Method     string `json:"method"`
	Prefix     string `json:"prefix"`
	Repeatable bool   `json:"repeatable"`
}

// Upstream says who may serve a service.
type Upstream struct {
	Service string `json:"service"`
	// Networks are the address ranges of the hosts; an agent outside them is not accepted.
	Networks []netip.Prefix `json:"networks"`
	// Slots is the number of requests that one upstream runs at a time, 1 or more.
	Slots int `json:"slots"`
}

// Defaults are the settings of the whole fleet. A nil field means the built-in
// default, see BuiltinPolicy.
type Defaults struct {
	Settings map[Setting]string `json:"settings"`
}

// Exception changes one setting of one target.
type Exception struct {
	// Target is "service/NAME" or "host/IP"; an exception of a host goes before one of its service.
	Target  string  `json:"target"`
	Setting Setting `json:"setting"`
	Value   string  `json:"value"`
	// Reason is written by the operator and never empty.
	Reason string `json:"reason"`
}
