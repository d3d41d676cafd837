package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/route"
	"endiveflow.example/endiveflow/tunnel"
)

const (
	// DefaultReaders is the number of goroutines that read each socket.
	DefaultReaders = 2
	// refreshGap is the least time between two refreshes.
	refreshGap = 250 * time.Millisecond
	// refreshShare is the number of times that the gap is longer than the
	// refresh before it. It keeps refreshes below 1% of a core however often
	// members change.
	refreshShare = 100
	// refreshGapMax bounds the gap. A refresh takes 10 ms for a region of the
	// target, but several times that on a busy machine, and an entry that just
	// started must not wait for seconds before it binds its first services.
	refreshGapMax = time.Second
	// retryEvery is how often failed binds are repeated and deaths are aged.
	retryEvery = time.Second
	// socketBuffer is the size of each socket's kernel buffers in bytes,
	// about 700 packets; the kernel may grant less.
	socketBuffer = 1 << 20
)

// ForwarderConfig configures a Forwarder.
type ForwarderConfig struct {
	// Ring holds the fleet keys.
	Ring *fleetkey.Ring
	// Tunnel exchanges datagrams with agents. It is bound to the entry's
	// tunnel address, and the forwarder closes it.
	Tunnel *net.UDPConn
	// BindIP replaces the IP of each service address, whose port is kept. The
	// zero value replaces nothing.
	BindIP netip.Addr
	// Services returns the addresses of the configured services.
	Services func() map[config.ServiceTag]netip.AddrPort
	// Members returns the records of a service's agents. The slice is not changed later.
	Members func(config.ServiceTag) []member.Record
	// AllowsHost says whether a service's agents may have an address. It is
	// called for each packet and must not allocate.
	AllowsHost func(config.ServiceTag, netip.Addr) bool
	// Suspect says whether a member is suspected, which keeps new flows away
	// from it; nil means never.
	Suspect func(member.ID) bool
	// Policy returns the settings of a service; nil means config.BuiltinPolicy.
	Policy func(config.ServiceTag) config.Policy
	// Former returns the former addresses of services that the configuration
	// knows; nil means none. The slice is not changed later.
	Former func() []FormerAddress
	// Changed receives a value after a change of services, members, suspects
	// or policies.
	Changed <-chan struct{}
	// Readers is the number of goroutines per socket; 0 means DefaultReaders.
	// With more than 64 services each service's socket has one.
	Readers int
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Log receives failed binds; nil means slog.Default.
	Log *slog.Logger
}

// Forwarder passes packets between callers and agents. All methods are safe
// for concurrent use.
type Forwarder struct {
	cfg    ForwarderConfig
	codec  *tunnel.Codec
	ids    *flowid.Codec
	tokens *flowid.ResetTokens
	// sockets are those that answers leave from. The map is replaced, never changed.
	sockets atomic.Pointer[map[binding]*serviceSocket]
	// gone are the places that are reset. The map is replaced, never changed.
	gone    atomic.Pointer[map[flowid.Place]GoneReason]
	readers sync.WaitGroup
	// stop is closed when the grace of Stop has passed.
	stop     chan struct{}
	stopOnce sync.Once

	// The following belong to the goroutine of Run.

	// services are the configured services by tag.
	services map[config.ServiceTag]netip.AddrPort
	// tables are the candidates of the configured services.
	tables map[config.ServiceTag]route.Table
	// bound are the open sockets by local address.
	bound map[netip.AddrPort]*serviceSocket
	// former are the former addresses of services.
	former map[binding]*formerAddress
	// givenUp is when former addresses were given up.
	givenUp map[binding]time.Time
	// bindFailed says that a socket is missing.
	bindFailed bool
	// records are those that the tables and the observer were last made from.
	records  map[config.ServiceTag][]member.Record
	observer *observer
	// aging says that a death may come to count without any change.
	aging bool
}

// NewForwarder returns a forwarder, or an error of kind errors.NotValid.
func NewForwarder(cfg ForwarderConfig) (*Forwarder, error) {
	if cfg.Ring == nil || cfg.Tunnel == nil || cfg.Services == nil || cfg.Members == nil || cfg.AllowsHost == nil {
		return nil, errors.NotValidf("forwarder without ring, tunnel, services, members or allowed hosts")
	}
	cfg = cfg.withDefaults()
	codec, err := tunnel.NewCodec(cfg.Ring)
	if err != nil {
		return nil, fmt.Errorf("making forwarder: %w", err)
	}
	ids, err := flowid.New(flowid.Config{Ring: cfg.Ring})
	if err != nil {
		return nil, fmt.Errorf("making forwarder: %w", err)
	}
	f := &Forwarder{
		cfg:      cfg,
		codec:    codec,
		ids:      ids,
		tokens:   flowid.NewResetTokens(cfg.Ring),
		stop:     make(chan struct{}),
		bound:    make(map[netip.AddrPort]*serviceSocket),
		former:   make(map[binding]*formerAddress),
		givenUp:  make(map[binding]time.Time),
		records:  make(map[config.ServiceTag][]member.Record),
		observer: newObserver(),
	}
	f.sockets.Store(&map[binding]*serviceSocket{})
	f.gone.Store(&map[flowid.Place]GoneReason{})
	return f, nil
}

func (cfg ForwarderConfig) withDefaults() ForwarderConfig {
	if cfg.Suspect == nil {
		cfg.Suspect = func(member.ID) bool { return false }
	}
	if cfg.Policy == nil {
		builtin := config.BuiltinPolicy()
		cfg.Policy = func(config.ServiceTag) config.Policy { return builtin }
	}
	if cfg.Former == nil {
		cfg.Former = func() []FormerAddress { return nil }
	}
	if cfg.Readers <= 0 {
		cfg.Readers = DefaultReaders
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	return cfg
}

// Run forwards until the context ends or the grace of Stop has passed. The
// services are bound when it returns. The channel receives nil once all sockets
// are closed. Run is called once.
func (f *Forwarder) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(ctx)
	f.refresh(ctx)
	for range f.cfg.Readers {
		f.readers.Go(func() { f.readTunnel(ctx) })
	}
	go func() {
		defer cancel()
		f.loop(ctx)
		cancel()
		f.close()
		ended <- nil
	}()
	return ended
}

// Stop keeps forwarding until the grace has passed or the context ends, and
// then ends Run. The caller fails readiness first, so that the fabric has
// stopped sending by then.
func (f *Forwarder) Stop(ctx context.Context, grace time.Duration) {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	f.stopOnce.Do(func() { close(f.stop) })
}

// Bound returns the addresses at which the services accept new flows.
func (f *Forwarder) Bound() map[config.ServiceTag]netip.AddrPort {
	bound := make(map[config.ServiceTag]netip.AddrPort)
	for b, s := range *f.sockets.Load() {
		if !b.address.IsValid() {
			bound[b.service] = s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
		}
	}
	return bound
}

// loop reacts to changes.
func (f *Forwarder) loop(ctx context.Context) {
	tick := time.NewTicker(retryEvery)
	defer tick.Stop()
	changed := f.cfg.Changed
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.stop:
			return
		case <-tick.C:
			f.check(ctx)
			continue
		case _, open := <-changed:
			if !open {
				changed = nil
				continue
			}
		}
		begin := f.cfg.Now()
		f.refresh(ctx)
		if !f.pause(ctx, gapAfter(f.cfg.Now().Sub(begin))) {
			return
		}
	}
}

// gapAfter returns the time from a refresh to the next one.
func gapAfter(refresh time.Duration) time.Duration {
	return min(max(refreshGap, refreshShare*refresh), refreshGapMax)
}

// pause waits. It is false when the forwarder ends meanwhile.
func (f *Forwarder) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.stop:
		return false
	case <-timer.C:
		return true
	}
}

// check does what is due without any change.
func (f *Forwarder) check(ctx context.Context) {
	if f.expireFormer(f.cfg.Now()) || f.bindFailed {
		f.bind(ctx)
	}
	if f.aging {
		f.age()
	}
}

// refresh takes over the services, members and suspects as they are now.
func (f *Forwarder) refresh(ctx context.Context) {
	now := f.cfg.Now()
	f.services = f.cfg.Services()
	f.keepFormer(now)
	f.observe(now)
	f.tables = make(map[config.ServiceTag]route.Table, len(f.services))
	for tag := range f.services {
		f.tables[tag] = f.table(tag)
	}
	f.bind(ctx)
	f.age()
}

// observe takes over the records of the services' agents.
func (f *Forwarder) observe(now time.Time) {
	watched := f.watched()
	for tag, before := range f.records {
		if !watched[tag] {
			f.observer.update(before, nil, now)
			delete(f.records, tag)
		}
	}
	for tag := range watched {
		records := f.cfg.Members(tag)
		if !slices.Equal(records, f.records[tag]) {
			f.observer.update(f.records[tag], records, now)
			f.records[tag] = records
		}
	}
}

// age decides anew which places are gone.
func (f *Forwarder) age() {
	gone, pending := f.observer.gone(f.cfg.Policy, f.cfg.Now())
	f.aging = pending
	f.gone.Store(&gone)
}

// table returns the candidates for new flows of a service.
func (f *Forwarder) table(tag config.ServiceTag) route.Table {
	var candidates []route.Candidate
	for _, r := range f.records[tag] {
		if !r.AcceptsFlows() || r.Service != tag || f.cfg.Suspect(r.ID) || !f.cfg.AllowsHost(tag, r.Tunnel.Addr()) {
			continue
		}
		candidates = append(candidates, route.Candidate{
			ID:          r.ID,
			Tunnel:      r.Tunnel,
			Incarnation: r.Incarnation.Tag(),
			Weight:      r.Weight,
		})
	}
	return route.NewTable(candidates)
}
