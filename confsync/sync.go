package confsync

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/platform"
)

// Defaults of Config.
const (
	DefaultWatchers     = 2
	DefaultDutyInterval = time.Second
	// DefaultPageInterval spaces the writes of a zone's page.
	DefaultPageInterval = 5 * time.Second
	// DefaultRefreshInterval spaces the reads by which the writer of a page
	// notices that another entry wrote an older view.
	DefaultRefreshInterval = time.Minute
	// DefaultSettleFor lets a starting entry learn of the others before it takes
	// duties that its own empty view would give it.
	DefaultSettleFor = 10 * time.Second
)

// Config configures a Sync.
type Config struct {
	// Client calls the store.
	Client *platform.Client
	// View receives the configuration.
	View *config.View
	// Region and Zone are those of the entry.
	Region, Zone string
	// Self returns the entry's own record.
	Self func() member.Record
	// Entries returns the known entries of the region. Self need not be among them.
	Entries func() []member.Record
	// Log receives changes of duty and failures; nil means slog.Default.
	Log *slog.Logger
	// Watchers is the number of watching entries per zone; 0 means DefaultWatchers.
	Watchers int
	// DutyInterval spaces the checks of the ranking; 0 means DefaultDutyInterval.
	DutyInterval time.Duration
	// PageInterval, RefreshInterval and SettleFor are 0 for their defaults.
	PageInterval    time.Duration
	RefreshInterval time.Duration
	SettleFor       time.Duration
	// Backoff spaces the calls while the store is away.
	Backoff platform.Backoff
}

// Sync carries out the duties of one entry. Its methods are safe for concurrent use.
type Sync struct {
	cfg      Config
	started  time.Time
	watching atomic.Bool
	// joined is set once another entry was known.
	joined atomic.Bool
	page   pageState
	mu     sync.Mutex
	// seeds is guarded by mu and never modified in place.
	seeds []netip.AddrPort
}

// New returns a sync, or an error of kind errors.NotValid.
func New(cfg Config) (*Sync, error) {
	if cfg.Client == nil || cfg.View == nil || cfg.Self == nil || cfg.Entries == nil {
		return nil, errors.NotValidf("sync without client, view, self or entries")
	}
	if cfg.Region == "" || cfg.Zone == "" {
		return nil, errors.NotValidf("sync without region or zone")
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	setDefault(&cfg.Watchers, DefaultWatchers)
	setDefault(&cfg.DutyInterval, DefaultDutyInterval)
	setDefault(&cfg.PageInterval, DefaultPageInterval)
	setDefault(&cfg.RefreshInterval, DefaultRefreshInterval)
	setDefault(&cfg.SettleFor, DefaultSettleFor)
	return &Sync{cfg: cfg}, nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Watching says whether the entry watches the store now.
func (s *Sync) Watching() bool { return s.watching.Load() }

// Seeds returns the control addresses of other entries of the region from the
// pages in the store, without the entry's own. It is empty until a page was read.
func (s *Sync) Seeds() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seeds
}

// Run carries out the duties until ctx ends and reports the end on the channel.
// Failures of the store never end it.
func (s *Sync) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		s.started = time.Now()
		s.run(ctx)
		done <- nil
	}()
	return done
}

// duty is a goroutine that runs while the entry has a duty.
type duty struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func start(ctx context.Context, work func(context.Context)) *duty {
	ctx, cancel := context.WithCancel(ctx)
	d := &duty{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(d.done)
		work(ctx)
	}()
	return d
}

func (d *duty) stop() {
	if d != nil {
		d.cancel()
		<-d.done
	}
}

func (s *Sync) run(ctx context.Context) {
	pages := start(ctx, s.runPages)
	defer pages.stop()
	var watch *duty
	defer func() {
		watch.stop()
		s.watching.Store(false)
	}()
	ticker := time.NewTicker(s.cfg.DutyInterval)
	defer ticker.Stop()
	for {
		should := s.shouldWatch()
		switch {
		case should && watch == nil:
			s.cfg.Log.Info("watching the store", "zone", s.cfg.Zone)
			watch = start(ctx, s.runWatch)
		case !should && watch != nil:
			s.cfg.Log.Info("leaving the watch of the store to other entries", "zone", s.cfg.Zone)
			watch.stop()
			watch = nil
		}
		s.watching.Store(watch != nil)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// standing returns the place of the entry in its zone now.
func (s *Sync) standing() standing {
	return standingOf(s.cfg.Entries(), s.cfg.Zone, s.cfg.Self())
}

func (s *Sync) shouldWatch() bool {
	at := s.standing()
	settling := s.settling(at)
	return at.rank < s.cfg.Watchers && s.cfg.Self().Alive() && !settling
}

// settling says whether the entry has just started and has not known any other
// entry yet, although no page has told that there is none. An entry that knew
// others and is now alone in its zone has settled: it is the only one there
// that can watch.
func (s *Sync) settling(at standing) bool {
	if at.others > 0 || s.knowsEntries() {
		s.joined.Store(true)
	}
	if s.joined.Load() || time.Since(s.started) >= s.cfg.SettleFor {
		return false
	}
	return !s.page.knownAlone()
}

// knowsEntries says whether the view holds another entry, of whatever zone and state.
func (s *Sync) knowsEntries() bool {
	self := s.cfg.Self().ID
	return slices.ContainsFunc(s.cfg.Entries(), func(r member.Record) bool { return r.ID != self })
}

func count(what, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`endiveflow_confsync_%s_total{result=%q}`, what, result)).Inc()
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.Conflict):
		return "conflict"
	case errors.Is(err, platform.Compacted):
		return "compacted"
	case errors.Is(err, platform.Unclear):
		return "unclear"
	}
	return "unavailable"
}
