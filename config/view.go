package config

import (
	"context"
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"endiveflow.example/endiveflow/board"
)

// View holds the configuration known to a process. Versions only increase: of two versions of an object the
// higher one is kept, in whatever order they arrive. A View is safe for concurrent use.
type View struct {
	// mu serializes Apply, so that the indexes change in the same order as the objects.
	mu      sync.Mutex
	objects *board.Section[Key, Object]
	// services indexes objects by the name of their service; its values are immutable.
	services *board.Section[string, serviceIndex]
	// names holds the names of services by tag, in order; its values are immutable. Validation rejects a second service with a tag, but
	// two operators may apply one each at the same time; the first live one has the tag then.
	names *board.Section[ServiceTag, []string]
	// hosts indexes exceptions by host; its values are immutable.
	hosts *board.Section[netip.Addr, []Object]
	// digest is the sum of the digests of the objects, see DigestOf.
	digest  atomic.Uint64
	version atomic.Uint64
}

// serviceIndex holds the objects of one service. It includes deleted objects, as agents must learn of deletions;
// lookups skip them.
type serviceIndex struct {
	// service is empty while only upstreams or exceptions name the service.
	service    []Object
	upstreams  []Object
	exceptions []Object
}

// liveService returns the service object, unless it is unknown or deleted.
func (ix serviceIndex) liveService() (Object, bool) {
	if len(ix.service) == 0 || ix.service[len(ix.service)-1].Deleted {
		return Object{}, false
	}
	return ix.service[len(ix.service)-1], true
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		objects:  board.NewSection[Key, Object](board.Config[Key]{Hash: Key.Hash}),
		services: board.NewSection[string, serviceIndex](board.Config[string]{Hash: xxhash.Sum64String}),
		names:    board.NewSection[ServiceTag, []string](board.Config[ServiceTag]{Hash: func(t ServiceTag) uint64 { return uint64(t) }}),
		hosts:    board.NewSection[netip.Addr, []Object](board.Config[netip.Addr]{Hash: hashAddr}),
	}
}

func hashAddr(a netip.Addr) uint64 {
	b := a.As16()
	return xxhash.Sum64(b[:])
}

// Apply adds an object to the view if its version is higher than the known one of its key, and reports whether
// it did. The object must not be modified afterwards.
func (v *View) Apply(o Object) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.objects.Get(o.Key)
	if o.Version == 0 || known && o.Version <= old.Version {
		return false
	}
	if known {
		v.removeFromIndex(old)
	}
	v.addToIndex(o)
	delta := digestOf(o)
	if known {
		delta -= digestOf(old)
	}
	v.digest.Add(delta)
	if o.Version > v.version.Load() {
		v.version.Store(o.Version)
	}
	// The section is written last, so that notified subscribers find the indexes up to date.
	v.objects.Put(o.Key, o)
	return true
}

// Get returns the known version of an object, which may be deleted.
func (v *View) Get(k Key) (Object, bool) { return v.objects.Get(k) }

// Objects returns all known objects, including deleted ones, ordered by key.
func (v *View) Objects() []Object {
	snap := v.objects.Snapshot()
	out := make([]Object, 0, len(snap))
	for _, o := range snap {
		out = append(out, o)
	}
	sortObjects(out)
	return out
}

// Services returns the live services by name, one for each tag.
func (v *View) Services() map[string]Service {
	out := make(map[string]Service)
	for tag := range v.names.Snapshot() {
		if name, service, ok := v.Service(tag); ok {
			out[name] = service
		}
	}
	return out
}

// Service returns the name and the specification of the live service with a tag.
func (v *View) Service(tag ServiceTag) (string, Service, bool) {
	names, _ := v.names.Get(tag)
	for _, name := range names {
		if service, ok := v.ServiceNamed(name); ok {
			return name, service, true
		}
	}
	return "", Service{}, false
}

// ServiceNamed returns the specification of the live service with a name.
func (v *View) ServiceNamed(name string) (Service, bool) {
	ix, _ := v.services.Get(name)
	o, ok := ix.liveService()
	if !ok {
		return Service{}, false
	}
	return *o.Service, true
}

// AllowsHost reports whether a network of an Upstream of the service contains the host.
func (v *View) AllowsHost(tag ServiceTag, host netip.Addr) bool {
	names, _ := v.names.Get(tag)
	if live, _, ok := v.Service(tag); ok {
		names = []string{live}
	}
	for _, name := range names {
		ix, _ := v.services.Get(name)
		for _, o := range ix.upstreams {
			if !o.Deleted && o.Upstream.Contains(host) {
				return true
			}
		}
	}
	return false
}

// Contains reports whether one of the networks contains the host.
func (u *Upstream) Contains(host netip.Addr) bool {
	for _, n := range u.Networks {
		if n.Contains(host) {
			return true
		}
	}
	return false
}

// ObjectsFor returns the objects that an agent of a service needs, ordered by key: the service, its upstreams
// and exceptions, Defaults, and the exceptions of hosts in its networks. Deleted objects are included, so that
// the agent learns of deletions. Views with the same objects return the same list.
func (v *View) ObjectsFor(tag ServiceTag) []Object {
	var out, upstreams []Object
	names, _ := v.names.Get(tag)
	for _, name := range names {
		ix, _ := v.services.Get(name)
		out = slices.Concat(out, ix.service, ix.upstreams, ix.exceptions)
		upstreams = append(upstreams, ix.upstreams...)
	}
	if o, ok := v.Get(Key{Kind: KindDefaults, Name: DefaultsName}); ok {
		out = append(out, o)
	}
	for host, exceptions := range v.hosts.Snapshot() {
		if slices.ContainsFunc(upstreams, func(o Object) bool { return o.Upstream.Contains(host) }) {
			out = append(out, exceptions...)
		}
	}
	sortObjects(out)
	return out
}

// DigestFor returns the digest of ObjectsFor.
func (v *View) DigestFor(tag ServiceTag) uint64 { return DigestOf(v.ObjectsFor(tag)) }

// Digest returns the digest of all known objects.
func (v *View) Digest() uint64 { return v.digest.Load() }

// Version returns the highest known version; 0 for an empty view.
func (v *View) Version() uint64 { return v.version.Load() }

// Subscribe returns a channel that reports the keys of changed objects until ctx ends.
func (v *View) Subscribe(ctx context.Context) <-chan board.Changed[Key] {
	return v.objects.Subscribe(ctx)
}

// DigestOf returns a digest of the keys and versions of objects, independent of their order.
func DigestOf(objects []Object) uint64 {
	var sum uint64
	for _, o := range objects {
		sum += digestOf(o)
	}
	return sum
}

func digestOf(o Object) uint64 {
	b := append([]byte(o.String()), 0)
	b = binary.BigEndian.AppendUint64(b, o.Version)
	return xxhash.Sum64(b)
}

func sortObjects(objects []Object) {
	sort.Slice(objects, func(i, j int) bool { return objects[i].less(objects[j].Key) })
}

func (k Key) less(other Key) bool {
	if k.Kind != other.Kind {
		return k.Kind < other.Kind
	}
	return k.Name < other.Name
}
