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

// Agent is the state of the process beside one host. It is safe for concurrent use.
type Agent struct {
	cfg     Config
	tag     uint32
	started time.Duration
	host    host.Tracker
	load    *placement.Host
	flows   *flowtable.Table[record]
	// searches holds the flows whose packets were given to the host on suspicion.
	searches *flowtable.Table[search]
	// locations holds the flows that this agent is a home of.
	locations *flowtable.Table[location]
	// reports counts the versions of this agent's report.
	reports atomic.Uint64
	leaving atomic.Bool
	// silent is the number of opening packets in a row that the host left unanswered.
	silent atomic.Int32
	// warmUntil is when the host's warm-up ends, in Config.Now.
	warmUntil atomic.Int64
	// heardHost is when the host's last heartbeat came, in Config.Now.
	heardHost atomic.Int64
	// knowsAll says that the agent was there before its host, so that it knows all flows of it.
	knowsAll atomic.Bool
	// faulty is whether the host was last logged as faulty.
	faulty atomic.Bool

	waitMu sync.Mutex
	// waits is guarded by waitMu; it is in order of due, as all waits are of one length.
	waits []wait
}

// wait is the time at which a flow must have been answered by the host.
type wait struct {
	key flow.Key
	due time.Duration
}

// search is a flow whose packet was given to the host to find out whether the host has it.
type search struct {
	// entry asked last, at the given step of its search.
	entry uint32
	step  uint8
	at    time.Duration
	// given says that the host was asked, bounced that it doesn't have the flow.
	given, bounced bool
}

// Contexts say in a packet for the host why it was given to the host, for the case that it comes back.
const (
	contextOffer uint32 = 0xe0f10000 + iota
	contextDeliver
	// contextProbe: an entry took this agent for the one that has the flow.
	contextProbe
	// contextSearch: the entry asked all agents.
	contextSearch
)

// New returns an agent whose host is unknown.
func New(cfg Config) *Agent {
	cfg = cfg.withDefaults()
	return &Agent{
		cfg: cfg, tag: mesh.ServiceTag(cfg.Service), started: cfg.Now(), load: cfg.Load,
		flows: flowtable.New[record](), searches: flowtable.New[search](), locations: flowtable.New[location](),
	}
}

// Load returns the present load of the host.
func (a *Agent) Load() mesh.Load { return a.load.Load() }

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

// Receive takes a datagram of another process.
func (a *Agent) Receive(datagram []byte) {
	var m mesh.Message
	if err := m.Decode(datagram); err != nil {
		badDatagrams.Inc()
		return
	}
	if m.ConfigVersion > a.cfg.ConfigVersion() && m.Entry != 0 {
		a.cfg.NewerConfig(m.Entry)
	}
	switch m.Kind {
	case mesh.Offer, mesh.Deliver, mesh.Search, mesh.Located:
	default:
		return
	}
	if m.Service != a.tag {
		wrongService.Inc()
		if a.cfg.Log.Rare() {
			a.cfg.Log.Warn("packet for another service dropped", "kind", m.Kind.String(), "from", flow.IPText(m.Entry), "expected", a.cfg.Service)
		}
		return
	}
	if m.Kind == mesh.Located {
		a.located(m.Flow, m.Entry)
		return
	}
	s, err := platform.DecodePacket(m.Body, platform.FromCaller)
	if err != nil {
		badPackets.Inc()
		return
	}
	switch m.Kind {
	case mesh.Offer:
		a.offered(&m, s)
	case mesh.Deliver:
		a.deliver(&m, s)
	default:
		a.search(&m, s)
	}
}

// message returns a message of this agent about a flow.
func (a *Agent) message(k mesh.Kind, key flow.Key) mesh.Message {
	return mesh.Message{Kind: k, Service: a.tag, ConfigVersion: a.cfg.ConfigVersion(), Entry: a.cfg.IP, Flow: key, Load: a.load.Load()}
}

// tell sends an entry a message about a flow.
func (a *Agent) tell(k mesh.Kind, entry uint32, key flow.Key) {
	m := a.message(k, key)
	a.send(entry, &m)
}

func (a *Agent) send(ip uint32, m *mesh.Message) { m.Send(ip, a.cfg.ToMember) }

// reset tells a caller that its flow is over.
func (a *Agent) reset(key flow.Key, ack uint32) { platform.SendReset(key, ack, a.cfg.ToCaller) }

// toHost gives a packet to the host.
func (a *Agent) toHost(packet []byte, context uint32) {
	platform.SetContext(packet, context)
	a.cfg.ToHost(packet)
}
