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
	// minRefreshGap is the least time between two refreshes.
	minRefreshGap = 250 * time.Millisecond
	// refreshGapFactor is the ratio of the gap to the duration of the preceding refresh. It keeps refreshes
	// below 1% of a core however often members change.
	refreshGapFactor = 100
	// maxRefreshGap bounds the gap. A refresh takes 10 ms for a region of the target size, but several
	// times as long on a busy machine, and an entry that has just started must not wait for seconds before
	// it binds its first services.
	maxRefreshGap = time.Second
	// checkInterval is how often failed binds are retried and former addresses and dead agents are checked
	// for expiry.
	checkInterval = time.Second
	// socketBuffer is the size of each socket's kernel buffers in bytes,
	// about 700 packets; the kernel may grant less.
	socketBuffer = 1 << 20
)

// ForwarderConfig configures a Forwarder.
type ForwarderConfig struct {
	// Ring holds the fleet keys.
	Ring *fleetkey.Ring
	// Tunnel is the socket for datagrams from and to agents. It is bound to the entry's tunnel address. The
	// forwarder closes it.
	Tunnel *net.UDPConn
	// BindIP, if valid, replaces the IP of each service address; the port is kept.
	BindIP netip.Addr
	// Services returns the addresses of the configured services.
	Services func() map[config.ServiceTag]netip.AddrPort
	// Members returns the records of a service's agents. The slice is not modified later.
	Members func(config.ServiceTag) []member.Record
	// AllowsHost reports whether a host may serve a service. It is called for each packet and must not
	// allocate.
	AllowsHost func(config.ServiceTag, netip.Addr) bool
	// Suspect reports whether a member is suspected. Suspected members get no new flows. Nil means that
	// none is.
	Suspect func(member.ID) bool
	// Policy returns the settings of a service; nil means config.BuiltinPolicy.
	Policy func(config.ServiceTag) config.Policy
	// Former returns the former addresses of services according to the configuration; nil means none. The
	// slice is not modified later.
	Former func() []FormerAddress
	// Changed gets a value after each change of services, members, suspects or policies.
	Changed <-chan struct{}
	// Readers is the number of goroutines per socket; 0 means DefaultReaders. With more than 64 services,
	// each service socket has one.
	Readers int
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Log is the logger for events such as failed binds; nil means slog.Default.
	Log *slog.Logger
}

// Forwarder forwards packets between callers and agents. All methods are safe for concurrent use.
type Forwarder struct {
	cfg    ForwarderConfig
	codec  *tunnel.Codec
	ids    *flowid.Codec
	tokens *flowid.ResetTokens
	// sockets holds the sockets that answers are sent from. The map is replaced, never modified.
	sockets atomic.Pointer[map[binding]*serviceSocket]
	// gone holds the places whose flows are reset. The map is replaced, never modified.
	gone    atomic.Pointer[map[flowid.Place]GoneReason]
	readers sync.WaitGroup
	// stop is closed when the grace period of Stop has passed.
	stop     chan struct{}
	stopOnce sync.Once

	// Only the goroutine of Run uses the fields below.

	// services holds the addresses of the configured services by tag.
	services map[config.ServiceTag]netip.AddrPort
	// tables holds the candidates for new flows of the configured services.
	tables map[config.ServiceTag]route.Table
	// bound holds the open sockets by local address.
	bound map[netip.AddrPort]*serviceSocket
	// former holds the former addresses of services.
	former map[binding]*formerAddress
	// closedFormer holds the times when former addresses were closed.
	closedFormer map[binding]time.Time
	// bindFailed reports that a socket could not be bound.
	bindFailed bool
	// records holds the records that the tables and the observer were last built from.
	records  map[config.ServiceTag][]member.Record
	observer *observer
	// pendingDeaths reports whether there are dead agents. Their places may be added to gone later without
	// any change of the records.
	pendingDeaths bool
}

// NewForwarder returns a forwarder, or an error of kind errors.NotValid.
func NewForwarder(cfg ForwarderConfig) (*Forwarder, error) {
	if cfg.Ring == nil || cfg.Tunnel == nil || cfg.Services == nil || cfg.Members == nil || cfg.AllowsHost == nil {
		return nil, errors.NotValidf("forwarder without ring, tunnel, services, members or allowed hosts")
	}
	cfg = cfg.withDefaults()
	codec, err := tunnel.NewCodec(cfg.Ring)
	if err != nil {
		return nil, fmt.Errorf("creating forwarder: %w", err)
	}
	ids, err := flowid.New(flowid.Config{Ring: cfg.Ring})
	if err != nil {
		return nil, fmt.Errorf("creating forwarder: %w", err)
	}
	f := &Forwarder{
		cfg:          cfg,
		codec:        codec,
		ids:          ids,
		tokens:       flowid.NewResetTokens(cfg.Ring),
		stop:         make(chan struct{}),
		bound:        make(map[netip.AddrPort]*serviceSocket),
		former:       make(map[binding]*formerAddress),
		closedFormer: make(map[binding]time.Time),
		records:      make(map[config.ServiceTag][]member.Record),
		observer:     newObserver(),
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

// Run forwards until the context ends or the grace period of Stop has passed. The services are bound when
// it returns. The channel receives nil once all sockets are closed. Run must be called only once.
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

// Stop waits until the grace period has passed or the context ends, and then ends Run. The entry must start
// to fail its readiness check before Stop is called, so that the fabric has stopped sending by then.
func (f *Forwarder) Stop(ctx context.Context, grace time.Duration) {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	f.stopOnce.Do(func() { close(f.stop) })
}

// Bound returns the local addresses at which the services accept new flows.
func (f *Forwarder) Bound() map[config.ServiceTag]netip.AddrPort {
	bound := make(map[config.ServiceTag]netip.AddrPort)
	for b, s := range *f.sockets.Load() {
		if !b.address.IsValid() {
			bound[b.service] = s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
		}
	}
	return bound
}

// loop refreshes the forwarder after changes and runs the periodic check.
func (f *Forwarder) loop(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	changed := f.cfg.Changed
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.stop:
			return
		case <-tick.C:
			f.periodicCheck(ctx)
			continue
		case _, open := <-changed:
			if !open {
				changed = nil
				continue
			}
		}
		begin := f.cfg.Now()
		f.refresh(ctx)
		if !f.pause(ctx, refreshGapAfter(f.cfg.Now().Sub(begin))) {
			return
		}
	}
}

// refreshGapAfter returns the time from a refresh to the next one.
func refreshGapAfter(refresh time.Duration) time.Duration {
	return min(max(minRefreshGap, refreshGapFactor*refresh), maxRefreshGap)
}

// pause waits for d. It returns false if the forwarder ends before that.
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

// periodicCheck does the work that becomes due by time alone.
func (f *Forwarder) periodicCheck(ctx context.Context) {
	if f.expireFormer(f.cfg.Now()) || f.bindFailed {
		f.bind(ctx)
	}
	if f.pendingDeaths {
		f.updateGone()
	}
}

// refresh applies the current services, members and suspects.
func (f *Forwarder) refresh(ctx context.Context) {
	now := f.cfg.Now()
	f.services = f.cfg.Services()
	f.updateFormer(now)
	f.updateObserver(now)
	f.tables = make(map[config.ServiceTag]route.Table, len(f.services))
	for tag := range f.services {
		f.tables[tag] = f.routeTable(tag)
	}
	f.bind(ctx)
	f.updateGone()
}

// updateObserver passes the current records of the tracked services' agents to the observer.
func (f *Forwarder) updateObserver(now time.Time) {
	tracked := f.trackedServices()
	for tag, before := range f.records {
		if !tracked[tag] {
			f.observer.update(before, nil, now)
			delete(f.records, tag)
		}
	}
	for tag := range tracked {
		records := f.cfg.Members(tag)
		if !slices.Equal(records, f.records[tag]) {
			f.observer.update(f.records[tag], records, now)
			f.records[tag] = records
		}
	}
}

// updateGone recomputes which places are gone.
func (f *Forwarder) updateGone() {
	gone, pending := f.observer.gone(f.cfg.Policy, f.cfg.Now())
	f.pendingDeaths = pending
	f.gone.Store(&gone)
}

// routeTable returns the candidates for new flows of a service.
func (f *Forwarder) routeTable(tag config.ServiceTag) route.Table {
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
