package packettest

import (
	"container/heap"
	"encoding/binary"
	"hash"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"endiveflow.example/endiveflow/announce"
	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetagent"
	"endiveflow.example/endiveflow/packetentry"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

// Names of the fleet's services. The fleet's route leads to the first one.
const (
	FirstService  = "rota"
	SecondService = "draws"
)

// DefaultSlots is the number of slots of a host.
const DefaultSlots = 4

// One-way delays of the fleet's network.
const (
	callerDelay = 3 * time.Millisecond
	memberDelay = 500 * time.Microsecond
	hostDelay   = 100 * time.Microsecond
)

// Fleet is a small simulated fleet of entries and agents with fake hosts and callers. It runs on simulated
// time, one event after the other, so that a run can be repeated.
type Fleet struct {
	Random *rand.Rand
	Routes []routing.Route
	// WarmupRates holds the limits of the services' hosts for entries that start later, see routing.Table.WarmupRate. A host
	// that gets more opening packets within a second while it is cold is a violation.
	WarmupRates map[string]uint16
	Entries     []*Entry
	Agents      []*Agent
	// Zone returns the availability zone of the VM at an address.
	Zone func(ip uint32) string
	// Drop reports whether a datagram between two addresses is lost.
	Drop func(from, to uint32) bool
	// Delay returns the time by which a datagram between two processes is late.
	Delay func(from, to uint32) time.Duration
	// Links holds the links of VMs by address; a VM without one has a link without limits.
	Links map[uint32]*Link
	// CPUShares holds the shares of a core that VMs report, by address; the processors of the fleet have no limits. The
	// entries without one stay in rotation.
	CPUShares map[uint32]float64
	// Traffic counts the datagrams of each process by address.
	Traffic map[uint32]*Traffic
	// Membership returns what entries know of the member records. By default, all agents are listed at any time.
	Membership func(since time.Duration) packetentry.Membership
	// RouteRecord is the route record in the store, which an entry writes after each change of the routes and each one that starts
	// reads; nil means that there is none, and that none is written.
	RouteRecord *routing.Table
	// Log returns the log of a process that starts at an address; nil means that lines are discarded.
	Log func(ip uint32) *eventlog.Log
	// ToCaller receives each packet for a caller.
	ToCaller func(s flow.Segment, from uint32)
	// Violations collects violations of guarantees, such as a flow opened at a draining host.
	Violations []string

	openFlows map[flow.Key]*openFlow
	// allowed holds the services that any configuration led a route to.
	allowed map[allowedService]bool
	// changes is the number of changes of the routes.
	changes uint64
	// digest is the digest of all datagrams sent so far, see Digest.
	digest      hash.Hash64
	now         time.Duration
	eventSerial int
	events      events
}

// Entry is an entry of the fleet.
type Entry struct {
	*packetentry.Entry
	IP uint32
	// Up is set while the process runs.
	Up bool
	// Evacuations holds the evacuated zones that the process knows.
	Evacuations *evacuation.Holder
	// routes holds the process's routes.
	routes *routing.Holder
	// reports schedules the reports of the process.
	reports *announce.Schedule
	// pausedUntil is the time until which the process is paused.
	pausedUntil time.Duration
}

// Pause pauses the process; packets that arrive meanwhile are handled afterwards.
func (e *Entry) Pause(f *Fleet, d time.Duration) { e.pausedUntil = f.now + d }

// whenRunning calls fn as soon as the entry is not paused, unless it is down by then.
func (f *Fleet) whenRunning(e *Entry, fn func()) {
	if f.now < e.pausedUntil {
		f.After(e.pausedUntil-f.now, func() { f.whenRunning(e, fn) })
		return
	}
	if e.Up {
		fn()
	}
}

// Agent is an agent of the fleet with its host.
type Agent struct {
	*packetagent.Agent
	Host *Host
	IP   uint32
	Up   bool
	// reports schedules the reports of the process.
	reports *announce.Schedule
	// evacuations holds the evacuated zones that the process knows.
	evacuations *evacuation.Holder
}

// NewFleet returns a fleet without entries and agents.
func NewFleet(seed uint64) *Fleet {
	f := &Fleet{
		Random: rand.New(rand.NewPCG(seed, 1)), Drop: func(uint32, uint32) bool { return false }, Delay: func(uint32, uint32) time.Duration { return 0 },
		Zone:     func(uint32) string { return "a" },
		ToCaller: func(flow.Segment, uint32) {}, Links: make(map[uint32]*Link), Traffic: make(map[uint32]*Traffic),
		openFlows: make(map[flow.Key]*openFlow), allowed: make(map[allowedService]bool), digest: fnv.New64a(),
	}
	f.Membership = func(time.Duration) packetentry.Membership { return f.ListedAgents() }
	endpoint := Key(0).Service
	f.Routes = []routing.Route{{Name: "r", Endpoint: endpoint, Shares: []routing.Share{{Service: FirstService, Weight: 1}}, TargetLatency: 150 * time.Millisecond}}
	return f
}

// ListedAgents returns the member records of all agents, read now.
func (f *Fleet) ListedAgents() packetentry.Membership {
	m := packetentry.Membership{ReadAt: f.now, Known: true}
	for _, a := range f.Agents {
		m.Agents = append(m.Agents, a.IP)
	}
	return m
}

// joinOrder returns the order in which agents were added.
func (f *Fleet) joinOrder() map[uint32]uint64 {
	orders := make(map[uint32]uint64, len(f.Agents))
	for i, a := range f.Agents {
		orders[a.IP] = uint64(i + 1)
	}
	return orders
}

// Now returns the fleet's simulated time.
func (f *Fleet) Now() time.Duration { return f.now }

// After schedules fn to run after d.
func (f *Fleet) After(d time.Duration, fn func()) {
	f.eventSerial++
	heap.Push(&f.events, event{f.now + d, f.eventSerial, fn})
}

// Digest returns a digest of the datagrams sent so far: their times, senders and contents, in order. Two runs with the same
// seed have the same digest at the same time.
func (f *Fleet) Digest() uint64 { return f.digest.Sum64() }

// addToDigest records a datagram that a VM sends. to is the address of the receiving VM, 0 for a caller.
func (f *Fleet) addToDigest(from, to uint32, datagram []byte) {
	head := binary.LittleEndian.AppendUint64(make([]byte, 0, 16), uint64(f.now))
	head = binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(head, from), to)
	f.digest.Write(head)
	f.digest.Write(datagram)
}

// Run advances the simulated time by d.
func (f *Fleet) Run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// ticker returns a function that ticks a process and schedules the next tick as the process requests.
// whileRunning calls its argument only if the process still runs.
func (f *Fleet) ticker(tick func() time.Duration, whileRunning func(fn func())) func() {
	var runTick func()
	runTick = func() {
		whileRunning(func() {
			if next := tick(); next > 0 {
				f.After(next, runTick)
			}
		})
	}
	return runTick
}

// AddEntry adds an entry and starts it.
func (f *Fleet) AddEntry(ip uint32) *Entry {
	e := &Entry{IP: ip}
	f.Entries = append(f.Entries, e)
	f.StartEntry(e)
	f.every(time.Second, func() {
		if e.Up {
			e.Sweep()
		}
	})
	return e
}

// StartEntry starts a new process for an entry, without the state of the previous one.
func (f *Fleet) StartEntry(e *Entry) {
	e.routes = new(routing.Holder)
	e.routes.StoreIfNewer(f.table())
	e.Up, e.Evacuations = true, new(evacuation.Holder)
	var started *packetentry.Entry
	tick := f.ticker(func() time.Duration { return started.Tick() }, func(fn func()) {
		f.whenRunning(e, func() {
			if e.Entry == started {
				fn()
			}
		})
	})
	var linkBytesPerSecond float64
	if l := f.Links[e.IP]; l != nil {
		linkBytesPerSecond = l.BytesPerSecond
	}
	started = packetentry.New(packetentry.Config{
		LinkBytesPerSecond: linkBytesPerSecond, CPUShare: f.CPUShares[e.IP],
		IP: e.IP, Zone: f.Zone(e.IP), Incarnation: int64(f.now / time.Millisecond), Now: f.Now, Routes: e.routes, Log: f.newLog(e.IP),
		Random:      f.Random.Uint64,
		Evacuations: e.Evacuations, EvacuationsReported: e.NoteEvacuations,
		ToCaller:       f.callerSender(e.IP),
		ToMember:       func(ip uint32, d []byte) { f.toMember(e.IP, ip, d) },
		NewerConfig:    func(uint32) {},
		PeerDiscovered: func(ip uint32) { e.reports.Announce(ip) },
		StateChanged:   func(ip uint32) { e.reports.Announce(ip) },
		ScheduleTick:   func(d time.Duration) { f.After(d, tick) },
		Membership:     func(since time.Duration) packetentry.Membership { return f.Membership(since) },
		JoinOrder:      f.joinOrder,
	})
	e.Entry = started
	if f.RouteRecord != nil {
		e.RouteRecordRead(f.RouteRecord)
	}
	e.reports = f.newSchedule(e.IP)
	f.runReports(reporting{
		from: e.IP, schedule: e.reports, up: func() bool { return e.Up && e.Entry == started }, groups: []announce.Group{announce.Entries, announce.Agents},
		message: func(s *announce.Schedule) ([]byte, error) {
			return e.ReportMessage(s.Interval(announce.Entries), s.Interval(announce.Agents))
		},
	})
	for _, a := range f.Agents {
		a.reports.Announce(e.IP)
	}
}

// NoteEvacuations merges a state that the entry read from the store or from a report, and announces a change.
func (e *Entry) NoteEvacuations(s evacuation.State) {
	if e.Evacuations.Merge(s) {
		e.reports.AnnounceAll()
	}
}

// AddAgent adds an agent with a ready host of 4 slots and starts both.
func (f *Fleet) AddAgent(ip uint32, service string) *Agent {
	a := &Agent{IP: ip, Host: &Host{Service: service, Up: true, State: host.Ready, WorkTime: 30 * time.Millisecond, Slots: DefaultSlots, Flows: map[flow.Key]uint32{}}}
	f.Agents = append(f.Agents, a)
	f.StartAgent(a)
	f.StartHost(a)
	f.every(time.Second, func() { f.SendHeartbeat(a) })
	f.every(time.Second, func() {
		if a.Up {
			a.Sweep()
		}
	})
	return a
}

// StartAgent starts a new process for an agent, without the state of the previous one.
func (f *Fleet) StartAgent(a *Agent) {
	// The process that acknowledged a drain is gone. The host's next heartbeat reports the drain to the new
	// one.
	a.Up, a.Host.DrainAckedAt, a.evacuations = true, 0, new(evacuation.Holder)
	var started *packetagent.Agent
	tick := f.ticker(func() time.Duration { return started.Tick() }, func(fn func()) {
		if a.Up && a.Agent == started {
			fn()
		}
	})
	started = packetagent.New(packetagent.Config{
		IP: a.IP, Service: a.Host.Service, Host: flow.Endpoint{IP: a.IP, Port: 8165}, Zone: f.Zone(a.IP), CallerPort: 9000,
		Incarnation: int64(f.now/time.Millisecond) + 1, Now: f.Now, Log: f.newLog(a.IP),
		UnixMilli:     func() int64 { return int64(f.now / time.Millisecond) },
		ToHost:        func(p []byte) { f.toHost(a, p) },
		ToCaller:      f.callerSender(a.IP),
		ToMember:      func(ip uint32, d []byte) { f.toMember(a.IP, ip, d) },
		Evacuations:   a.evacuations.Current,
		ConfigVersion: func() uint64 { return 1 }, IdleTimeout: func() time.Duration { return routing.MinIdleTimeout }, NewerConfig: func(uint32) {},
		ReportChanged: func() { a.reports.AnnounceAll() },
		ScheduleTick:  func(d time.Duration) { f.After(d, tick) },
	})
	a.Agent = started
	a.reports = f.newSchedule(a.IP)
	f.runReports(reporting{
		from: a.IP, schedule: a.reports, up: func() bool { return a.Up && a.Agent == started }, groups: []announce.Group{announce.Entries},
		message: func(s *announce.Schedule) ([]byte, error) { return a.ReportMessage(s.Interval(announce.Entries)) },
	})
}

func (f *Fleet) newLog(ip uint32) *eventlog.Log {
	if f.Log == nil {
		return eventlog.New(eventlog.Config{Out: io.Discard})
	}
	return f.Log(ip)
}

// every calls fn at an interval for as long as the fleet runs.
func (f *Fleet) every(d time.Duration, fn func()) {
	f.After(d, func() {
		fn()
		f.every(d, fn)
	})
}

// newSchedule returns the schedule of the reports of a process that starts.
func (f *Fleet) newSchedule(ip uint32) *announce.Schedule {
	cfg := announce.Config{Shuffle: func(ips []uint32) { f.Random.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] }) }}
	if l := f.Links[ip]; l != nil {
		cfg.LinkBytesPerSecond = l.BytesPerSecond
	}
	return announce.New(cfg)
}

// reporting is what a process needs to send its reports.
type reporting struct {
	from     uint32
	schedule *announce.Schedule
	// up reports whether the process still runs.
	up func() bool
	// groups are the groups that get reports.
	groups  []announce.Group
	message func(*announce.Schedule) ([]byte, error)
	// refreshed is when the recipients were last updated.
	refreshed time.Duration
}

// reportStep is the time after which a process checks whether reports are due, refreshInterval the time after which it
// updates the recipients.
const (
	reportStep      = 10 * time.Millisecond
	refreshInterval = time.Second
)

// runReports sends the reports of a process while it is up.
func (f *Fleet) runReports(r reporting) {
	f.After(0, func() {
		f.refreshRecipients(&r)
		f.sendReports(&r)
	})
}

func (f *Fleet) sendReports(r *reporting) {
	if !r.up() {
		return
	}
	if f.now-r.refreshed >= refreshInterval {
		f.refreshRecipients(r)
	}
	due, _ := r.schedule.Due(f.now)
	if len(due) > 0 {
		b, err := r.message(r.schedule)
		if err != nil {
			f.Violations = append(f.Violations, err.Error())
		}
		for _, ip := range due {
			f.toMember(r.from, ip, b)
		}
	}
	f.After(reportStep, func() { f.sendReports(r) })
}

func (f *Fleet) refreshRecipients(r *reporting) {
	r.refreshed = f.now
	for _, g := range r.groups {
		var ips []uint32
		switch g {
		case announce.Entries:
			for _, e := range f.Entries {
				ips = append(ips, e.IP)
			}
		default:
			for _, a := range f.Agents {
				ips = append(ips, a.IP)
			}
		}
		r.schedule.SetRecipients(g, slices.DeleteFunc(ips, func(ip uint32) bool { return ip == r.from }))
	}
}

// toMember delivers a datagram to the process at an address.
func (f *Fleet) toMember(from, to uint32, datagram []byte) {
	f.countTraffic(from, datagram)
	f.addToDigest(from, to, datagram)
	d := append([]byte(nil), datagram...)
	if from == to {
		f.After(memberDelay, func() { f.deliver(to, d) })
		return
	}
	if delay, sent := f.sendDelay(from, len(d)); sent && !f.Drop(from, to) {
		f.After(delay+memberDelay+f.Delay(from, to), func() {
			f.arrive(to, len(d), func() { f.deliver(to, d) })
		})
	}
}

// deliver passes a datagram to the process at an address.
func (f *Fleet) deliver(to uint32, datagram []byte) {
	for _, e := range f.Entries {
		if e.IP == to {
			f.whenRunning(e, func() { e.Receive(datagram) })
		}
	}
	for _, a := range f.Agents {
		if a.IP == to && a.Up {
			f.noteEvacuations(a, datagram)
			a.Receive(datagram)
		}
	}
}

// noteEvacuations passes on what an entry's report says of evacuations, as the agent's process does.
func (f *Fleet) noteEvacuations(a *Agent, datagram []byte) {
	var m mesh.Message
	if m.Decode(datagram) != nil || m.Kind != mesh.KindEntryReport {
		return
	}
	report, err := mesh.DecodeReport[mesh.EntryReport](m.Body)
	if err == nil && a.evacuations.Merge(report.Evacuations) {
		a.SetEvacuated(a.evacuations.Current().Includes(f.Zone(a.IP)))
	}
}

func (f *Fleet) callerSender(from uint32) func(flow.Endpoint, []byte) {
	return func(_ flow.Endpoint, packet []byte) {
		f.addToDigest(from, 0, packet)
		s, err := platform.DecodePacket(packet, platform.FromHost)
		if err != nil {
			f.Violations = append(f.Violations, "a caller received an invalid packet")
			return
		}
		f.checkReset(from, s)
		if delay, sent := f.sendDelay(from, len(packet)); sent {
			f.After(delay+callerDelay, func() { f.ToCaller(s, from) })
		}
	}
}

// FromCaller sends a caller's packet through an entry.
func (f *Fleet) FromCaller(e *Entry, packet []byte) {
	p := append([]byte(nil), packet...)
	f.After(callerDelay, func() {
		f.arrive(e.IP, len(p), func() { f.whenRunning(e, func() { e.FromCaller(p) }) })
	})
}

// PowerOff takes all VMs down for a time. Their processes and hosts then start within startSpread, the hosts
// cold.
func (f *Fleet) PowerOff(down time.Duration) {
	for _, e := range f.Entries {
		e.Up = false
		f.After(down+f.randomDelay(startSpread), func() { f.StartEntry(e) })
	}
	for _, a := range f.Agents {
		a.Up, a.Host.Up = false, false
		started := down + f.randomDelay(startSpread)
		f.After(started+f.randomDelay(processSkew), func() { f.StartAgent(a) })
		f.After(started+f.randomDelay(processSkew), func() {
			f.StartColdHost(a)
		})
	}
}

// startSpread is the time within which the processes of VMs start that get power at the same moment.
const startSpread = 300 * time.Millisecond

// processSkew is the time within which the agent and the host of one VM start.
const processSkew = 20 * time.Millisecond

func (f *Fleet) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(f.Random.Int64N(int64(limit)))
}

// Owner returns the agent whose running host has the flow with the given initial sequence number, or nil.
func (f *Fleet) Owner(key flow.Key, initialSeq uint32) *Agent {
	for _, a := range f.Agents {
		if n, ok := a.Host.Flows[key]; ok && n == initialSeq && a.Host.Up {
			return a
		}
	}
	return nil
}

// Address returns the address of the fleet's nth VM.
func Address(n int) uint32 { return 0x0a010000 + uint32(n) }
