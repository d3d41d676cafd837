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
	DefaultWatchers      = 2
	DefaultCheckInterval = time.Second
	// DefaultPageInterval is the minimum time between writes of a zone's page.
	DefaultPageInterval = 5 * time.Second
	// DefaultRefreshInterval is the time between reads of the page by its writer, which detect that another
	// entry has overwritten the page with an older list.
	DefaultRefreshInterval = time.Minute
	// DefaultSettleTime gives a starting entry time to learn of the others before it watches the store or writes
	// the page, for which an empty view would make it the highest-ranked entry.
	DefaultSettleTime = 10 * time.Second
)

// Config configures a Sync.
type Config struct {
	// Client calls the store.
	Client *platform.Client
	// View is the configuration to update.
	View *config.View
	// Region and Zone are those of the entry.
	Region, Zone string
	// Self returns the entry's own record.
	Self func() member.Record
	// Entries returns the records of the entries of the region. Self need not be among them.
	Entries func() []member.Record
	// Log receives failures and when the entry starts or stops watching the store; nil means slog.Default.
	Log *slog.Logger
	// Watchers is the number of entries of a zone that watch the store; 0 means DefaultWatchers.
	Watchers int
	// CheckInterval is the time between checks of the ranking; 0 means DefaultCheckInterval.
	CheckInterval time.Duration
	// PageInterval, RefreshInterval and SettleTime mean DefaultPageInterval, DefaultRefreshInterval and
	// DefaultSettleTime if they are 0.
	PageInterval    time.Duration
	RefreshInterval time.Duration
	SettleTime      time.Duration
	// Backoff spaces calls while the store is unavailable.
	Backoff platform.Backoff
}

// Sync watches the store and maintains the zone's page on behalf of one entry, as its rank requires. Its methods
// are safe for concurrent use.
type Sync struct {
	cfg      Config
	started  time.Time
	watching atomic.Bool
	// joined is set once the entry has had a record of another one.
	joined atomic.Bool
	page   pageState
	mu     sync.Mutex
	// mu guards seeds, whose elements are never modified in place.
	seeds []netip.AddrPort
}

// New returns a Sync, or an error of kind errors.NotValid.
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
	setDefault(&cfg.CheckInterval, DefaultCheckInterval)
	setDefault(&cfg.PageInterval, DefaultPageInterval)
	setDefault(&cfg.RefreshInterval, DefaultRefreshInterval)
	setDefault(&cfg.SettleTime, DefaultSettleTime)
	return &Sync{cfg: cfg}, nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Watching reports whether the entry currently watches the store.
func (s *Sync) Watching() bool { return s.watching.Load() }

// Seeds returns the control addresses of the other entries listed in the pages of the region. It is empty until
// the pages have been read.
func (s *Sync) Seeds() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seeds
}

// Run watches the store and maintains the page until ctx ends, and then sends nil on the channel. Failures of
// the store do not end it.
func (s *Sync) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		s.started = time.Now()
		s.run(ctx)
		done <- nil
	}()
	return done
}

// task is a goroutine that can be stopped.
type task struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func startTask(ctx context.Context, run func(context.Context)) *task {
	ctx, cancel := context.WithCancel(ctx)
	t := &task{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		run(ctx)
	}()
	return t
}

func (t *task) stop() {
	if t != nil {
		t.cancel()
		<-t.done
	}
}

func (s *Sync) run(ctx context.Context) {
	pages := startTask(ctx, s.runPages)
	defer pages.stop()
	var watch *task
	defer func() {
		watch.stop()
		s.watching.Store(false)
	}()
	ticker := time.NewTicker(s.cfg.CheckInterval)
	defer ticker.Stop()
	for {
		shouldWatch := s.shouldWatch()
		switch {
		case shouldWatch && watch == nil:
			s.cfg.Log.Info("watching the store", "zone", s.cfg.Zone)
			watch = startTask(ctx, s.runWatch)
		case !shouldWatch && watch != nil:
			s.cfg.Log.Info("no longer watching the store, other entries do", "zone", s.cfg.Zone)
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

// zoneRank returns the current rank of the entry in its zone.
func (s *Sync) zoneRank() zoneRank {
	return zoneRankOf(s.cfg.Entries(), s.cfg.Zone, s.cfg.Self())
}

func (s *Sync) shouldWatch() bool {
	rank := s.zoneRank()
	isSettling := s.isSettling(rank)
	return rank.higher < s.cfg.Watchers && s.cfg.Self().Alive() && !isSettling
}

// isSettling reports whether the entry has just started, has not found any other entry yet, and has not read
// a page that lists no other. An entry that has found others and is now the only one of its zone is not
// settling, as no other entry of the zone can watch.
func (s *Sync) isSettling(rank zoneRank) bool {
	if rank.others > 0 || s.hasOtherEntries() {
		s.joined.Store(true)
	}
	if s.joined.Load() || time.Since(s.started) >= s.cfg.SettleTime {
		return false
	}
	return !s.page.isSoleEntry()
}

// hasOtherEntries reports whether there is a record of another entry, in any zone and state.
func (s *Sync) hasOtherEntries() bool {
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
