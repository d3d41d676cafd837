package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"

	"endiveflow.example/endiveflow/admin"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/confsync"
	"endiveflow.example/endiveflow/control"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/peer"
	"endiveflow.example/endiveflow/settings"
)

const (
	// fabricGrace is the longest time for which a stopping entry keeps forwarding after it starts to fail
	// its readiness check; the settings can shorten it.
	fabricGrace = 5 * time.Second
	// leaveGrace is the time allowed for the final state to reach other processes.
	leaveGrace = 200 * time.Millisecond
	// peerTimeout bounds one bulk transfer between processes.
	peerTimeout = 10 * time.Second
)

// RoleConfig configures a Role.
type RoleConfig struct {
	Settings settings.Entry
	// LastIncarnation is the highest incarnation of this member that other members have seen; 0 if none.
	LastIncarnation member.Incarnation
	// Log is the logger; nil means slog.Default.
	Log *slog.Logger
}

// Role is an entry process: the forwarder, control traffic, configuration and admin server.
type Role struct {
	app   *fx.App
	board *node.Board
	admin *admin.Server
	ready *readiness
}

// New binds the sockets of an entry and creates its controllers.
func New(cfg RoleConfig) (*Role, error) {
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	r := &Role{}
	r.app = fx.New(
		fx.WithLogger(node.FxLogger(cfg.Log)),
		fx.Supply(cfg, cfg.Log, cfg.Settings.Node),
		fx.Provide(
			node.NewRing, node.Listen, provideBoard, provideReadiness, node.NewPeerClient, newStatusCollector,
			provideSync, provideControl, provideForwarder, provideAdmin, providePeerServer,
		),
		fx.Invoke(register),
		fx.Populate(&r.board, &r.admin, &r.ready),
		fx.StopTimeout(cfg.Settings.ShutdownGrace+fabricGrace),
	)
	if err := r.app.Err(); err != nil {
		return nil, fmt.Errorf("preparing: %w", dig.RootCause(err))
	}
	return r, nil
}

// Board returns the state that the controllers of the process share.
func (r *Role) Board() *node.Board { return r.board }

// AdminAddress returns the address of the admin server.
func (r *Role) AdminAddress() netip.AddrPort { return r.admin.Address() }

// NotReady returns the reasons why the fabric should not send packets to this entry; empty means ready.
func (r *Role) NotReady() []string { return r.ready.reasons() }

// Run runs the entry until ctx ends, which stops it gracefully. The channel receives the result.
func (r *Role) Run(ctx context.Context) <-chan error {
	return node.RunApp(ctx, r.app, r.board)
}

func provideBoard(cfg RoleConfig, sockets node.Sockets) *node.Board {
	record := node.NewRecord(member.RoleEntry, cfg.Settings.Zone, sockets, cfg.LastIncarnation)
	record.Weight = member.FullWeight
	return node.NewBoard(record, cfg.Log)
}

func providePeerServer(cfg RoleConfig, ring *fleetkey.Ring, sockets node.Sockets, c *control.Entry,
	collector *statusCollector,
) (*peer.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+observedPath, collector.serve)
	mux.Handle(control.StatePath, c.StateHandler())
	mux.Handle(control.StatePath+"/", c.StateHandler())
	server, err := peer.NewServer(peer.ServerConfig{
		Ring:    ring,
		LocalIP: cfg.Settings.PeerAddress.Addr(),
		Socket:  sockets.Peer,
		Handler: mux,
	})
	if err != nil {
		return nil, fmt.Errorf("creating peer server: %w", err)
	}
	return server, nil
}

func provideForwarder(lc fx.Lifecycle, cfg RoleConfig, ring *fleetkey.Ring, sockets node.Sockets, b *node.Board) (*Forwarder, error) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StopHook(cancel))
	f, err := NewForwarder(ForwarderConfig{
		Ring:       ring,
		Tunnel:     sockets.Tunnel,
		BindIP:     cfg.Settings.BindIP,
		Services:   func() map[config.ServiceTag]netip.AddrPort { return serviceAddresses(b.Config) },
		Members:    b.Members.AgentsOfService,
		AllowsHost: allowsHost(b.Config, cfg.Settings.AgentNetworks),
		Suspect:    b.Members.Suspect,
		Former:     FormerAddresses(b.Config),
		Policy: func(tag config.ServiceTag) config.Policy {
			name, _, _ := b.Config.Service(tag)
			return b.Config.Policy(name, netip.Addr{})
		},
		Changed: b.Changes(ctx),
		Log:     cfg.Log,
	})
	if err != nil {
		return nil, fmt.Errorf("creating forwarder: %w", err)
	}
	return f, nil
}

func serviceAddresses(v *config.View) map[config.ServiceTag]netip.AddrPort {
	services := v.Services()
	out := make(map[config.ServiceTag]netip.AddrPort, len(services))
	for name, s := range services {
		out[config.TagOf(name)] = s.Address
	}
	return out
}

// allowsHost returns a function that reports whether a host may serve a service. The networks of the
// settings apply only while there is no configuration.
func allowsHost(v *config.View, networks []netip.Prefix) func(config.ServiceTag, netip.Addr) bool {
	return func(tag config.ServiceTag, host netip.Addr) bool {
		if v.Version() > 0 {
			return v.AllowsHost(tag, host)
		}
		for _, n := range networks {
			if n.Contains(host) {
				return true
			}
		}
		return false
	}
}

func provideReadiness(b *node.Board) *readiness {
	return &readiness{board: b, now: time.Now}
}

func provideAdmin(cfg RoleConfig, b *node.Board, ready *readiness, collector *statusCollector, ring *fleetkey.Ring) (*admin.Server, error) {
	ids, err := flowid.New(flowid.Config{Ring: ring})
	if err != nil {
		return nil, fmt.Errorf("creating connection ID codec: %w", err)
	}
	ex := &explainer{board: b, ids: ids}
	server, err := admin.New(admin.Config{
		Address: cfg.Settings.AdminAddress,
		Ready:   ready.reasons,
		Audit:   b.Trail,
		Status:  collector.report,
		Explain: ex.explain,
		Log:     cfg.Log,
	})
	if err != nil {
		return nil, fmt.Errorf("creating admin server: %w", err)
	}
	return server, nil
}

// components are the controllers of an entry.
type components struct {
	fx.In
	Config     RoleConfig
	Board      *node.Board
	Sockets    node.Sockets
	Forwarder  *Forwarder
	Control    *control.Entry
	Sync       *confsync.Sync
	Ready      *readiness
	PeerClient *peer.Client
	PeerServer *peer.Server
	Admin      *admin.Server
}

// register starts the controllers in order; they stop in the reverse order.
func register(lc fx.Lifecycle, shutdown fx.Shutdowner, c components) {
	log := c.Config.Log
	lc.Append(fx.StopHook(c.Sockets.Close))
	for _, ctl := range []node.Controller{
		{Name: "admin", Run: c.Admin.Run},
		{Name: "peer client", Run: c.PeerClient.Run},
		{Name: "peer server", Run: c.PeerServer.Run, Stop: c.PeerServer.Shutdown},
		{Name: "control", Run: c.Control.Run, Stop: c.leave},
		{Name: "forwarder", Run: c.Forwarder.Run, Stop: c.stopForwarding},
		{Name: "store", Run: c.Sync.Run},
		{Name: "join", Run: c.join},
		{Name: "readiness", Run: c.Ready.run},
	} {
		node.AppendController(lc, shutdown, log, ctl)
	}
}

// stopForwarding makes the readiness check fail and keeps forwarding until the fabric has stopped sending.
func (c components) stopForwarding(ctx context.Context) error {
	c.Board.Stopping.Store(true)
	c.Board.Self.SetState(member.StateDraining)
	c.Forwarder.Stop(ctx, min(fabricGrace, c.Config.Settings.ShutdownGrace))
	return nil
}

// leave announces the final state of the entry.
func (c components) leave(ctx context.Context) error {
	c.Board.Self.SetState(member.StateLeft)
	return node.Sleep(ctx, leaveGrace)
}
