package packetnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

const (
	// reportInterval is the time between reports of a process to those it knows.
	reportInterval = time.Second
	// stopReserve is the part of the grace of a planned stop that is left unused.
	stopReserve = time.Second
	// stopPoll is the time between looks at whether a stop can end.
	stopPoll = 50 * time.Millisecond
)

// Process is an entry or an agent.
type Process struct {
	settings platform.Settings
	log      *eventlog.Log
	// reloads receives changed settings.
	reloads chan platform.Settings
	// assemble returns what the role adds to what all processes have.
	assemble func(context.Context, *base) (role, error)
}

func newProcess(s platform.Settings, log *eventlog.Log, assemble func(context.Context, *base) (role, error)) Process {
	return Process{settings: s, log: log, reloads: make(chan platform.Settings, 1), assemble: assemble}
}

// Reload takes changed settings. Seeds are used at once; addresses hold until the next start.
func (p Process) Reload(s platform.Settings) {
	select {
	case p.reloads <- s:
	default:
	}
}

// Run runs the process until ctx ends, then stops it gracefully, and reports its end.
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
	if err := b.parts.serve(ctx, netip.AddrPortFrom(b.settings.IP, b.settings.FirstPort), internalHandler(&b.routes)); err != nil {
		return err
	}
	if err := r.serve(ctx, func() bool { return stop.Err() == nil }); err != nil {
		return err
	}
	p.log.Info("start", "role", r.record.Role, "ip", r.record.IP.String(), "zone", r.record.Zone, "service", r.record.Service)
	err = b.parts.wait(stop)
	p.log.Info("stop", "flows", r.flows(), "config", b.routes.Version(), "error", textOf(err))
	r.leave()
	if err == nil {
		began := b.now()
		settled(b.settings.StopGrace-stopReserve, func() bool { return r.hasLeft(b.now() - began) })
	}
	cancel()
	b.close()
	return errors.Join(err, b.parts.end())
}

// settled waits until done says so, for at most limit.
func settled(limit time.Duration, done func() bool) {
	for began := time.Now(); time.Since(began) < limit && !done(); {
		time.Sleep(stopPoll)
	}
}

// role is what an entry or an agent adds to a base.
type role struct {
	record memberRecord
	// receive takes a datagram of another process, tick does what is due and returns the time until more is.
	receive func([]byte)
	tick    func() time.Duration
	// report returns the message for other processes, sweep is called before each regular one.
	report func(interval time.Duration) ([]byte, error)
	sweep  func()
	// met delivers processes that are heard from for the first time, heard returns all that are heard from.
	met   <-chan uint32
	heard func() []uint32
	// audience is the role of the recorded processes that get reports; "" means all.
	audience string
	// serve begins to serve hosts, routers and others; running ends with the planned stop.
	serve func(ctx context.Context, running func() bool) error
	flows func() int
	// leave begins a planned stop, hasLeft says whether it can end after a time.
	leave   func()
	hasLeft func(since time.Duration) bool
}

// base is what all processes of the packet path have.
type base struct {
	settings platform.Settings
	log      *eventlog.Log
	parts    group
	peers    *net.UDPConn
	// sockets are closed at the end, which ends their parts.
	sockets   []*net.UDPConn
	store     *platform.Client
	routes    routing.Holder
	keeper    *configKeeper
	wake      *alarm
	toMember  func(uint32, []byte)
	reportNow chan struct{}
	now       func() time.Duration
}

func newBase(ctx context.Context, s platform.Settings, log *eventlog.Log) (*base, error) {
	store, err := platform.New(platform.Config{
		URL: s.StoreURL, HTTP: newHTTPClient(), Timeout: storeTimeout, WatchWait: watchWait, Attempts: 1,
	})
	if err != nil {
		return nil, fmt.Errorf("opening the store: %w", err)
	}
	b := &base{settings: s, log: log, store: store, wake: newAlarm(), reportNow: make(chan struct{}, 1), now: steadyClock()}
	b.peers, err = b.listen(ctx, netip.AddrPortFrom(s.IP, s.FirstPort))
	if err != nil {
		return nil, err
	}
	b.toMember = memberSender(b.peers, s.FirstPort)
	b.keeper = newConfigKeeper(configKeeper{
		routes: &b.routes, store: store, http: newHTTPClient(), port: s.FirstPort, log: log, applied: func() {},
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

// ip returns the address of the VM as flows have it.
func (b *base) ip() uint32 { return addressOf(b.settings.IP) }

// start starts the parts that all processes have.
func (b *base) start(ctx context.Context, r role, reloads <-chan platform.Settings) {
	book := &members{own: r.record, store: b.store, log: b.log, now: b.now, heard: r.heard, found: func() { signal(b.reportNow) }}
	book.seed(b.settings.Seeds)
	var interval atomic.Int64
	reports := reporter{
		message:  func() ([]byte, error) { return r.report(time.Duration(interval.Load())) },
		audience: func() []uint32 { return union(r.heard(), book.addresses(r.audience)) },
		interval: &interval, send: b.toMember, now: b.reportNow, met: r.met, each: r.sweep, log: b.log,
	}
	b.parts.add("peers", receive(b.peers, r.receive))
	b.parts.add("alarm", b.wake.run(ctx, r.tick))
	b.parts.add("fetches", b.keeper.catchUp(ctx))
	b.parts.add("members", book.run(ctx))
	b.parts.add("reloads", book.reload(ctx, reloads))
	b.parts.add("reports", reports.run(ctx))
}

func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
