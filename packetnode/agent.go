package packetnode

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetagent"
	"endiveflow.example/endiveflow/platform"
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

// NewAgent returns an agent with the settings of its VM.
func NewAgent(s platform.Settings, log *eventlog.Log) Process {
	return newProcess(s, log, assembleAgent)
}

func assembleAgent(ctx context.Context, b *base) (role, error) {
	s := b.settings
	hostSide, err := b.listen(ctx, s.HostOutput)
	if err != nil {
		return role{}, err
	}
	agent := packetagent.New(packetagent.Config{
		IP: b.ip(), Service: s.Service, Host: flow.EndpointOf(s.Host), Zone: s.Zone,
		CallerPort: s.Packets.Port(), Incarnation: time.Now().UnixMilli(), MaxFlowAge: s.MaxFlowAge,
		Now: b.now, Log: b.log,
		ToHost:   func(packet []byte) { sendTo(hostSide, s.Host, packet) },
		ToCaller: callerSender(b.peers, s.Packets.Port()), ToMember: b.toMember,
		ConfigVersion: b.routes.Version, IdleTimeout: b.routes.IdleTimeout, NewerConfig: b.keeper.newerAt,
		Changed: func() { signal(b.reportNow) }, Waiting: b.wake.in,
	})
	entries, beats := newHeard(b.now), newHeartbeats(b.now)
	b.parts.add("host", receive(hostSide, agent.FromHost))
	b.parts.add("checks", hostCheck{agent: agent, address: s.Host, beats: beats, interval: s.HeartbeatInterval, log: b.log}.run(ctx))
	return role{
		record: memberRecord{Role: roleAgent, IP: s.IP, Zone: s.Zone, Service: s.Service},
		receive: func(datagram []byte) {
			entries.note(datagram)
			agent.Receive(datagram)
		},
		tick: agent.Tick, report: agent.ReportMessage, sweep: agent.Sweep,
		met: entries.met, heard: entries.addresses, audience: roleEntry,
		serve: func(ctx context.Context, running func() bool) error {
			calls := platform.HostAPI{Heartbeat: beats.noted(agent.Heartbeat), Leave: agent.Leave, Log: b.log.Logger}
			if err := b.parts.serve(ctx, s.Control, calls.Handler()); err != nil || !s.Ready.IsValid() {
				return err
			}
			return b.parts.serve(ctx, s.Ready, platform.ReadinessHandler(running))
		},
		flows: agent.Flows, leave: agent.Stop,
		hasLeft: func(since time.Duration) bool { return since > agentStopMin && agent.Flows() == 0 },
	}, nil
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
