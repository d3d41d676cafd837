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

// View is the configuration that a process knows, held in a board section.
// Versions only grow: of two versions of one object the higher one stays,
// whatever the order in which they arrive. It is safe for concurrent use.
type View struct {
	// mu serializes Apply, so that the indexes change in the order of the objects.
	mu      sync.Mutex
	objects *board.Section[Key, Object]
	// index holds what is looked up per service; its values are immutable.
	index *board.Section[ServiceTag, serviceIndex]
	// hosts holds the exceptions of each host; its values are immutable.
	hosts *board.Section[netip.Addr, []Object]
	// digest is the sum of the objects' digests, see DigestOf.
	digest  atomic.Uint64
	version atomic.Uint64
}

// serviceIndex is what a View looks up by service. Deleted objects are in it,
// because agents must learn of them; lookups pass over them.
type serviceIndex struct {
	// service is empty while only upstreams or exceptions name the service.
	service    []Object
	upstreams  []Object
	exceptions []Object
}

// live returns the service object unless it is unknown or deleted.
func (ix serviceIndex) live() (Object, bool) {
	if len(ix.service) == 0 || ix.service[len(ix.service)-1].Deleted {
		return Object{}, false
	}
	return ix.service[len(ix.service)-1], true
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		objects: board.NewSection[Key, Object](board.Config[Key]{Hash: Key.Hash}),
		index:   board.NewSection[ServiceTag, serviceIndex](board.Config[ServiceTag]{Hash: func(t ServiceTag) uint64 { return uint64(t) }}),
		hosts:   board.NewSection[netip.Addr, []Object](board.Config[netip.Addr]{Hash: hashAddr}),
	}
}

func hashAddr(a netip.Addr) uint64 {
	b := a.As16()
	return xxhash.Sum64(b[:])
}

// Apply takes an object into the view and reports whether it did. It takes only
// versions above the known one of the key. The object must not be modified afterwards.
func (v *View) Apply(o Object) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.objects.Get(o.Key)
	if o.Version == 0 || known && o.Version <= old.Version {
		return false
	}
	if known {
		v.unindex(old)
	}
	v.reindex(o)
	delta := digestOf(o)
	if known {
		delta -= digestOf(old)
	}
	v.digest.Add(delta)
	if o.Version > v.version.Load() {
		v.version.Store(o.Version)
	}
	// The section is written last: a subscriber that is told of the key finds the indexes current.
	v.objects.Put(o.Key, o)
	return true
}

// Get returns the known version of an object, which may be a deleted one.
func (v *View) Get(k Key) (Object, bool) { return v.objects.Get(k) }

// Objects returns all known objects, deleted ones included, ordered by key.
func (v *View) Objects() []Object {
	snap := v.objects.Snapshot()
	out := make([]Object, 0, len(snap))
	for _, o := range snap {
		out = append(out, o)
	}
	sortObjects(out)
	return out
}

// Services returns the services by name.
func (v *View) Services() map[string]Service {
	out := make(map[string]Service)
	for _, ix := range v.index.Snapshot() {
		if o, ok := ix.live(); ok {
			out[o.Name] = *o.Service
		}
	}
	return out
}

// Service returns the service of a tag and its name.
func (v *View) Service(tag ServiceTag) (string, Service, bool) {
	ix, _ := v.index.Get(tag)
	o, ok := ix.live()
	if !ok {
		return "", Service{}, false
	}
	return o.Name, *o.Service, true
}

// AllowsHost says whether an Upstream of the service has a network that holds the host.
func (v *View) AllowsHost(tag ServiceTag, host netip.Addr) bool {
	ix, _ := v.index.Get(tag)
	for _, o := range ix.upstreams {
		if !o.Deleted && o.Upstream.Contains(host) {
			return true
		}
	}
	return false
}

// Contains says whether the host is in one of the networks.
func (u *Upstream) Contains(host netip.Addr) bool {
	for _, n := range u.Networks {
		if n.Contains(host) {
			return true
		}
	}
	return false
}

// ObjectsFor returns what an agent of a service needs, ordered by key: the
// service, its upstreams and exceptions, Defaults, and the exceptions of hosts
// in its networks. Deleted objects are included, so that the agent learns of
// the deletion. Given the same objects, two views return the same list.
func (v *View) ObjectsFor(tag ServiceTag) []Object {
	ix, _ := v.index.Get(tag)
	out := slices.Concat(ix.service, ix.upstreams, ix.exceptions)
	if o, ok := v.Get(Key{Kind: KindDefaults, Name: DefaultsName}); ok {
		out = append(out, o)
	}
	for host, exceptions := range v.hosts.Snapshot() {
		if slices.ContainsFunc(ix.upstreams, func(o Object) bool { return o.Upstream.Contains(host) }) {
			out = append(out, exceptions...)
		}
	}
	sortObjects(out)
	return out
}

// DigestFor identifies the keys and versions of ObjectsFor.
func (v *View) DigestFor(tag ServiceTag) uint64 { return DigestOf(v.ObjectsFor(tag)) }

// Digest identifies the keys and versions of all known objects.
func (v *View) Digest() uint64 { return v.digest.Load() }

// Version returns the highest known version, 0 for an empty view.
func (v *View) Version() uint64 { return v.version.Load() }

// Subscribe returns the keys of changed objects until ctx ends.
func (v *View) Subscribe(ctx context.Context) <-chan board.Changed[Key] {
	return v.objects.Subscribe(ctx)
}

// DigestOf identifies the keys and versions of a list of objects, whatever their order.
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
