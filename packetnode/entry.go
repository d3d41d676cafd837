package packetnode

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packetentry"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

const (
	// reportInterval is the time between reports of a process to those it knows.
	reportInterval = time.Second
	// stopReserve is the part of the grace of a planned stop that is left unused.
	stopReserve = time.Second
	// entryStopMin is how long a stopping entry forwards at least: the routers need
	// two probes, half a second apart, to leave it out.
	entryStopMin = 1600 * time.Millisecond
	// quietTime without packets of callers ends a planned stop early.
	quietTime = 700 * time.Millisecond
	// stopPoll is the time between looks at whether a stop can end.
	stopPoll = 50 * time.Millisecond
)

// EntryRole runs an entry.
type EntryRole struct {
	settings platform.Settings
	log      *eventlog.Log
	// reloads receives changed settings.
	reloads chan platform.Settings
}

// NewEntryRole returns an entry with the settings of its VM.
func NewEntryRole(s platform.Settings, log *eventlog.Log) EntryRole {
	return EntryRole{settings: s, log: log, reloads: make(chan platform.Settings, 1)}
}

// Reload takes changed settings. Seeds are used at once; addresses hold until the next start.
func (r EntryRole) Reload(s platform.Settings) {
	select {
	case r.reloads <- s:
	default:
	}
}

// Run runs the entry until ctx ends, then stops it gracefully, and reports its end.
func (r EntryRole) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- r.run(ctx) }()
	return done
}

func (r EntryRole) run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	parts := new(group)
	s := r.settings
	callers, err := listenUDP(ctx, s.Packets)
	if err != nil {
		return err
	}
	defer func() { _ = callers.Close() }()
	peers, err := listenUDP(ctx, netip.AddrPortFrom(s.IP, s.FirstPort))
	if err != nil {
		return err
	}
	defer func() { _ = peers.Close() }()
	store, err := newStore(s)
	if err != nil {
		return err
	}
	var (
		routes    routing.Holder
		wake      = newAlarm()
		toMember  = memberSender(peers, s.FirstPort)
		reportNow = make(chan struct{}, 1)
		met       = make(chan uint32, 64)
		lastFrom  atomic.Int64
		interval  atomic.Int64
		now       = steadyClock()
	)
	keeper := newConfigKeeper(configKeeper{
		routes: &routes, store: store, http: newHTTPClient(), port: s.FirstPort, log: r.log,
		applied: func() { signal(reportNow) },
	})
	entry := packetentry.New(packetentry.Config{
		IP: flow.EndpointOf(netip.AddrPortFrom(s.IP, 0)).IP, Zone: s.Zone, Incarnation: time.Now().UnixMilli(),
		Now: now, Routes: &routes, Log: r.log,
		ToCaller: callerSender(callers, s.Packets.Port()), ToMember: toMember,
		NewerConfig: keeper.newerAt, Waiting: wake.in,
		Met: func(ip uint32) {
			select {
			case met <- ip:
			default:
			}
		},
	})
	heard := func() []uint32 {
		entries, agents := entry.Known()
		return append(entries, agents...)
	}
	book := &members{
		own: memberRecord{Role: roleEntry, IP: s.IP, Zone: s.Zone}, store: store, log: r.log, now: now,
		heard: heard, found: func() { signal(reportNow) },
	}
	book.seed(s.Seeds)
	reporter := reporter{
		message: func() ([]byte, error) { return entry.ReportMessage(time.Duration(interval.Load())) }, interval: &interval, send: toMember, now: reportNow, met: met, log: r.log,
		audience: func() []uint32 { return union(heard(), book.addresses("")) },
		each:     entry.Sweep,
	}
	parts.add("callers", receive(callers, func(b []byte) {
		lastFrom.Store(int64(now()))
		entry.FromCaller(b)
	}))
	parts.add("peers", receive(peers, entry.Receive))
	parts.add("alarm", wake.run(ctx, entry.Tick))
	parts.add("configuration", keeper.follow(ctx))
	parts.add("fetches", keeper.catchUp(ctx))
	parts.add("members", book.run(ctx))
	parts.add("reloads", book.reload(ctx, r.reloads))
	parts.add("reports", reporter.run(ctx))
	if err := parts.serve(ctx, netip.AddrPortFrom(s.IP, s.FirstPort), internalHandler(&routes)); err != nil {
		return err
	}
	if s.Control.IsValid() {
		if err := parts.serve(ctx, s.Control, hostRelay{port: s.Control.Port(), http: newHTTPClient(), log: r.log}); err != nil {
			return err
		}
	}
	readiness := platform.ReadinessHandler(func() bool { ok, _ := entry.Ready(); return ok })
	if err := parts.serve(ctx, s.Ready, readiness); err != nil {
		return err
	}
	r.log.Info("start", "role", roleEntry, "ip", s.IP.String(), "zone", s.Zone)
	err = parts.wait(stop)
	r.log.Info("stop", "flows", entry.Flows(), "config", routes.Version(), "error", textOf(err))
	entry.Stop()
	if err == nil {
		began := now()
		settled(s.StopGrace-stopReserve, func() bool {
			return now()-began > entryStopMin && now()-time.Duration(lastFrom.Load()) > quietTime
		})
	}
	cancel()
	_ = callers.Close()
	_ = peers.Close()
	return errors.Join(err, parts.end())
}

// settled waits until done says so, for at most limit.
func settled(limit time.Duration, done func() bool) {
	for began := time.Now(); time.Since(began) < limit && !done(); {
		time.Sleep(stopPoll)
	}
}

func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func newStore(s platform.Settings) (*platform.Client, error) {
	store, err := platform.New(platform.Config{
		URL: s.StoreURL, HTTP: newHTTPClient(), Timeout: storeTimeout, WatchWait: watchWait, Attempts: 1,
	})
	if err != nil {
		return nil, fmt.Errorf("opening the store: %w", err)
	}
	return store, nil
}
