package packetentry

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

// agent is what the entry knows of one agent. Its report is replaced as a
// whole; the load changes with each message of the agent.
type agent struct {
	report atomic.Pointer[mesh.Agent]
	// heard is when the last message came, in Config.Now.
	heard atomic.Int64

	mu sync.Mutex
	// All below is guarded by mu. load was told at loadAt; sent counts the offers since then.
	load   mesh.Load
	loadAt time.Duration
	sent   int
	// silent says that the agent left an offer unanswered and wasn't heard from since.
	silent bool
}

func (a *agent) told(l mesh.Load, now time.Duration) {
	a.heard.Store(int64(now))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = false
	if l.Slots > 0 {
		a.load, a.loadAt, a.sent = l, now, 0
	}
}

// away says whether the agent has been silent for longer than its reports allow.
func (a *agent) away(now time.Duration) bool {
	return now-time.Duration(a.heard.Load()) > mesh.Silence(a.report.Load().IntervalMs)
}

func (a *agent) offered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
}

func (a *agent) markSilent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = true
}

func (a *agent) candidate(zone string, now time.Duration) (c placement.Candidate, silent bool) {
	r := a.report.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	return placement.Candidate{
		IP: r.IP, SameZone: r.Zone == zone, Load: a.load, LoadAge: now - a.loadAt, OffersSinceLoad: a.sent, WarmingUp: !r.Warm,
	}, a.silent
}

// roster is the set of agents and entries that the entry knows.
type roster struct {
	cfg Config

	mu sync.RWMutex
	// All below is guarded by mu.
	agents map[uint32]*agent
	// services holds the agents of each service tag, ordered by address. The slices are replaced, never changed.
	services map[uint32][]*agent
	entries  map[uint32]entryPeer
}

// entryPeer is another entry.
type entryPeer struct {
	report mesh.Entry
	heard  time.Duration
}

func newRoster(cfg Config) *roster {
	return &roster{cfg: cfg, agents: make(map[uint32]*agent), services: make(map[uint32][]*agent), entries: make(map[uint32]entryPeer)}
}

func (r *roster) agent(ip uint32) *agent {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.agents[ip]
}

func (r *roster) service(tag uint32) []*agent {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[tag]
}

// all returns every agent, for a flow whose service isn't known.
func (r *roster) all() []*agent {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*agent, 0, len(r.agents))
	for _, a := range r.agents {
		out = append(out, a)
	}
	return out
}

// newer says whether a report replaces another: by incarnation of the agent, then by version.
func newer(a, b mesh.Agent) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// takeAgent takes a report in. fresh says that the agent wasn't known, changed
// that the entry places flows differently from now on.
func (r *roster) takeAgent(report mesh.Agent, load mesh.Load) (fresh, changed bool) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[report.IP]
	if a == nil {
		a = new(agent)
		a.report.Store(&report)
		a.told(load, now)
		r.agents[report.IP] = a
		r.index()
		return true, true
	}
	before := *a.report.Load()
	if !newer(report, before) {
		return false, false
	}
	if report.Host == host.Unknown && before.Service == report.Service {
		// An agent that has just started doesn't know yet that its host drains.
		report.Host, report.HostID, report.Born = before.Host, before.HostID, before.Born
	}
	a.report.Store(&report)
	a.told(load, now)
	if before.Service != report.Service {
		r.index()
	}
	return before.Incarnation != report.Incarnation,
		before.Service != report.Service || before.Host != report.Host || before.Leaving != report.Leaving || before.HostID != report.HostID
}

// index rebuilds services; r.mu is held.
func (r *roster) index() {
	services := make(map[uint32][]*agent)
	for _, a := range r.agents {
		tag := mesh.ServiceTag(a.report.Load().Service)
		services[tag] = append(services[tag], a)
	}
	for _, agents := range services {
		slices.SortFunc(agents, func(a, b *agent) int { return cmp.Compare(a.report.Load().IP, b.report.Load().IP) })
	}
	r.services = services
}

// takeEntry takes a report of another entry in and says whether that wasn't known.
func (r *roster) takeEntry(report mesh.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.entries[report.IP]
	if known && before.report.Incarnation > report.Incarnation {
		return false
	}
	r.entries[report.IP] = entryPeer{report: report, heard: r.cfg.Now()}
	return !known || before.report.Incarnation != report.Incarnation
}

// heardFrom returns the addresses of the processes that were heard from lately.
func (r *roster) heardFrom() (entries, agents []uint32) {
	now := r.cfg.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	for ip, e := range r.entries {
		if now-e.heard <= mesh.Silence(e.report.IntervalMs) {
			entries = append(entries, ip)
		}
	}
	for ip, a := range r.agents {
		if !a.away(now) {
			agents = append(agents, ip)
		}
	}
	slices.Sort(entries)
	slices.Sort(agents)
	return entries, agents
}

// forgetAfter is how many times the silence that makes a process away makes it forgotten.
const forgetAfter = 8

// sweep forgets processes that have been silent for long, and returns them.
func (r *roster) sweep() (gone []uint32) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for ip, e := range r.entries {
		if now-e.heard > forgetAfter*mesh.Silence(e.report.IntervalMs) {
			delete(r.entries, ip)
			gone = append(gone, ip)
		}
	}
	for ip, a := range r.agents {
		if now-time.Duration(a.heard.Load()) > forgetAfter*mesh.Silence(a.report.Load().IntervalMs) {
			delete(r.agents, ip)
			gone = append(gone, ip)
		}
	}
	if len(gone) > 0 {
		r.index()
	}
	return gone
}

// candidates returns the agents that a new flow may be offered to. Agents that
// are silent and those whose hosts take no flows are left out unless there are no others.
func (r *roster) candidates(tag uint32, into []placement.Candidate, excluded func(uint32) bool) []placement.Candidate {
	now := r.cfg.Now()
	agents := r.service(tag)
	for _, spare := range []bool{false, true} {
		for _, a := range agents {
			report := a.report.Load()
			if report.Leaving || report.Host == host.Draining || report.Host == host.Gone {
				continue
			}
			c, silent := a.candidate(r.cfg.Zone, now)
			unlikely := silent || !c.Load.Open || a.away(now) || excluded(c.IP)
			if unlikely == spare {
				into = append(into, c)
			}
		}
		if len(into) > 0 {
			break
		}
	}
	return into
}

// homes returns the agents that are told where a flow of a service is: those
// of the highest rendezvous weights. Entries that know the same agents agree on them.
func (r *roster) homes(tag uint32, key flow.Key) [mesh.HomeCount]uint32 {
	var homes [mesh.HomeCount]uint32
	var weights [mesh.HomeCount]uint64
	seed := key.Hash()
	now := r.cfg.Now()
	for _, a := range r.service(tag) {
		if a.away(now) {
			continue
		}
		ip := a.report.Load().IP
		w := flow.Mix(seed ^ flow.Mix(uint64(ip)))
		switch {
		case w > weights[0]:
			homes[1], weights[1] = homes[0], weights[0]
			homes[0], weights[0] = ip, w
		case w > weights[1]:
			homes[1], weights[1] = ip, w
		}
	}
	return homes
}

// usual is the time in which the service's hosts answer, the lower median of what agents told.
func usual(candidates []placement.Candidate) mesh.Wait {
	var times [64]mesh.Wait
	n := 0
	for _, c := range candidates {
		if c.Load.Service > 0 && n < len(times) {
			times[n] = c.Load.Service
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(times[:n])
	return times[(n-1)/2]
}
