package packetentry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/incarnation"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

// agent is the entry's record of one agent. Its report is replaced as a whole; the load changes with each
// message of the agent.
type agent struct {
	report atomic.Pointer[mesh.AgentReport]
	// lastHeard is when the last message arrived, in the time of Config.Now.
	lastHeard atomic.Int64

	// joined reports whether the agent became known when the entry had known the others for some time, and joinedAt when.
	joined   bool
	joinedAt time.Duration
	// incarnations determines which incarnation of the agent report is of. Guarded by roster.mu.
	incarnations *incarnation.Succession
	// runningSince is when the incarnation of the report became known, in the time of Config.Now.
	runningSince atomic.Int64
	// mixedIP is flow.Mix of the address, from which the rendezvous weights follow.
	mixedIP uint64
	// open is load.Open, and unresponsiveUntil when the next offer may be sent to an agent that left some unanswered, in the
	// time of Config.Now. Both are read for many agents per flow, without the lock.
	open              atomic.Bool
	unresponsiveUntil atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// load was reported at loadAt; offersSinceLoad counts the offers since then.
	load            mesh.Load
	loadAt          time.Duration
	offersSinceLoad int
	// unansweredOffers is the number of offers that the agent left unanswered since its last message, up to
	// maxUnanswered.
	unansweredOffers int
}

// unresponsiveBase is the time for which an agent that left an offer unanswered gets no others while there are
// alternatives. It doubles with each further one, up to maxUnanswered. The loss of one datagram must not exclude an agent
// until its next report, which may be far away.
const (
	unresponsiveBase = 2 * time.Second
	maxUnanswered    = 4
)

func (a *agent) recordMessage(l mesh.Load, now time.Duration) {
	a.lastHeard.Store(int64(now))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unansweredOffers = 0
	a.unresponsiveUntil.Store(0)
	if l.Slots > 0 {
		a.load, a.loadAt, a.offersSinceLoad = l, now, 0
		a.open.Store(l.Open)
	}
}

// timedOut reports whether the agent has sent no message for longer than its report interval allows.
func (a *agent) timedOut(now time.Duration) bool {
	return now-time.Duration(a.lastHeard.Load()) > mesh.SilenceTimeout(a.report.Load().IntervalMs)
}

// isClosing reports whether the agent or its host is leaving, so that it takes no new flows.
func (a *agent) isClosing() bool {
	r := a.report.Load()
	return r.Leaving || r.HostState == host.Draining || r.HostState == host.Gone
}

func (a *agent) countOffer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.offersSinceLoad++
}

func (a *agent) markUnresponsive(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsiveUntil.Store(int64(now + unresponsiveBase<<a.unansweredOffers))
	a.unansweredOffers = min(a.unansweredOffers+1, maxUnanswered)
}

// takesFlows reports whether the agent answers offers and its host accepts flows, as far as is known.
func (a *agent) takesFlows(now time.Duration) bool {
	return a.open.Load() && int64(now) >= a.unresponsiveUntil.Load() && !a.timedOut(now)
}

// isAvailable reports whether the agent takes flows, doesn't leave, and isn't in an evacuated zone.
func (a *agent) isAvailable(now time.Duration, evacuated evacuation.State) bool {
	return a.takesFlows(now) && !a.isClosing() && !evacuated.Includes(a.report.Load().Zone)
}

// joinedRecently reports whether flows may be open that were placed before the agent was known.
func (a *agent) joinedRecently(now time.Duration) bool {
	return a.joined && now-a.joinedAt < maxFlowAge
}

// maxFlowAge is the time for which a flow may be open, according to the platform.
const maxFlowAge = 60 * time.Second

func (a *agent) candidate(zone string, now time.Duration) placement.Candidate {
	r := a.report.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	return placement.Candidate{
		IP: r.IP, SameZone: r.Zone == zone, Load: a.load, LoadAge: now - a.loadAt, OffersSinceLoad: a.offersSinceLoad, WarmingUp: !r.HostWarm,
		RelativeCost: float64(r.RelativeCostPermille) / 1000,
	}
}

// roster holds the agents and entries that the entry has reports of.
type roster struct {
	cfg     Config
	started time.Duration

	// lastJoin is when an agent last joined, in the time of Config.Now; 0 for never.
	lastJoin atomic.Int64

	// mu guards the fields below.
	mu sync.RWMutex
	// agents and entries are keyed by address.
	agents map[uint32]*agent
	// services holds the agents of each service by its name, ordered by address. The slices are replaced, never
	// modified.
	services map[string][]*agent
	entries  map[uint32]entryPeer
	// lookupCache holds the entries that searches ask; it is replaced, never modified.
	lookupCache *lookupCandidates

	// typicalMu guards typicalTimes, the typical service time of each service.
	typicalMu    sync.Mutex
	typicalTimes map[string]typicalTime
}

// entryPeer is another entry.
type entryPeer struct {
	report mesh.EntryReport
	// incarnations determines which incarnation of the entry report is of.
	incarnations *incarnation.Succession
	lastHeard    time.Duration
	// unansweredEchoes is the number of echoes sent since its last report or answer.
	unansweredEchoes int
}

func newRoster(cfg Config) *roster {
	return &roster{
		cfg: cfg, started: cfg.Now(), agents: make(map[uint32]*agent), services: make(map[string][]*agent), entries: make(map[uint32]entryPeer),
		typicalTimes: make(map[string]typicalTime),
	}
}

func (r *roster) agent(ip uint32) *agent {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.agents[ip]
}

func (r *roster) serviceAgents(service string) []*agent {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[service]
}

// allAgents returns every agent, ordered by address, for a flow whose service isn't known.
func (r *roster) allAgents() []*agent {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*agent, 0, len(r.agents))
	for _, a := range r.agents {
		out = append(out, a)
	}
	slices.SortFunc(out, byAddress)
	return out
}

func byAddress(a, b *agent) int { return cmp.Compare(a.report.Load().IP, b.report.Load().IP) }

// serviceNames returns the services that have agents, in order.
func (r *roster) serviceNames() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.services))
}

const (
	// reportSilence is the time without a report after which a process may have been replaced by one whose clock is behind the
	// clock of the former one.
	reportSilence = time.Second
	// reportSpan is longer than datagrams of a former process keep arriving after its end.
	reportSpan = 500 * time.Millisecond
)

func newReportSuccession() *incarnation.Succession {
	return incarnation.NewSuccession(incarnation.Config{Silence: reportSilence, Span: reportSpan})
}

// processIdentity returns the identity of a process with a start time, among those at its address.
func processIdentity(startedAt int64) incarnation.Identity {
	return incarnation.Identity{StartedAt: startedAt}
}

// updateAgent records the report of an agent. isNew reports whether the incarnation of the agent had no
// record, and changed whether the report affects the placement of flows.
func (r *roster) updateAgent(report mesh.AgentReport, load mesh.Load) (isNew, changed bool) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[report.IP]
	if a == nil {
		a = &agent{joined: now-r.started >= settleTime, joinedAt: now, mixedIP: flow.Mix(uint64(report.IP)), incarnations: newReportSuccession()}
		if a.joined {
			r.lastJoin.Store(int64(now))
		}
		a.incarnations.Observe(processIdentity(report.Incarnation), report.Version, now)
		a.runningSince.Store(int64(now))
		a.report.Store(&report)
		a.recordMessage(load, now)
		r.agents[report.IP] = a
		r.addToService(a)
		return true, true
	}
	previous := *a.report.Load()
	if previous.Leaving {
		a.incarnations.MarkEnded()
	}
	if a.incarnations.Observe(processIdentity(report.Incarnation), report.Version, now) == incarnation.Outdated {
		return false, false
	}
	if report.HostState == host.Unknown && previous.Service == report.Service {
		// An agent that has just started has no record yet that its host is draining.
		report.HostState, report.HostID, report.HostStartedAt = previous.HostState, previous.HostID, previous.HostStartedAt
	}
	if previous.Incarnation != report.Incarnation {
		a.runningSince.Store(int64(now))
	}
	a.report.Store(&report)
	a.recordMessage(load, now)
	if previous.Service != report.Service {
		r.rebuildServices()
	}
	return previous.Incarnation != report.Incarnation,
		previous.Service != report.Service || previous.HostState != report.HostState ||
			previous.Leaving != report.Leaving || previous.HostID != report.HostID
}

// serviceID returns the agent's service as it is identified in messages.
func (a *agent) serviceID() mesh.ServiceID { return mesh.ServiceIDOf(a.report.Load().Service) }

// addToService adds a new agent to the agents of its service; r.mu must be held. After a mass start, agents become known
// one after the other, so that the cost of one must not be that of all.
func (r *roster) addToService(a *agent) {
	report := a.report.Load()
	agents := r.services[report.Service]
	at, _ := slices.BinarySearchFunc(agents, report.IP, func(a *agent, ip uint32) int { return cmp.Compare(a.report.Load().IP, ip) })
	r.services[report.Service] = slices.Insert(slices.Clone(agents), at, a)
}

// rebuildServices rebuilds services; r.mu must be held.
func (r *roster) rebuildServices() {
	services := make(map[string][]*agent)
	for _, a := range r.agents {
		service := a.report.Load().Service
		services[service] = append(services[service], a)
	}
	for _, agents := range services {
		slices.SortFunc(agents, byAddress)
	}
	r.services = services
}

// updateEntry records the report of another entry, and reports whether its incarnation had no record.
func (r *roster) updateEntry(report mesh.EntryReport) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	previous, known := r.entries[report.IP]
	if !known {
		previous.incarnations = newReportSuccession()
	}
	isSame := known && previous.report.Incarnation == report.Incarnation
	if isSame && previous.report.Rotation.Version > report.Rotation.Version {
		// The report was delayed: its state of the entry is older.
		report.Rotation = previous.report.Rotation
	} else if outcome := previous.incarnations.Observe(processIdentity(report.Incarnation), report.Rotation.Version, now); outcome == incarnation.Outdated && !isSame {
		return false
	}
	r.entries[report.IP] = entryPeer{report: report, incarnations: previous.incarnations, lastHeard: now}
	return !isSame
}

// activePeers returns the addresses of the processes that sent a message recently.
func (r *roster) activePeers() (entries, agents []uint32) {
	now := r.cfg.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	for ip, e := range r.entries {
		if now-e.lastHeard <= mesh.SilenceTimeout(e.report.IntervalMs) {
			entries = append(entries, ip)
		}
	}
	for ip, a := range r.agents {
		if !a.timedOut(now) {
			agents = append(agents, ip)
		}
	}
	slices.Sort(entries)
	slices.Sort(agents)
	return entries, agents
}

// filledShare is the share of the agents that other entries know from which a roster counts as filled. Others may know agents
// that are gone and have not timed out.
const filledShare = 0.9

// isFilled reports whether the roster holds most of the agents that other entries report. An entry that knows few agents
// offers all flows to these, and takes wrong agents for the directory agents of flows.
func (r *roster) isFilled() bool {
	_, agents := r.activePeers()
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, e := range r.entries {
		if float64(len(agents)) < filledShare*float64(e.report.AgentCount) {
			return false
		}
	}
	return true
}

// zonePeers returns the addresses of the other entries of the availability zone that sent a message recently, in order.
func (r *roster) zonePeers() []uint32 {
	now := r.cfg.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []uint32
	for ip, e := range r.entries {
		if ip != r.cfg.IP && e.report.Zone == r.cfg.Zone && now-e.lastHeard <= mesh.SilenceTimeout(e.report.IntervalMs) {
			out = append(out, ip)
		}
	}
	slices.Sort(out)
	return out
}

// removalFactor is the time without a message after which the record of a process is removed, as a multiple of
// mesh.SilenceTimeout.
const removalFactor = 8

// sweep removes the processes that have not sent a message for a long time, and returns their addresses in order.
func (r *roster) sweep() (removed []uint32) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for ip, e := range r.entries {
		if now-e.lastHeard > removalFactor*mesh.SilenceTimeout(e.report.IntervalMs) {
			delete(r.entries, ip)
			removed = append(removed, ip)
		}
	}
	for ip, a := range r.agents {
		if now-time.Duration(a.lastHeard.Load()) > removalFactor*mesh.SilenceTimeout(a.report.Load().IntervalMs) {
			delete(r.agents, ip)
			removed = append(removed, ip)
		}
	}
	if len(removed) > 0 {
		r.rebuildServices()
	}
	slices.Sort(removed)
	return removed
}

// openSlots returns the number of slots of the hosts of a service that take flows, as far as is known.
func (r *roster) openSlots(service string) int {
	now, slots, evacuated := r.cfg.Now(), 0, r.cfg.Evacuations.Current()
	for _, a := range r.serviceAgents(service) {
		if a.isAvailable(now, evacuated) {
			slots += int(a.candidate(r.cfg.Zone, now).Load.Slots)
		}
	}
	return slots
}

// isEvacuated reports whether a service has agents that don't leave, all of them in evacuated zones.
func (r *roster) isEvacuated(service string) bool {
	evacuated, found := r.cfg.Evacuations.Current(), false
	if len(evacuated.Zones) == 0 {
		return false
	}
	for _, a := range r.serviceAgents(service) {
		switch {
		case a.isClosing():
		case !evacuated.Includes(a.report.Load().Zone):
			return false
		default:
			found = true
		}
	}
	return found
}

// hasUnknownHost reports whether a host of a service has not reported to its agent yet.
func (r *roster) hasUnknownHost(service string) bool {
	now := r.cfg.Now()
	for _, a := range r.serviceAgents(service) {
		if report := a.report.Load(); report.HostState == host.Unknown && !report.Leaving && !a.timedOut(now) {
			return true
		}
	}
	return false
}
