package packetnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/announce"
	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

const (
	// stopReserve is the part of a planned stop's grace period that is left unused.
	stopReserve = time.Second
	// stopPoll is the time between checks of whether a stop can complete.
	stopPoll = 50 * time.Millisecond
)

// Process is an entry or an agent.
type Process struct {
	settings platform.Settings
	log      *eventlog.Log
	// reloads receives reloaded settings.
	reloads chan platform.Settings
	// assemble builds the role's part of the process on top of the base.
	assemble func(context.Context, *base) (role, error)
}

func newProcess(s platform.Settings, log *eventlog.Log, assemble func(context.Context, *base) (role, error)) Process {
	return Process{settings: s, log: log, reloads: make(chan platform.Settings, 1), assemble: assemble}
}

// Reload applies reloaded settings. Seeds take effect at once, addresses only after a restart.
func (p Process) Reload(s platform.Settings) {
	select {
	case p.reloads <- s:
	default:
	}
}

// Run runs the process until ctx ends and then stops it gracefully. The channel receives the result.
func (p Process) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- p.run(ctx) }()
	return done
}

func (p Process) run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	b, err := newBase(ctx, p.settings, p.log)
	if err != nil {
		return err
	}
	defer b.close()
	r, err := p.assemble(ctx, b)
	if err != nil {
		return err
	}
	b.start(ctx, r, p.reloads)
	if err := b.parts.serve(ctx, netip.AddrPortFrom(b.settings.IP, b.settings.FirstPort), internalHandler(&b.routes, b.config.encoded, b.log)); err != nil {
		return err
	}
	if err := r.serve(ctx, func() bool { return stop.Err() == nil }); err != nil {
		return err
	}
	p.log.Info("start", "role", r.record.Role, "ip", r.record.IP.String(), "zone", r.record.Zone, "service", r.record.Service)
	err = b.parts.wait(stop)
	p.log.Info("stop", "flows", r.flows(), "config", b.routes.Version(), "error", errorText(err))
	r.beginStop()
	if err == nil {
		stopStart := b.now()
		waitUntil(b.settings.ShutdownGrace-stopReserve, func() bool { return r.canStop(b.now() - stopStart) })
		b.removeRecord(ctx, r)
	}
	cancel()
	b.close()
	return errors.Join(err, b.parts.waitAll())
}

// waitUntil waits until done returns true, for at most limit.
func waitUntil(limit time.Duration, done func() bool) {
	for start := time.Now(); time.Since(start) < limit && !done(); {
		time.Sleep(stopPoll)
	}
}

// role is what an entry or an agent adds to a base.
type role struct {
	record memberRecord
	// receive handles a datagram of another process. tick runs due work and returns the time until more is due.
	receive func([]byte)
	tick    func() time.Duration
	// report returns the message for other processes; sweep is called once a second.
	report func(*reportIntervals) ([]byte, error)
	sweep  func()
	// discovered delivers the address of each process that becomes known; known returns the addresses of the processes
	// of a group that report to this one.
	discovered <-chan uint32
	// stateChanged delivers the address of each process that has to know a changed state of this one; nil if none has to.
	stateChanged <-chan uint32
	known        func(announce.Group) []uint32
	// ratePerSecond returns the largest number of regular reports per second to a group.
	ratePerSecond func(announce.Group) float64
	// serve starts the HTTP endpoints for hosts, routers and others. running returns false once a planned
	// stop has begun.
	serve func(ctx context.Context, running func() bool) error
	flows func() int
	// beginStop begins a planned stop; canStop reports whether it can complete, given the time since it began.
	beginStop func()
	canStop   func(since time.Duration) bool
	// hasLeft reports at the end of a planned stop whether the process and its host have left for good, so that its member
	// record is removed; nil means that they haven't.
	hasLeft func() bool
}

// base holds what entries and agents have in common.
type base struct {
	settings platform.Settings
	log      *eventlog.Log
	parts    group
	peerConn *net.UDPConn
	// sockets are closed at the end of the process, which ends the parts that read them.
	sockets  []*net.UDPConn
	store    *platform.Client
	routes   routing.Holder
	config   *configUpdater
	members  *memberRegistry
	alarm    *alarm
	toMember func(uint32, []byte)
	// reportNow is signalled after a change that all have to know, configured after a new configuration or a change of the
	// evacuated zones, listed after each list of the member records.
	reportNow, configured, listed chan struct{}
	// storeRestored is signalled when the store came back from an older copy.
	storeRestored chan struct{}
	now           func() time.Duration
	// evacuations holds the evacuated zones. evacuationsChanged is called after each change, before it is announced.
	evacuations        evacuation.Holder
	evacuationsChanged func(evacuation.State)
	// restored is called when the store came back from an older copy.
	restored func()
}

func newBase(ctx context.Context, s platform.Settings, log *eventlog.Log) (*base, error) {
	b := &base{
		settings: s, log: log, alarm: newAlarm(), now: monotonicClock(),
		evacuationsChanged: func(evacuation.State) {}, restored: func() {},
		reportNow: make(chan struct{}, 1), configured: make(chan struct{}, 1), listed: make(chan struct{}, 1), storeRestored: make(chan struct{}, 1),
	}
	var err error
	b.store, err = platform.New(platform.Config{
		URL: s.StoreURL, HTTP: newHTTPClient(), Timeout: storeTimeout, WatchWait: watchWait, MaxAttempts: 1, Log: log.Logger,
		OnRestore: func(uint64) {
			signal(b.storeRestored)
			// Other processes learn of the restore from the era in reports.
			signal(b.reportNow)
			b.restored()
		},
	})
	if err != nil {
		return nil, fmt.Errorf("opening the store: %w", err)
	}
	b.peerConn, err = b.listen(ctx, netip.AddrPortFrom(s.IP, s.FirstPort))
	if err != nil {
		return nil, err
	}
	b.toMember = memberSender(b.peerConn, s.FirstPort)
	b.members = &memberRegistry{
		store: b.store, log: b.log, now: b.now, listed: func() { signal(b.listed) }, restored: b.storeRestored, refresh: make(chan struct{}, 1),
	}
	b.config = newConfigUpdater(configUpdater{
		routes: &b.routes, store: b.store, http: newHTTPClient(), port: s.FirstPort, log: log, applied: func() {},
		spread: agentFetchSpread, firstSpread: agentFetchSpread,
	})
	return b, nil
}

func (b *base) listen(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := listenUDP(ctx, address)
	if err == nil {
		b.sockets = append(b.sockets, conn)
	}
	return conn, err
}

func (b *base) close() {
	for _, s := range b.sockets {
		_ = s.Close()
	}
}

// noteStoreEra handles the era of the store that another process reports: it may have noticed a restore before
// this process, whose own calls are far apart.
func (b *base) noteStoreEra(era uint64) {
	if known := b.store.Era(); known != 0 && era > known {
		signal(b.storeRestored)
	}
}

// noteEvacuations merges the evacuated zones that the store or another process reports, and passes a change on like a new
// configuration.
func (b *base) noteEvacuations(s evacuation.State) {
	if !b.evacuations.Merge(s) {
		return
	}
	b.log.Info("evacuations", "zones", s.Zones, "kept", s.Restored, "revision", s.Revision, "era", s.Era)
	evacuationChanges.Inc()
	b.evacuationsChanged(s)
	signal(b.configured)
}

// ip returns the VM's address in the form that flows use.
func (b *base) ip() uint32 { return addressOf(b.settings.IP) }

// start starts the parts that entries and agents have in common.
func (b *base) start(ctx context.Context, r role, reloads <-chan platform.Settings) {
	registry := b.members
	registry.own, registry.known = r.record, func() []uint32 { return append(r.known(announce.Entries), r.known(announce.Agents)...) }
	registry.setSeeds(b.settings.Seeds)
	intervals := new(reportIntervals)
	reports := &reporter{
		schedule:   announce.New(announce.Config{LinkBytesPerSecond: b.settings.LinkBytesPerSecond}),
		message:    func() ([]byte, error) { return r.report(intervals) },
		recipients: func(g announce.Group) []uint32 { return b.recipients(r, registry, g) }, ratePerSecond: r.ratePerSecond,
		intervals: intervals, send: b.toMember, changed: b.reportNow, configured: b.configured, listed: b.listed, discovered: r.discovered, stateChanged: r.stateChanged,
		beforeRegular: r.sweep, log: b.log, now: b.now,
	}
	b.parts.add("peers", receive(b.peerConn, r.receive))
	b.parts.add("alarm", b.alarm.run(ctx, r.tick))
	b.parts.add("fetches", b.config.fetchFromPeers(ctx))
	b.parts.add("members", registry.run(ctx))
	b.parts.add("reloads", registry.applyReloads(ctx, reloads))
	b.parts.add("reports", reports.run(ctx))
}

// removeRecord removes the member record of a process that has left for good with its host. It takes a small part of the
// reserve of a planned stop.
func (b *base) removeRecord(ctx context.Context, r role) {
	if r.hasLeft == nil || !r.hasLeft() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopReserve/2)
	defer cancel()
	if err := b.members.removeOwn(ctx); err != nil {
		b.log.Warn("cannot remove the own member record", "error", err.Error())
	}
}

// recipients returns the processes of a group that get reports: entries get those of all processes, agents those of
// entries.
func (b *base) recipients(r role, registry *memberRegistry, g announce.Group) []uint32 {
	if g == announce.Entries {
		return union(r.known(g), registry.addresses(roleEntry))
	}
	if r.record.Role == roleAgent {
		return nil
	}
	return union(r.known(g), registry.addresses(roleAgent))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
