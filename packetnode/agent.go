package packetnode

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetagent"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

const (
	// probeTimeout bounds the check whether anything listens at the host's address.
	probeTimeout = 300 * time.Millisecond
	// probePause is the time between such checks.
	probePause = 500 * time.Millisecond
	// missedHeartbeats is the number of intervals without a heartbeat after which the host is checked.
	missedHeartbeats = 2.5
	// agentStopMin is how long a stopping agent takes packets at least, so that entries have heard of it.
	agentStopMin = 300 * time.Millisecond
	// entryForget is how long an agent reports to an entry that is silent; it
	// is longer than the longest silence of an entry that lives.
	entryForget = 4 * maxReportInterval
)

// AgentRole runs an agent.
type AgentRole struct {
	settings platform.Settings
	log      *eventlog.Log
	// reloads receives changed settings.
	reloads chan platform.Settings
}

// NewAgentRole returns an agent with the settings of its VM.
func NewAgentRole(s platform.Settings, log *eventlog.Log) AgentRole {
	return AgentRole{settings: s, log: log, reloads: make(chan platform.Settings, 1)}
}

// Reload takes changed settings. Seeds are used at once; addresses hold until the next start.
func (r AgentRole) Reload(s platform.Settings) {
	select {
	case r.reloads <- s:
	default:
	}
}

// Run runs the agent until ctx ends, then stops it gracefully, and reports its end.
func (r AgentRole) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- r.run(ctx) }()
	return done
}

func (r AgentRole) run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	parts := new(group)
	s := r.settings
	hostSide, err := listenUDP(ctx, s.HostOutput)
	if err != nil {
		return err
	}
	defer func() { _ = hostSide.Close() }()
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
		interval  atomic.Int64
		now       = steadyClock()
		entries   = newHeard(now)
	)
	keeper := newConfigKeeper(configKeeper{
		routes: &routes, store: store, http: newHTTPClient(), port: s.FirstPort, log: r.log, applied: func() {},
	})
	agent := packetagent.New(packetagent.Config{
		IP: flow.EndpointOf(netip.AddrPortFrom(s.IP, 0)).IP, Service: s.Service, Host: flow.EndpointOf(s.Host), Zone: s.Zone,
		CallerPort: s.Packets.Port(), Incarnation: time.Now().UnixMilli(), MaxFlowAge: s.MaxFlowAge,
		Now: now, Log: r.log,
		ToHost:   func(packet []byte) { sendTo(hostSide, s.Host, packet) },
		ToCaller: callerSender(peers, s.Packets.Port()), ToMember: toMember,
		ConfigVersion: routes.Version, IdleTimeout: routes.IdleTimeout, NewerConfig: keeper.newerAt,
		Changed: func() { signal(reportNow) },
		Waiting: wake.in,
	})
	book := &members{
		own: memberRecord{Role: roleAgent, IP: s.IP, Zone: s.Zone, Service: s.Service}, store: store, log: r.log, now: now,
		heard: entries.addresses, found: func() { signal(reportNow) },
	}
	book.seed(s.Seeds)
	reporter := reporter{
		message: func() ([]byte, error) { return agent.ReportMessage(time.Duration(interval.Load())) }, interval: &interval, send: toMember, now: reportNow, met: entries.met, log: r.log,
		audience: func() []uint32 { return union(entries.addresses(), book.addresses(roleEntry)) },
		each:     agent.Sweep,
	}
	beats := newHeartbeats(now)
	parts.add("host", receive(hostSide, agent.FromHost))
	parts.add("peers", receive(peers, func(b []byte) {
		entries.note(b)
		agent.Receive(b)
	}))
	parts.add("alarm", wake.run(ctx, agent.Tick))
	parts.add("fetches", keeper.catchUp(ctx))
	parts.add("members", book.run(ctx))
	parts.add("reloads", book.reload(ctx, r.reloads))
	parts.add("reports", reporter.run(ctx))
	parts.add("checks", hostCheck{agent: agent, address: s.Host, beats: beats, interval: s.HeartbeatInterval, log: r.log}.run(ctx))
	if err := parts.serve(ctx, netip.AddrPortFrom(s.IP, s.FirstPort), internalHandler(&routes)); err != nil {
		return err
	}
	calls := platform.HostAPI{Heartbeat: beats.noted(agent.Heartbeat), Leave: agent.Leave, Log: r.log.Logger}
	if err := parts.serve(ctx, s.Control, calls.Handler()); err != nil {
		return err
	}
	if s.Ready.IsValid() {
		if err := parts.serve(ctx, s.Ready, platform.ReadinessHandler(func() bool { return stop.Err() == nil })); err != nil {
			return err
		}
	}
	r.log.Info("start", "role", roleAgent, "ip", s.IP.String(), "zone", s.Zone, "service", s.Service, "host", s.Host.String())
	err = parts.wait(stop)
	r.log.Info("stop", "flows", agent.Flows(), "load", agent.Load().Busy, "error", textOf(err))
	agent.Stop()
	if err == nil {
		began := now()
		settled(s.StopGrace-stopReserve, func() bool { return now()-began > agentStopMin && agent.Flows() == 0 })
	}
	cancel()
	_ = hostSide.Close()
	_ = peers.Close()
	return errors.Join(err, parts.end())
}

// heard holds the entries that an agent hears from.
type heard struct {
	now func() time.Duration
	// met receives entries that weren't known.
	met chan uint32

	mu sync.Mutex
	// at is guarded by mu.
	at map[uint32]time.Duration
}

func newHeard(now func() time.Duration) *heard {
	return &heard{now: now, met: make(chan uint32, 64), at: make(map[uint32]time.Duration)}
}

// note notes the sender of an entry's report and the entries that it knows.
func (h *heard) note(datagram []byte) {
	var m mesh.Message
	if m.Decode(datagram) != nil || m.Kind != mesh.EntryReport {
		return
	}
	report, err := mesh.DecodeReport[mesh.Entry](m.Body)
	if err != nil || report.IP != m.Entry {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ip := range append(report.Entries, report.IP) {
		_, known := h.at[ip]
		if !known {
			select {
			case h.met <- ip:
			default:
			}
		}
		if !known || ip == report.IP {
			h.at[ip] = h.now()
		}
	}
}

func (h *heard) addresses() []uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []uint32
	for ip, at := range h.at {
		if h.now()-at > entryForget {
			delete(h.at, ip)
			continue
		}
		out = append(out, ip)
	}
	return out
}

// hostCheck finds out whether a host that is silent is gone.
type hostCheck struct {
	agent    *packetagent.Agent
	address  netip.AddrPort
	beats    *heartbeats
	interval time.Duration
	log      *eventlog.Log
}

func (c hostCheck) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for ctx.Err() == nil {
			pause(ctx, c.interval/10)
			if !c.agent.Load().Open || !c.agent.Suspect() && !c.beats.overdue(time.Duration(missedHeartbeats*float64(c.interval))) {
				continue
			}
			c.check(ctx)
			pause(ctx, probePause)
		}
	}()
	return done
}

// check opens a connection to the host's address, which costs the host no slot.
func (c hostCheck) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", c.address.String())
	switch {
	case err == nil:
		_ = conn.Close()
		if c.agent.Suspect() {
			c.agent.HostSilent()
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		c.agent.HostDown()
	default:
		c.agent.HostSilent()
	}
}
