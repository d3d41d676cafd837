package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"

	"endiveflow.example/endiveflow/admin"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/control"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/flowserver"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/peer"
	"endiveflow.example/endiveflow/settings"
	"endiveflow.example/endiveflow/upstream"
)

// stopMargin is the time that a stop may take in addition to the shutdown grace of the settings.
const stopMargin = 5 * time.Second

// RoleConfig configures a Role.
type RoleConfig struct {
	Settings settings.Agent
	// LastIncarnation is the highest incarnation of this member that is known, 0 if there is none. The agent
	// chooses a higher one.
	LastIncarnation member.Incarnation
	// Log is the logger; nil means slog.Default.
	Log *slog.Logger
}

// Role is an agent with all its components.
type Role struct {
	app   *fx.App
	parts parts
}

// parts are the components of an agent.
type parts struct {
	fx.In
	Config     RoleConfig
	Sockets    node.Sockets
	Board      *node.Board
	Announced  *upstream.Announcements
	Handler    *dispatch.Handler
	Flows      *flowserver.Server
	PeerClient *peer.Client
	PeerServer *peer.Server
	Control    *control.Agent
	Admin      *admin.Server
	State      *stateController
	Handover   *handover
}

// New binds the sockets of an agent and creates its components.
func New(cfg RoleConfig) (*Role, error) {
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	r := &Role{}
	r.app = fx.New(
		fx.WithLogger(node.FxLogger(cfg.Log)),
		fx.Supply(cfg, cfg.Log, cfg.Settings.Node),
		fx.Provide(
			node.NewRing, node.Listen, provideBoard, node.NewPeerClient, provideUpstream, provideAnnouncements,
			provideHandler, provideFlows, providePeerServer, provideControl, provideAdmin,
			newStateController, newSuccessors, newHandover,
		),
		fx.Invoke(register),
		fx.Invoke(func(p parts) { r.parts = p }),
		fx.StopTimeout(cfg.Settings.ShutdownGrace+stopMargin),
	)
	if err := r.app.Err(); err != nil {
		return nil, fmt.Errorf("preparing: %w", dig.RootCause(err))
	}
	return r, nil
}

// Board returns the state that the controllers of the process share.
func (r *Role) Board() *node.Board { return r.parts.Board }

// AdminAddress returns the address of the admin server.
func (r *Role) AdminAddress() netip.AddrPort { return r.parts.Admin.Address() }

// Run runs the agent until ctx ends, which starts a planned stop. The channel receives the result when the
// agent has stopped.
func (r *Role) Run(ctx context.Context) <-chan error {
	return node.RunApp(ctx, r.app, r.parts.Board)
}

// register registers the controllers, which start in this order and stop in the reverse order.
func register(lc fx.Lifecycle, shutdown fx.Shutdowner, p parts) {
	lc.Append(fx.StopHook(p.Sockets.Close))
	for _, ctl := range []node.Controller{
		{Name: "admin", Run: p.Admin.Run},
		{Name: "announcements", Run: p.Announced.Run},
		{Name: "peer client", Run: p.PeerClient.Run},
		{Name: "peer server", Run: p.PeerServer.Run, Stop: p.PeerServer.Shutdown},
		{Name: "control", Run: p.Control.Run, Stop: p.publishLeft},
		{Name: "state", Run: p.State.run},
		{Name: "flows", Run: p.Flows.Run, Stop: p.stopFlows},
	} {
		node.AppendController(lc, shutdown, p.Config.Log, ctl)
	}
}

func provideBoard(cfg RoleConfig, sockets node.Sockets) *node.Board {
	record := node.NewRecord(member.RoleAgent, cfg.Settings.Zone, sockets, cfg.LastIncarnation)
	record.Service = config.TagOf(cfg.Settings.Service)
	return node.NewBoard(record, cfg.Log)
}

func provideControl(cfg RoleConfig, ring *fleetkey.Ring, sockets node.Sockets, b *node.Board, peers *peer.Client) (*control.Agent, error) {
	tag := config.TagOf(cfg.Settings.Service)
	a, err := control.NewAgent(control.AgentConfig{
		Socket:       sockets.Control,
		Ring:         ring,
		Self:         b.Self.Record,
		Changed:      b.Self.Changed(),
		Refute:       b.Self.Refute,
		Members:      b.Members,
		Seeds:        func() []netip.AddrPort { return cfg.Settings.Seeds },
		ConfigDigest: func() uint64 { return b.Config.DigestFor(tag) },
		ApplyConfig:  node.ApplyEncoded(b.Config),
		Client:       node.HTTPClient(peers, peerTimeout),
		Trail:        b.Trail,
	})
	if err != nil {
		return nil, fmt.Errorf("making control: %w", err)
	}
	return a, nil
}

func provideAdmin(cfg RoleConfig, b *node.Board, announced *upstream.Announcements) (*admin.Server, error) {
	server, err := admin.New(admin.Config{
		Address: cfg.Settings.AdminAddress,
		Ready:   func() []string { return notReadyReasons(cfg.Settings.Service, b) },
		Audit:   b.Trail,
		Explain: func(context.Context, map[string]string) (any, error) {
			return b.Config.Explain(cfg.Settings.Service, b.Host()), nil
		},
		Announce: announced.Accept,
		Log:      cfg.Log,
	})
	if err != nil {
		return nil, fmt.Errorf("making admin server: %w", err)
	}
	return server, nil
}

// notReadyReasons returns the reasons why the agent does not accept new flows, none if it does.
func notReadyReasons(service string, b *node.Board) []string {
	var reasons []string
	if b.Stopping.Load() {
		reasons = append(reasons, "stopping")
	}
	if _, _, ok := b.Config.Service(config.TagOf(service)); !ok {
		reasons = append(reasons, fmt.Sprintf("no configuration of service %q", service))
	}
	if state := b.Self.Record().State; state != member.StateReady {
		reasons = append(reasons, "state is "+state.String())
	}
	return reasons
}
