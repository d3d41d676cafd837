package demo

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/entry"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/settings"
	"endiveflow.example/endiveflow/standin"
)

const (
	// region is the region of the smaller target fleet, which the demo models.
	region = "okanagan"
	// firstEntryIP and firstHostIP are the last two bytes of the loopback address below that of the first
	// entry or host.
	firstEntryIP = 0x0100
	firstHostIP  = 0x0200
	// startTimeout bounds the start of one process.
	startTimeout = 10 * time.Second
	// pollInterval is the interval at which conditions are checked.
	pollInterval = 20 * time.Millisecond
)

var zones = []string{"okn-a", "okn-b", "okn-c"}

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Services []ServiceConfig
	// Entries is the number of entries at the start.
	Entries int
	// ShutdownGrace bounds the graceful stop of each process.
	ShutdownGrace time.Duration
	Log           *slog.Logger
}

// ServiceConfig describes one service of a fleet.
type ServiceConfig struct {
	Name string
	// Hosts is the number of hosts, Slots the number of slots of each.
	Hosts, Slots int
	// LongPrefixes holds the path prefixes of long work.
	LongPrefixes []string
	// WorkTimes are the work times by path prefix.
	WorkTimes map[string]time.Duration
}

// Fleet is a small fleet in one process. Its methods must be called by a single goroutine.
type Fleet struct {
	cfg FleetConfig
	// network is the second byte of the fleet's loopback addresses.
	network  byte
	dir      string
	cert     standin.Certificate
	secret   []byte
	platform *process[*standin.Platform]
	services map[string]*service
	entries  []*process[*entry.Role]
	// entriesStarted is the number of entries started so far, which determines the address of the next one.
	entriesStarted int
}

type service struct {
	cfg    ServiceConfig
	fabric *process[*standin.Fabric]
	hosts  []*Host
	// stopped holds the hosts that were stopped; the requests that they executed still count.
	stopped []*Host
}

// NewFleet starts the platform, the fabrics, the hosts and the entries.
func NewFleet(ctx context.Context, cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{
		cfg:      cfg,
		network:  byte(fleets.Add(1)),
		secret:   bytes.Repeat([]byte{7}, fleetkey.MinSecretBytes),
		services: make(map[string]*service),
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, fmt.Errorf("starting fleet: %w", err)
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.writeCertificate(); err != nil {
		return err
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	for _, s := range f.cfg.Services {
		if err := f.startService(ctx, s); err != nil {
			return fmt.Errorf("starting service %s: %w", s.Name, err)
		}
	}
	if err := f.Apply(ctx, "first configuration", f.Objects()...); err != nil {
		return err
	}
	if err := f.AddEntries(ctx, f.cfg.Entries); err != nil {
		return err
	}
	for _, s := range f.cfg.Services {
		if err := f.startHosts(ctx, f.services[s.Name]); err != nil {
			return fmt.Errorf("starting hosts of %s: %w", s.Name, err)
		}
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) writeCertificate() error {
	var names []string
	for _, s := range f.cfg.Services {
		names = append(names, s.Name)
	}
	cert, err := standin.NewCertificate(names...)
	if err != nil {
		return fmt.Errorf("creating certificate: %w", err)
	}
	dir, err := os.MkdirTemp("", "endiveflow-demo-")
	if err != nil {
		return fmt.Errorf("creating directory: %w", err)
	}
	f.cert, f.dir = cert, dir
	return cert.WriteFiles(dir)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	p := standin.NewPlatform(standin.PlatformConfig{Address: "127.0.0.1:0"})
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done, err := p.Run(runCtx)
	if err != nil {
		cancel()
		return fmt.Errorf("starting platform: %w", err)
	}
	f.platform = &process[*standin.Platform]{component: p, stop: cancel, done: done}
	return nil
}

func (f *Fleet) startService(ctx context.Context, cfg ServiceConfig) error {
	fabric, err := standin.NewFabric(standin.FabricConfig{Address: netip.MustParseAddrPort("127.0.0.1:0"), Log: f.cfg.Log})
	if err != nil {
		return fmt.Errorf("starting fabric: %w", err)
	}
	f.services[cfg.Name] = &service{cfg: cfg, fabric: start(ctx, fabric, fabric.Run)}
	return nil
}

// Objects returns the configuration objects of the fleet.
func (f *Fleet) Objects() []config.Object {
	var out []config.Object
	for _, s := range f.cfg.Services {
		out = append(out,
			config.Object{
				Key:     config.Key{Kind: config.KindService, Name: s.Name},
				Service: &config.Service{Address: f.Address(s.Name), LongPrefixes: s.LongPrefixes},
			},
			config.Object{
				Key: config.Key{Kind: config.KindUpstream, Name: s.Name + "-hosts"},
				Upstream: &config.Upstream{
					Service:  s.Name,
					Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
					Slots:    s.Slots,
				},
			},
		)
	}
	return append(out, config.Object{
		Key:      config.Key{Kind: config.KindDefaults, Name: config.DefaultsName},
		Defaults: &config.Defaults{Settings: map[config.Setting]string{config.SettingSlowStart: "1s"}},
	})
}

// Address returns the address of a service that callers use.
func (f *Fleet) Address(service string) netip.AddrPort {
	return f.services[service].fabric.component.Address()
}

// Hosts returns the hosts of a service.
func (f *Fleet) Hosts(service string) []*Host { return f.services[service].hosts }

// Platform returns the stand-in platform, for setting its switches.
func (f *Fleet) Platform() *standin.Platform { return f.platform.component }

func (f *Fleet) platformURL() string { return "http://" + f.platform.component.Addr().String() }

// fleets is the number of fleets in the process, which gives each its own loopback network.
var fleets atomic.Uint32

// loopback returns the address 127.N.x.y, where N is the fleet's network and x.y are the two bytes of n.
func (f *Fleet) loopback(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, byte(n >> 8), byte(n)})
}

func (f *Fleet) nodeSettings(ip netip.Addr, n int) settings.Node {
	anyPort := netip.AddrPortFrom(ip, 0)
	return settings.Node{
		Zone:           zones[n%len(zones)],
		Region:         region,
		TunnelAddress:  anyPort,
		ControlAddress: anyPort,
		PeerAddress:    anyPort,
		AdminAddress:   anyPort,
		FleetKeys:      []settings.FleetKey{settings.NewFleetKey(1, f.secret)},
		PlatformURL:    f.platformURL(),
		Seeds:          f.seeds(),
		ShutdownGrace:  f.cfg.ShutdownGrace,
	}
}

func (f *Fleet) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range f.entries {
		out = append(out, e.component.Board().Self.Record().Control)
	}
	return out
}

// AddEntries starts n entries and adds them to the fabrics.
func (f *Fleet) AddEntries(ctx context.Context, n int) error {
	for range n {
		ip := f.loopback(firstEntryIP + f.entriesStarted + 1)
		role, err := entry.New(entry.RoleConfig{
			Settings: settings.Entry{Node: f.nodeSettings(ip, f.entriesStarted), BindIP: ip},
			Log:      f.cfg.Log.With("process", fmt.Sprintf("entry-%d", f.entriesStarted)),
		})
		if err != nil {
			return fmt.Errorf("starting entry %d: %w", f.entriesStarted, err)
		}
		f.entriesStarted++
		f.entries = append(f.entries, start(ctx, role, role.Run))
	}
	f.setFabricEntries(f.entries)
	return nil
}

func (f *Fleet) setFabricEntries(entries []*process[*entry.Role]) {
	for _, s := range f.services {
		setEntries(s.fabric.component, entries)
	}
}

// setEntries makes the fabric send to the given entries.
func setEntries(fabric *standin.Fabric, entries []*process[*entry.Role]) {
	var fabricEntries []standin.FabricEntry
	for _, e := range entries {
		ip := e.component.Board().Self.Record().Tunnel.Addr()
		fabricEntries = append(fabricEntries, standin.FabricEntry{
			Address:   netip.AddrPortFrom(ip, fabric.Address().Port()),
			HealthURL: "http://" + e.component.AdminAddress().String() + "/readyz",
		})
	}
	fabric.SetEntries(fabricEntries)
}

// ReplaceEntries starts as many new entries as there are, and stops all old ones at once when the new ones
// are ready.
func (f *Fleet) ReplaceEntries(ctx context.Context) error {
	old := f.entries
	if err := f.AddEntries(ctx, len(old)); err != nil {
		return err
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	failed := stopAll(old)
	f.entries = f.entries[len(old):]
	f.setFabricEntries(f.entries)
	return failed
}

// awaitReady waits until each entry is ready and has a record of each host as ready.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		missing := f.notReady()
		if missing == "" {
			return nil
		}
		if node.Sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("waiting for the fleet: %s: %w", missing, ctx.Err())
		}
	}
}

func (f *Fleet) notReady() string {
	for i, e := range f.entries {
		if reasons := e.component.NotReady(); len(reasons) > 0 {
			return fmt.Sprintf("entry %d is not ready: %s", i, strings.Join(reasons, ", "))
		}
		b := e.component.Board()
		for name, s := range f.services {
			ready := 0
			for _, r := range b.Members.AgentsOfService(config.TagOf(name)) {
				if r.AcceptsFlows() {
					ready++
				}
			}
			if ready < len(s.hosts) {
				return fmt.Sprintf("entry %d reports %d of %d hosts of %s as ready", i, ready, len(s.hosts), name)
			}
		}
	}
	return ""
}

// Close stops all processes of the fleet and removes its directory.
func (f *Fleet) Close() {
	for _, s := range f.services {
		for _, h := range s.hosts {
			h.agent.stop()
		}
	}
	for _, s := range f.services {
		for _, h := range s.hosts {
			_ = h.agent.stopAndWait()
			_ = h.upstream.stopAndWait()
		}
	}
	_ = stopAll(f.entries)
	for _, s := range f.services {
		_ = s.fabric.stopAndWait()
	}
	if f.platform != nil {
		_ = f.platform.stopAndWait()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}
