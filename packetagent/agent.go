package packetagent

import (
	"sync"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/flowtable"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
	"endiveflow.example/endiveflow/platform"
)

// Agent is the state of the agent process beside one host. It is safe for concurrent use.
type Agent struct {
	cfg Config
	// service identifies Config.Service in messages.
	service mesh.ServiceID
	started time.Duration
	host    *host.Tracker
	// hostMu serializes changes of the host's state: what a heartbeat acknowledges must not be undone by one that arrived earlier.
	hostMu sync.Mutex
	load   *placement.Host
	flows  *flowtable.Table[record]
	// searches holds flows that the agent has no record of: those that an entry searched for, and those that
	// the host bounced.
	searches *flowtable.Table[search]
	// locations holds the locations of the flows for which this agent is a directory agent, see
	// mesh.Message.Directories.
	locations *flowtable.Table[location]
	// reportVersion is the version of the last report.
	reportVersion atomic.Uint64
	leaving       atomic.Bool
	// evacuated reports whether the agent's zone is evacuated.
	evacuated atomic.Bool
	// unansweredOpenings is the number of consecutive opening packets that the host left unanswered.
	unansweredOpenings atomic.Int32
	// warmUntil is when the host's warm-up ends, in the time of Config.Now.
	warmUntil atomic.Int64
	// lastHeartbeat is when the host's last heartbeat arrived, in the time of Config.Now.
	lastHeartbeat atomic.Int64
	// admissionTick is the time of the last tick that was scheduled for a held flow, in the time of Config.Now.
	admissionTick atomic.Int64
	// allFlowsKnown reports whether flows holds every flow of the host, because the agent started before it. startedTogether
	// reports whether this is likely, because they started with the VM.
	allFlowsKnown, startedTogether atomic.Bool
	// absences is what answers to queries for the absence of flows depend on.
	absences absences
	// loggedFaulty reports whether the host was last logged as faulty.
	loggedFaulty atomic.Bool

	// timersMu guards answerTimers.
	timersMu sync.Mutex
	// answerTimers are ordered by due, as all have the same duration.
	answerTimers []answerTimer
}

// answerTimer is the time by which the host must have answered an opening packet, and the caller sent its
// request.
type answerTimer struct {
	key flow.Key
	due time.Duration
}

// search is what the agent found out about a flow that it has no record of.
type search struct {
	// entry is the address of the entry that last searched for the flow, 0 for none; step is the step of that
	// search.
	entry uint32
	step  uint8
	at    time.Duration
	// directories are the flow's directory agents at the time of that search, or those that were told of the flow if this
	// agent took it and passed it on, as its host didn't answer in time. The host may answer later, and the caller may open
	// the flow there.
	directories [mesh.DirectoryCount]uint32
	// probed reports whether a packet of the flow was sent to the host to find out whether the host has the
	// flow, bounced whether the host rejected a packet of the flow.
	probed, bounced bool
	// bouncedBy is the incarnation of the host that bounced a packet of the flow as an open one, 0 if none did.
	bouncedBy uint64
	// probe is the state of the probe while probed is set and bounced isn't.
	probe probe
}

// Contexts are stored in packets for the host and returned in bounced packets. They record why the packet was
// sent to the host.
const (
	contextOffer uint32 = 0xe0f10000 + iota
	contextDeliver
	// contextProbe marks a packet from an entry that expected the flow at this agent.
	contextProbe
	// contextSearch marks a packet from an entry that searched at all agents.
	contextSearch
)

// New returns an agent that has no report of its host yet.
func New(cfg Config) *Agent {
	cfg = cfg.withDefaults()
	return &Agent{
		cfg: cfg, service: mesh.ServiceIDOf(cfg.Service), started: cfg.Now(), load: cfg.Load,
		host:  host.NewTracker(host.TrackerConfig{HeartbeatInterval: cfg.HeartbeatInterval}),
		flows: flowtable.New[record](), searches: flowtable.New[search](), locations: flowtable.New[location](),
	}
}

// Load returns the current load of the host.
func (a *Agent) Load() mesh.Load { return a.load.Load(a.cfg.Now()) }

// IsOpen reports whether the host accepts new flows, although it may get none while its zone is evacuated.
func (a *Agent) IsOpen() bool { return a.load.IsOpen() }

// Flows returns the number of flows that have not ended.
func (a *Agent) Flows() int {
	n := 0
	a.flows.Sweep(func(_ flow.Key, r *record) bool {
		if r.phase != ended {
			n++
		}
		return true
	})
	return n
}

// Receive handles a datagram from another process.
func (a *Agent) Receive(datagram []byte) {
	var m mesh.Message
	if err := m.Decode(datagram); err != nil {
		badDatagrams.Inc()
		return
	}
	if m.ConfigVersion > a.cfg.ConfigVersion() && m.Origin != 0 {
		a.cfg.NewerConfig(m.Origin)
	}
	switch m.Kind {
	case mesh.KindOffer, mesh.KindDeliver, mesh.KindSearch, mesh.KindLocated, mesh.KindAbsenceQuery:
	default:
		return
	}
	if !m.ServiceID().Matches(a.service) {
		wrongService.Inc()
		if a.cfg.Log.AllowRare() {
			a.cfg.Log.Warn("packet for another service dropped", "kind", m.Kind.String(), "from", flow.IPText(m.Origin), "expected", a.cfg.Service)
		}
		return
	}
	if m.Kind == mesh.KindAbsenceQuery {
		a.handleAbsenceQuery(&m)
		return
	}
	if m.Kind == mesh.KindLocated {
		if m.Origin == a.cfg.IP && m.Directories[0] != 0 {
			a.updateDirectories(m.Flow, m.Directories, false)
			return
		}
		a.recordLocation(m.Flow, m.Origin, m.Step)
		return
	}
	s, err := platform.DecodePacket(m.Body, platform.FromCaller)
	if err != nil {
		badPackets.Inc()
		return
	}
	switch m.Kind {
	case mesh.KindOffer:
		a.handleOffer(&m, s)
	case mesh.KindDeliver:
		a.handleDeliver(&m, s)
	default:
		a.handleSearch(&m, s)
	}
}

// newMessage returns a message from this agent about a flow. Notices carry what the host has learned of the flow's route.
func (a *Agent) newMessage(k mesh.Kind, key flow.Key) mesh.Message {
	now := a.cfg.Now()
	m := mesh.Message{Kind: k, Service: a.service.Tag, ConfigVersion: a.cfg.ConfigVersion(), Origin: a.cfg.IP, Flow: key, Load: a.load.Load(now)}
	switch k {
	case mesh.KindTaken, mesh.KindPassed, mesh.KindRefused:
		route := a.load.RouteCost(key.Service, now)
		m.Terms.TypicalServiceTime, m.Terms.LongFlows = mesh.MillisOf(route.ServiceTime), route.LongFlows
	}
	return m
}

// notify sends another process a message about a flow.
func (a *Agent) notify(k mesh.Kind, ip uint32, key flow.Key) {
	m := a.newMessage(k, key)
	a.send(ip, &m)
}

func (a *Agent) send(ip uint32, m *mesh.Message) { m.Send(ip, a.cfg.ToMember) }

// resetFlow sends the caller of a flow a reset.
func (a *Agent) resetFlow(key flow.Key, ack uint32) { platform.SendReset(key, ack, a.cfg.ToCaller) }

// deliverToHost sends the host a packet of a flow that it has been given. A copy of the opening packet counts as an opening
// packet: one beyond the limit of the host's warm-up is dropped, as its caller sends another.
func (a *Agent) deliverToHost(packet []byte, s flow.Segment) {
	if s.Opens() && !a.load.AdmitCopy(a.cfg.Now()) {
		warmupDropped.Inc()
		return
	}
	a.sendToHost(packet, contextDeliver)
}

// sendToHost sends a packet to the host.
func (a *Agent) sendToHost(packet []byte, context uint32) {
	platform.SetContext(packet, context)
	a.cfg.ToHost(packet)
}
