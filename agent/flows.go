package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/dispatch"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/flowserver"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/tunnel"
)

const (
	// goAwayDivisor is the ratio of the drain time to the time over which the GOAWAYs to the open flows are spread.
	goAwayDivisor = 4
	// drainPollInterval is the interval at which a stopping agent checks whether its flows have ended.
	drainPollInterval = 50 * time.Millisecond
	// symmetricKeyBytes is the length of token and ticket keys.
	symmetricKeyBytes = 32
)

func provideFlows(cfg RoleConfig, ring *fleetkey.Ring, sockets node.Sockets, b *node.Board, h *dispatch.Handler) (*flowserver.Server, error) {
	conn, err := tunnelConn(ring, sockets, b, h.Load)
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(cfg.Settings.TLS.CertFile, cfg.Settings.TLS.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("loading certificate: %w", err)
	}
	keys, err := deriveKeys(ring, cfg.Settings.Service)
	if err != nil {
		return nil, err
	}
	ids, err := flowid.New(flowid.Config{Ring: ring})
	if err != nil {
		return nil, fmt.Errorf("making connection ID codec: %w", err)
	}
	self := b.Self.Record()
	server, err := flowserver.New(flowserver.Config{
		PacketConn:        conn,
		TLS:               &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13},
		IDs:               ids.NewGenerator(flowid.Place{Agent: self.Tunnel, Service: self.Service, Incarnation: self.Incarnation.Tag()}),
		StatelessResetKey: &keys.reset,
		TokenKey:          &keys.token,
		TicketKeys:        keys.tickets,
		Handler:           h,
		DrainSpread:       func() time.Duration { return drainTime(cfg, b) / goAwayDivisor },
		Log:               cfg.Log,
	})
	if err != nil {
		return nil, fmt.Errorf("making flow server: %w", err)
	}
	return server, nil
}

func tunnelConn(ring *fleetkey.Ring, sockets node.Sockets, b *node.Board, load func() admit.Load) (*tunnel.Conn, error) {
	codec, err := tunnel.NewCodec(ring)
	if err != nil {
		return nil, fmt.Errorf("making tunnel codec: %w", err)
	}
	self := b.Self.Record()
	conn, err := tunnel.NewConn(tunnel.ConnConfig{
		Socket:       sockets.Tunnel,
		Codec:        codec,
		Service:      self.Service,
		Incarnation:  self.Incarnation.Tag(),
		Entries:      b.LiveEntryTunnels,
		AcceptsFlows: func() bool { return acceptsFlows(b.Self.Record().State, load()) },
		ResetToken:   flowid.NewResetTokens(ring).Token,
	})
	if err != nil {
		return nil, fmt.Errorf("making tunnel connection: %w", err)
	}
	return conn, nil
}

// acceptsFlows reports whether the agent accepts new flows. An agent that does not
// forwards them to their second candidate. An agent is overloaded when at least as many
// requests are queued as it has slots: queues are likely to be shorter at another agent.
func acceptsFlows(state member.State, load admit.Load) bool {
	overloaded := load.Slots > 0 && load.Queued() >= load.Slots
	return state == member.StateReady && !overloaded
}

// flowKeys are the keys that all agents of a service share.
type flowKeys struct {
	reset   quic.StatelessResetKey
	token   quic.TokenGeneratorKey
	tickets [][symmetricKeyBytes]byte
}

func deriveKeys(ring *fleetkey.Ring, service string) (flowKeys, error) {
	var keys flowKeys
	var err error
	if keys.reset, err = flowid.StatelessResetKey(ring, ring.ActiveID(), config.TagOf(service)); err != nil {
		return flowKeys{}, fmt.Errorf("deriving reset key: %w", err)
	}
	token, err := ring.Derive(ring.ActiveID(), fleetkey.PurposeToken, service, symmetricKeyBytes)
	if err != nil {
		return flowKeys{}, fmt.Errorf("deriving token key: %w", err)
	}
	copy(keys.token[:], token)
	for _, id := range ring.IDs() {
		ticket, err := ring.Derive(id, fleetkey.PurposeTicket, service, symmetricKeyBytes)
		if err != nil {
			return flowKeys{}, fmt.Errorf("deriving ticket key: %w", err)
		}
		keys.tickets = append(keys.tickets, [symmetricKeyBytes]byte(ticket))
	}
	return keys, nil
}

// drainTime returns how long a planned stop waits for open flows to end.
func drainTime(cfg RoleConfig, b *node.Board) time.Duration {
	return min(b.Policy(cfg.Settings.Service).DrainFor, cfg.Settings.ShutdownGrace)
}

// stopFlows performs a planned stop. The agent accepts no new flows and runs no new requests on its
// upstream. It sends GOAWAY early, serves the open flows through peers for up to the setting drainFor, and
// hands over the ledger at the end.
func (p parts) stopFlows(ctx context.Context) error {
	p.Board.Stopping.Store(true)
	p.State.update()
	drainCtx, cancel := context.WithTimeout(ctx, drainTime(p.Config, p.Board))
	defer cancel()
	p.Flows.Drain()
	for p.Flows.Flows() > 0 {
		if node.Sleep(drainCtx, drainPollInterval) != nil {
			break
		}
	}
	report := p.Flows.Shutdown(ctx)
	p.Config.Log.Info("flows stopped", "flowsCut", report.Flows, "requestsCut", report.Requests)
	p.Handler.SealLedger()
	if err := p.Handler.Shutdown(ctx); err != nil {
		return fmt.Errorf("waiting for requests with keys: %w", err)
	}
	if err := p.Handover.send(ctx); err != nil {
		return fmt.Errorf("handing over the ledger: %w", err)
	}
	return nil
}

// publishLeft publishes the state "left" and waits until it has spread.
func (p parts) publishLeft(ctx context.Context) error {
	p.Board.Self.SetState(member.StateLeft)
	return node.Sleep(ctx, leftGrace)
}

// leftGrace is the time in which the state "left" spreads to the observers of the agent.
const leftGrace = 200 * time.Millisecond
