package packetnode

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"endiveflow.example/endiveflow/announce"
	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetagent"
	"endiveflow.example/endiveflow/platform"
)

const (
	// probeTimeout bounds the check of whether anything listens at the host's address.
	probeTimeout = 300 * time.Millisecond
	// probePause is the time between two such checks.
	probePause = 500 * time.Millisecond
	// missedHeartbeats is the number of intervals without a heartbeat after which the host is checked.
	missedHeartbeats = 2.5
	// firstHeartbeat is the time after the agent's start after which a host that has sent no heartbeat is checked.
	firstHeartbeat = 500 * time.Millisecond
	// agentStopMin is the minimum time for which a stopping agent keeps receiving packets. It gives entries
	// time to learn of the stop.
	agentStopMin = 300 * time.Millisecond
	// minEntryExpiry is the shortest time for which an agent keeps sending reports to an entry that no longer reports.
	minEntryExpiry = 2 * time.Minute
	// reportsPerEntry is the number of regular reports of agents per second that an entry receives at most.
	reportsPerEntry = 10
)

// NewAgent returns an agent that runs with the settings of its VM.
func NewAgent(s platform.Settings, log *eventlog.Log) Process {
	return newProcess(s, log, assembleAgent)
}

func assembleAgent(ctx context.Context, b *base) (role, error) {
	s := b.settings
	hostConn, err := b.listen(ctx, s.HostOutputAddr)
	if err != nil {
		return role{}, err
	}
	agent := packetagent.New(packetagent.Config{
		IP: b.ip(), Service: s.Service, Host: flow.EndpointOf(s.HostAddr), Zone: s.Zone,
		CallerPort: s.PacketAddr.Port(), Incarnation: time.Now().UnixMilli(), MaxFlowAge: s.MaxFlowAge, HeartbeatInterval: s.HeartbeatInterval,
		Now: b.now, Log: b.log,
		ToHost:   func(packet []byte) { sendTo(hostConn, s.HostAddr, packet) },
		ToCaller: callerSender(b.peerConn, s.PacketAddr.Port()), ToMember: b.toMember,
		ConfigVersion: b.routes.Version, IdleTimeout: b.routes.IdleTimeout, Evacuations: b.evacuations.Current, NewerConfig: b.config.noteNewer,
		ReportChanged: func() { signal(b.reportNow) }, ScheduleTick: b.alarm.schedule,
	})
	b.evacuationsChanged = func(zones evacuation.State) { agent.SetEvacuated(zones.Includes(s.Zone)) }
	entries, heartbeats := newKnownEntries(b.now, func(r mesh.EntryReport) {
		b.noteStoreEra(r.Store.Era)
		b.noteEvacuations(r.Evacuations)
	}), newHeartbeats(b.now)
	b.parts.add("host", receive(hostConn, agent.FromHost))
	b.members.hasHost = agent.HostReported
	checks := hostCheck{agent: agent, address: s.HostAddr, heartbeats: heartbeats, interval: s.HeartbeatInterval, log: b.log}
	b.parts.add("checks", checks.run(ctx))
	return role{
		record: memberRecord{Role: roleAgent, IP: s.IP, Zone: s.Zone, Service: s.Service},
		receive: func(datagram []byte) {
			entries.observe(datagram)
			agent.Receive(datagram)
		},
		tick: agent.Tick, sweep: agent.Sweep,
		report:     func(i *reportIntervals) ([]byte, error) { return agent.ReportMessage(i.of(announce.Entries)) },
		discovered: entries.discovered, known: entries.addresses, ratePerSecond: entries.reportRate,
		serve: func(ctx context.Context, running func() bool) error {
			heartbeat := heartbeats.recordTime(func(r host.Report) error {
				isFirst := !agent.HostReported()
				err := agent.Heartbeat(r)
				if err == nil && isFirst {
					signal(b.members.refresh)
				}
				return err
			})
			calls := platform.HostAPI{Heartbeat: heartbeat, Leave: agent.HostLeft, Log: b.log.Logger}
			if err := b.parts.serve(ctx, s.ControlAddr, calls.Handler()); err != nil || !s.ReadinessAddr.IsValid() {
				return err
			}
			return b.parts.serve(ctx, s.ReadinessAddr, platform.ReadinessHandler(running))
		},
		flows: agent.Flows,
		beginStop: func() {
			// A VM is removed after its host has ended, which the host may not have announced.
			checks.check(ctx)
			agent.Stop()
		},
		canStop: func(since time.Duration) bool { return since > agentStopMin && agent.Flows() == 0 },
		hasLeft: agent.HasNoHost,
	}, nil
}

// knownEntries records the entries that have reported to the agent and those listed in such reports.
type knownEntries struct {
	now func() time.Duration
	// discovered receives the addresses of entries that were unknown before or have restarted.
	discovered chan uint32
	// reported is called with each report.
	reported func(mesh.EntryReport)

	mu sync.Mutex
	// byIP holds the entries by address. Guarded by mu.
	byIP map[uint32]knownEntry
	// agentCount is the number of agents of the fleet, according to the last report. Guarded by mu.
	agentCount int
}

// knownEntry is an entry that an agent knows.
type knownEntry struct {
	// incarnation is 0 if the entry hasn't reported yet.
	incarnation int64
	// expires is when the agent forgets the entry unless it reports again.
	expires time.Duration
}

func newKnownEntries(now func() time.Duration, reported func(mesh.EntryReport)) *knownEntries {
	return &knownEntries{now: now, reported: reported, discovered: make(chan uint32, 64), byIP: make(map[uint32]knownEntry)}
}

// observe records the sender of an entry's report and the entries listed in it.
func (e *knownEntries) observe(datagram []byte) {
	var m mesh.Message
	if m.Decode(datagram) != nil || m.Kind != mesh.KindEntryReport {
		return
	}
	report, err := mesh.DecodeReport[mesh.EntryReport](m.Body)
	if err != nil || report.IP != m.Origin {
		return
	}
	e.reported(report)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.agentCount = int(report.AgentCount)
	for _, ip := range report.Entries {
		if _, known := e.byIP[ip]; !known {
			e.add(ip, knownEntry{expires: e.now() + minEntryExpiry})
		}
	}
	previous, known := e.byIP[report.IP]
	current := knownEntry{report.Incarnation, e.now() + max(minEntryExpiry, mesh.SilenceTimeout(report.AgentIntervalMs))}
	if !known || previous.incarnation != report.Incarnation {
		e.add(report.IP, current)
		return
	}
	e.byIP[report.IP] = current
}

// add adds an entry and has a report sent to it; e.mu must be held.
func (e *knownEntries) add(ip uint32, entry knownEntry) {
	select {
	case e.discovered <- ip:
	default:
	}
	e.byIP[ip] = entry
}

// addresses returns the known entries; there are no known processes of other groups.
func (e *knownEntries) addresses(g announce.Group) []uint32 {
	if g != announce.Entries {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []uint32
	for ip, entry := range e.byIP {
		if e.now() > entry.expires {
			delete(e.byIP, ip)
			continue
		}
		out = append(out, ip)
	}
	return out
}

// reportRate returns the largest number of regular reports per second to a group, so that the reports of all agents
// together don't exceed what entries are to receive.
func (e *knownEntries) reportRate(announce.Group) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(announce.RegularPerSecond, reportsPerEntry*float64(max(len(e.byIP), 1))/float64(max(e.agentCount, 1)))
}

// hostCheck checks whether a host that doesn't respond is down.
type hostCheck struct {
	agent      *packetagent.Agent
	address    netip.AddrPort
	heartbeats *heartbeats
	interval   time.Duration
	log        *eventlog.Log
}

func (c hostCheck) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for ctx.Err() == nil {
			sleep(ctx, c.interval/10)
			if !c.agent.IsOpen() || !c.agent.HostUnresponsive() && !c.heartbeats.overdue(c.patience()) {
				continue
			}
			c.check(ctx)
			sleep(ctx, probePause)
		}
	}()
	return done
}

// patience returns the time without a heartbeat after which the host is checked. A host sends its first one when it starts,
// which is about when its agent starts, unless there is none.
func (c hostCheck) patience() time.Duration {
	if !c.agent.HostReported() {
		return firstHeartbeat
	}
	return time.Duration(missedHeartbeats * float64(c.interval))
}

// check opens a TCP connection to the host's address, which takes no slot of the host.
func (c hostCheck) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", c.address.String())
	switch {
	case err == nil:
		_ = conn.Close()
		if c.agent.HostUnresponsive() {
			c.agent.CloseUnresponsiveHost()
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		c.agent.HostDown()
	default:
		c.agent.CloseUnresponsiveHost()
	}
}
