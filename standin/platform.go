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

// stopGrace bounds how long Run waits for open calls when it stops.
const stopGrace = time.Second

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// Address is the address that Run listens on; port 0 picks a free port.
	Address string
	// KeepChanges is the number of past changes from which a watch can still start; 0 means DefaultKeepChanges.
	KeepChanges int
	// PageObjects bounds the objects in one answer; 0 means DefaultPageObjects.
	PageObjects int
}

// Switches control the faults that a Platform injects.
type Switches struct {
	// Outage makes every call fail with 503.
	Outage bool `json:"outage"`
	// Delay delays each call before it takes effect. A write takes effect even if its caller has timed out
	// meanwhile.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of upcoming writes that take effect but are not answered.
	LoseAnswers int `json:"loseAnswers"`
	// StaleRevision makes reads return the state as of a past revision; 0 means the current state.
	StaleRevision uint64 `json:"staleRevision"`
}

// Platform is an in-memory server of the object API, see package platform. It is safe for concurrent use.
type Platform struct {
	cfg PlatformConfig
	mu  sync.Mutex
	// The fields below are guarded by mu.
	revision uint64
	// era is the era of the store, which rises with each Restore.
	era uint64
	// versions holds every version of each key, oldest first.
	versions map[string][]platform.Object
	// changes holds the newest writes, oldest first, at most cfg.KeepChanges of them.
	changes []change
	// compactedRevision is the revision of the newest change that is no longer in changes.
	compactedRevision uint64
	// wakeup is closed and replaced when pending watches must check for changes.
	wakeup   chan struct{}
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
		era:      1,
		versions: make(map[string][]platform.Object),
		wakeup:   make(chan struct{}),
		calls:    make(map[string]uint64),
	}
}

// Run serves the object API until ctx ends. The channel receives the result. Addr is set when Run returns.
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

// stop waits for open calls and then closes the rest, because a pending watch may last longer than stopGrace.
func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// Addr returns the address that Run listens on, or nil before Run.
func (p *Platform) Addr() net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// SetSwitches replaces the switches, which take effect at once, also for pending watches.
func (p *Platform) SetSwitches(s Switches) {
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

// Restore brings the store back from a copy of a past revision: what was written since is gone, and its revisions
// are given out again.
func (p *Platform) Restore(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.revision = min(p.revision, revision)
	for key, versions := range p.versions {
		kept := sort.Search(len(versions), func(i int) bool { return versions[i].Version > p.revision })
		p.versions[key] = versions[:kept:kept]
	}
	kept := sort.Search(len(p.changes), func(i int) bool { return p.changes[i].revision > p.revision })
	p.changes = p.changes[:kept:kept]
	p.compactedRevision = min(p.compactedRevision, p.revision)
	p.wake()
}

func (p *Platform) currentEra() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// Calls returns the number of calls so far by operation, including refused ones.
func (p *Platform) Calls() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]uint64, len(p.calls))
	for op, n := range p.calls {
		out[op] = n
	}
	return out
}

// wake makes pending watches check for changes. p.mu must be held.
func (p *Platform) wake() {
	close(p.wakeup)
	p.wakeup = make(chan struct{})
}

// readRevision returns the revision as of which reads are answered. p.mu must be held.
func (p *Platform) readRevision() uint64 {
	if s := p.switches.StaleRevision; s > 0 && s < p.revision {
		return s
	}
	return p.revision
}

// objectAt returns the object of a key as of a revision, and false if there was none. p.mu must be held.
func (p *Platform) objectAt(key string, revision uint64) (platform.Object, bool) {
	versions := p.versions[key]
	i := sort.Search(len(versions), func(i int) bool { return versions[i].Version > revision })
	// A version without a value records a deletion.
	if i == 0 || versions[i-1].Value == nil {
		return platform.Object{}, false
	}
	return versions[i-1], true
}

// get returns the object of a key, and false if there is none.
func (p *Platform) get(key string) (platform.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objectAt(key, p.readRevision())
}

// page is the result of a list or a watch.
type page struct {
	revision uint64
	objects  []platform.Object
	more     bool
}

// list returns one page of the objects under a prefix that follow a key, in key order.
func (p *Platform) list(prefix, after string) page {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := page{revision: p.readRevision()}
	var keys []string
	for key := range p.versions {
		if _, ok := p.objectAt(key, out.revision); ok && strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > p.cfg.PageObjects {
		out.more = true
		keys = keys[:p.cfg.PageObjects]
	}
	for _, key := range keys {
		o, _ := p.objectAt(key, out.revision)
		out.objects = append(out.objects, o)
	}
	return out
}

// put writes a value if the current version is base, 0 meaning that there is no object. It returns the
// resulting version, or the conflicting one and false. It always acts on the current state; only reads are
// stale.
func (p *Platform) put(key string, value []byte, base uint64) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, _ := p.objectAt(key, p.revision)
	if current.Version != base {
		return current.Version, false
	}
	if base > 0 && bytes.Equal(current.Value, value) {
		return current.Version, true
	}
	p.revision++
	p.versions[key] = append(p.versions[key], platform.Object{Key: key, Version: p.revision, Value: value})
	p.changes = append(p.changes, change{revision: p.revision, key: key})
	if excess := len(p.changes) - p.cfg.KeepChanges; excess > 0 {
		p.compactedRevision = p.changes[excess-1].revision
		p.changes = append([]change(nil), p.changes[excess:]...)
	}
	p.wake()
	return p.revision, true
}

// changesAfter returns the newest versions of the keys under a prefix that changed after a revision, and the
// channel that is closed when there may be more. A deleted key has no value. available is false if the
// changes after the revision are no longer kept, or the store doesn't have the revision.
func (p *Platform) changesAfter(prefix string, after uint64) (l page, wakeup <-chan struct{}, available bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after < p.compactedRevision || after > p.revision {
		return page{}, nil, false
	}
	l = page{revision: p.readRevision()}
	for _, c := range p.changes {
		if c.revision <= after || c.revision > l.revision || !strings.HasPrefix(c.key, prefix) {
			continue
		}
		// A key that changed again is reported at its last change, with its newest version.
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
	return l, p.wakeup, true
}

// newest returns the newest version of a key as of a revision, which may be a deletion. p.mu must be held.
func (p *Platform) newest(key string, revision uint64) platform.Object {
	if o, ok := p.objectAt(key, revision); ok {
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

// countCall counts a call and returns the switches. It returns false if the call is to be refused.
func (p *Platform) countCall(op string) (Switches, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[op]++
	return p.switches, !p.switches.Outage
}

// loseAnswer reports whether to drop the answer of a write that took effect, and counts it.
func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.switches.LoseAnswers <= 0 {
		return false
	}
	p.switches.LoseAnswers--
	return true
}
