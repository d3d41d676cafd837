package standin

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/platform"
)

// Defaults of PlatformConfig.
const (
	DefaultKeepChanges = 10_000
	DefaultPageObjects = 500
)

// stopGrace bounds how long a stopping platform waits for open calls.
const stopGrace = time.Second

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// Address is the address that Run listens on; port 0 picks a free port.
	Address string
	// KeepChanges is the number of changes that a watch can start behind; 0 means DefaultKeepChanges.
	KeepChanges int
	// PageObjects bounds the objects in one answer; 0 means DefaultPageObjects.
	PageObjects int
}

// Switches are the failures that a Platform shows.
type Switches struct {
	// Outage refuses every call with 503.
	Outage bool `json:"outage"`
	// Delay holds each call before it takes effect. A write takes effect even
	// when its caller has given up meanwhile.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of coming writes that take effect but get no answer.
	LoseAnswers int `json:"loseAnswers"`
	// StaleRevision lets reads answer as of a past revision; 0 means the present.
	StaleRevision uint64 `json:"staleRevision"`
}

// Platform is an in-memory server of the object API, see package platform. It
// is safe for concurrent use.
type Platform struct {
	cfg PlatformConfig
	mu  sync.Mutex
	// All below is guarded by mu.
	revision uint64
	// versions holds every version of each key, oldest first.
	versions map[string][]platform.Object
	// changes holds the newest writes, oldest first, at most cfg.KeepChanges.
	changes []change
	// dropped is the revision of the newest change that is no longer in changes.
	dropped uint64
	// woken is closed and replaced when a waiting watch must look again.
	woken    chan struct{}
	switches Switches
	calls    map[string]uint64
	address  net.Addr
}

// change is one write.
type change struct {
	revision uint64
	key      string
}

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	if cfg.KeepChanges <= 0 {
		cfg.KeepChanges = DefaultKeepChanges
	}
	if cfg.PageObjects <= 0 {
		cfg.PageObjects = DefaultPageObjects
	}
	return &Platform{
		cfg:      cfg,
		versions: make(map[string][]platform.Object),
		woken:    make(chan struct{}),
		calls:    make(map[string]uint64),
	}
}

// Run serves the object API until ctx ends and reports its end on the channel.
// Addr is set when Run returns.
func (p *Platform) Run(ctx context.Context) (<-chan error, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", p.cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listening for the object API: %w", err)
	}
	p.mu.Lock()
	p.address = listener.Addr()
	p.mu.Unlock()
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: stopGrace}
	done := make(chan error, 1)
	go func() {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	context.AfterFunc(ctx, func() { stop(server) })
	return done, nil
}

// stop lets open calls end and then closes them: a waiting watch may last longer.
func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// Addr returns the address that Run listens on, or nil before.
func (p *Platform) Addr() net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Set replaces the switches. Waiting watches see them at once.
func (p *Platform) Set(s Switches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches = s
	p.wake()
}

// Switches returns the current switches.
func (p *Platform) Switches() Switches {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.switches
}

// Revision returns the revision of the newest write.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// Calls returns the number of calls so far by operation, refused ones included.
func (p *Platform) Calls() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]uint64, len(p.calls))
	for op, n := range p.calls {
		out[op] = n
	}
	return out
}

// wake lets waiting watches look again; p.mu is held.
func (p *Platform) wake() {
	close(p.woken)
	p.woken = make(chan struct{})
}

// asOf returns the revision that reads are answered at; p.mu is held.
func (p *Platform) asOf() uint64 {
	if s := p.switches.StaleRevision; s > 0 && s < p.revision {
		return s
	}
	return p.revision
}

// at returns the version of a key as of a revision; p.mu is held.
func (p *Platform) at(key string, revision uint64) (platform.Object, bool) {
	versions := p.versions[key]
	i := sort.Search(len(versions), func(i int) bool { return versions[i].Version > revision })
	// A version without a value is a deletion.
	if i == 0 || versions[i-1].Value == nil {
		return platform.Object{}, false
	}
	return versions[i-1], true
}

// get returns the object of a key.
func (p *Platform) get(key string) (platform.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at(key, p.asOf())
}

// page is one answer to a list: objects in key order.
type page struct {
	revision uint64
	objects  []platform.Object
	more     bool
}

// list returns one page of the objects under a prefix, after a key.
func (p *Platform) list(prefix, after string) page {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := page{revision: p.asOf()}
	var keys []string
	for key := range p.versions {
		if _, ok := p.at(key, out.revision); ok && strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > p.cfg.PageObjects {
		out.more = true
		keys = keys[:p.cfg.PageObjects]
	}
	for _, key := range keys {
		o, _ := p.at(key, out.revision)
		out.objects = append(out.objects, o)
	}
	return out
}

// put writes a value when the current version is base, 0 for none. It always
// sees the present: only reads are stale.
func (p *Platform) put(key string, value []byte, base uint64) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, _ := p.at(key, p.revision)
	if current.Version != base {
		return current.Version, false
	}
	if base > 0 && bytes.Equal(current.Value, value) {
		return current.Version, true
	}
	p.revision++
	p.versions[key] = append(p.versions[key], platform.Object{Key: key, Version: p.revision, Value: value})
	p.changes = append(p.changes, change{revision: p.revision, key: key})
	if extra := len(p.changes) - p.cfg.KeepChanges; extra > 0 {
		p.dropped = p.changes[extra-1].revision
		p.changes = append([]change(nil), p.changes[extra:]...)
	}
	p.wake()
	return p.revision, true
}

// changed returns the newest versions of the keys under a prefix that changed
// after a revision, and the channel that is closed when there may be more. A
// deleted key has no value.
func (p *Platform) changed(prefix string, after uint64) (l page, woken <-chan struct{}, kept bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after < p.dropped {
		return page{}, nil, false
	}
	l = page{revision: p.asOf()}
	for _, c := range p.changes {
		if c.revision <= after || c.revision > l.revision || !strings.HasPrefix(c.key, prefix) {
			continue
		}
		// A key that changed again comes later, with its newest version.
		o := p.newest(c.key, l.revision)
		if o.Version != c.revision {
			continue
		}
		if len(l.objects) == p.cfg.PageObjects {
			l.revision = l.objects[len(l.objects)-1].Version
			break
		}
		l.objects = append(l.objects, o)
	}
	return l, p.woken, true
}

// newest returns the newest version of a key as of a revision, which may be a
// deletion; p.mu is held.
func (p *Platform) newest(key string, revision uint64) platform.Object {
	if o, ok := p.at(key, revision); ok {
		return o
	}
	versions := p.versions[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].Version <= revision {
			return versions[i]
		}
	}
	return platform.Object{}
}

// enter counts a call and says whether it is refused.
func (p *Platform) enter(op string) (Switches, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[op]++
	return p.switches, !p.switches.Outage
}

// loseAnswer says whether the answer of a write that took effect is lost.
func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.switches.LoseAnswers <= 0 {
		return false
	}
	p.switches.LoseAnswers--
	return true
}
