package packettest

import (
	"container/heap"
	"io"
	"math/rand/v2"
	"time"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/packetagent"
	"endiveflow.example/endiveflow/packetentry"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

// Service names and the route of the fleet's first service.
const (
	FirstService  = "rota"
	SecondService = "draws"
)

// Delays of the fleet's network.
const (
	callerDelay = 3 * time.Millisecond
	memberDelay = 500 * time.Microsecond
	hostDelay   = 100 * time.Microsecond
)

// Fleet is a small fleet of entries and agents with fake hosts and callers. It
// runs on a time of its own, one event after the other, so that a run repeats.
type Fleet struct {
	Random  *rand.Rand
	Routes  []routing.Route
	Entries []*Entry
	Agents  []*Agent
	// Lose says whether a datagram between two addresses is lost.
	Lose func(from, to uint32) bool
	// ToCaller receives each packet for a caller.
	ToCaller func(s flow.Segment, from uint32)
	// Broken collects what a host saw that it must not see.
	Broken []string

	now    time.Duration
	serial int
	events events
}

// Entry is an entry of the fleet.
type Entry struct {
	*packetentry.Entry
	IP uint32
	// Up says whether the process runs.
	Up bool
	// paused is until when the process stands still.
	paused time.Duration
}

// Pause lets the process stand still; what arrives waits.
func (e *Entry) Pause(f *Fleet, d time.Duration) { e.paused = f.now + d }

// whenRunning does something when the process doesn't stand still.
func (f *Fleet) whenRunning(e *Entry, do func()) {
	if f.now < e.paused {
		f.After(e.paused-f.now, func() { f.whenRunning(e, do) })
		return
	}
	if e.Up {
		do()
	}
}

// Agent is an agent of the fleet with its host.
type Agent struct {
	*packetagent.Agent
	Host *Host
	IP   uint32
	Up   bool
}

// NewFleet returns a fleet without entries and agents.
func NewFleet(seed uint64) *Fleet {
	f := &Fleet{
		Random: rand.New(rand.NewPCG(seed, 1)), Lose: func(uint32, uint32) bool { return false },
		ToCaller: func(flow.Segment, uint32) {},
	}
	at := Key(0).Service
	f.Routes = []routing.Route{{Name: "r", At: at, Shares: []routing.Share{{Service: FirstService, Weight: 1}}, Target: 150 * time.Millisecond}}
	return f
}

// Now returns the fleet's time.
func (f *Fleet) Now() time.Duration { return f.now }

// After does something later.
func (f *Fleet) After(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.events, event{f.now + d, f.serial, do})
}

// Run runs the fleet for a time.
func (f *Fleet) Run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// ticker returns a function that ticks a process and repeats it when the process
// says. whileRunning calls its argument only if the process still runs.
func (f *Fleet) ticker(tick func() time.Duration, whileRunning func(do func())) func() {
	var again func()
	again = func() {
		whileRunning(func() {
			if next := tick(); next > 0 {
				f.After(next, again)
			}
		})
	}
	return again
}

// AddEntry starts an entry.
func (f *Fleet) AddEntry(ip uint32) *Entry {
	e := &Entry{IP: ip}
	f.Entries = append(f.Entries, e)
	f.StartEntry(e)
	f.every(time.Second, func() {
		if e.Up {
			e.Sweep()
			f.reportEntry(e)
		}
	})
	return e
}

// StartEntry starts the process of an entry anew, without its memory.
func (f *Fleet) StartEntry(e *Entry) {
	var routes routing.Holder
	routes.Offer(routing.NewTable(1, 0, f.Routes, nil))
	e.Up = true
	var started *packetentry.Entry
	tick := f.ticker(func() time.Duration { return started.Tick() }, func(do func()) {
		f.whenRunning(e, func() {
			if e.Entry == started {
				do()
			}
		})
	})
	started = packetentry.New(packetentry.Config{
		IP: e.IP, Zone: "a", Incarnation: int64(f.now / time.Millisecond), Now: f.Now, Routes: &routes, Log: quietLog(),
		ToCaller:    f.callerSender(e.IP),
		ToMember:    func(ip uint32, d []byte) { f.toMember(e.IP, ip, d) },
		NewerConfig: func(uint32) {},
		Met:         func(uint32) { f.After(0, func() { f.reportEntry(e) }) },
		Waiting:     func(d time.Duration) { f.After(d, tick) },
	})
	e.Entry = started
	f.After(0, func() {
		f.reportEntry(e)
		for _, a := range f.Agents {
			f.reportAgent(a)
		}
	})
}

// AddAgent starts an agent with a ready host of 4 slots.
func (f *Fleet) AddAgent(ip uint32, service string) *Agent {
	a := &Agent{IP: ip, Host: &Host{Service: service, Up: true, State: host.Ready, Work: 30 * time.Millisecond, Flows: map[flow.Key]uint32{}}}
	f.Agents = append(f.Agents, a)
	f.StartAgent(a)
	f.StartHost(a)
	f.every(time.Second, func() { f.Beat(a) })
	f.every(time.Second, func() {
		if a.Up {
			a.Sweep()
			f.reportAgent(a)
		}
	})
	return a
}

// StartAgent starts the process of an agent anew, without its memory.
func (f *Fleet) StartAgent(a *Agent) {
	// The process that acknowledged a drain is gone; the next heartbeat tells its successor.
	a.Up, a.Host.DrainedAt = true, 0
	var started *packetagent.Agent
	tick := f.ticker(func() time.Duration { return started.Tick() }, func(do func()) {
		if a.Up && a.Agent == started {
			do()
		}
	})
	started = packetagent.New(packetagent.Config{
		IP: a.IP, Service: a.Host.Service, Host: flow.Endpoint{IP: a.IP, Port: 8165}, Zone: "a", CallerPort: 9000,
		Incarnation: int64(f.now/time.Millisecond) + 1, Now: f.Now, Log: quietLog(),
		UnixMilli:     func() int64 { return int64(f.now / time.Millisecond) },
		ToHost:        func(p []byte) { f.toHost(a, p) },
		ToCaller:      f.callerSender(a.IP),
		ToMember:      func(ip uint32, d []byte) { f.toMember(a.IP, ip, d) },
		ConfigVersion: func() uint64 { return 1 }, IdleTimeout: func() time.Duration { return routing.MinIdleTimeout }, NewerConfig: func(uint32) {},
		Changed: func() { f.After(0, func() { f.reportAgent(a) }) },
		Waiting: func(d time.Duration) { f.After(d, tick) },
	})
	a.Agent = started
	f.After(0, func() { f.reportAgent(a) })
}

func quietLog() *eventlog.Log { return eventlog.New(eventlog.Config{Out: io.Discard}) }

// every repeats something for as long as the fleet runs.
func (f *Fleet) every(d time.Duration, do func()) {
	f.After(d, func() {
		do()
		f.every(d, do)
	})
}

func (f *Fleet) reportEntry(e *Entry) {
	b, err := e.ReportMessage(time.Second)
	if err != nil || !e.Up {
		return
	}
	for _, other := range f.Entries {
		f.toMember(e.IP, other.IP, b)
	}
	for _, a := range f.Agents {
		f.toMember(e.IP, a.IP, b)
	}
}

func (f *Fleet) reportAgent(a *Agent) {
	b, err := a.ReportMessage(time.Second)
	if err != nil || !a.Up {
		return
	}
	for _, e := range f.Entries {
		f.toMember(a.IP, e.IP, b)
	}
}

// toMember delivers a datagram to the process at an address.
func (f *Fleet) toMember(from, to uint32, datagram []byte) {
	if from != to && f.Lose(from, to) {
		return
	}
	d := append([]byte(nil), datagram...)
	f.After(memberDelay, func() {
		for _, e := range f.Entries {
			if e.IP == to {
				f.whenRunning(e, func() { e.Receive(d) })
			}
		}
		for _, a := range f.Agents {
			if a.IP == to && a.Up {
				a.Receive(d)
			}
		}
	})
}

func (f *Fleet) callerSender(from uint32) func(flow.Endpoint, []byte) {
	return func(_ flow.Endpoint, packet []byte) {
		s, err := platform.DecodePacket(packet, platform.FromHost)
		if err != nil {
			f.Broken = append(f.Broken, "a caller got no packet")
			return
		}
		f.After(callerDelay, func() { f.ToCaller(s, from) })
	}
}

// FromCaller sends a packet of a caller through an entry.
func (f *Fleet) FromCaller(e *Entry, packet []byte) {
	p := append([]byte(nil), packet...)
	f.After(callerDelay, func() {
		f.whenRunning(e, func() { e.FromCaller(p) })
	})
}

// Owner returns the agent whose host has the flow that its caller uses.
func (f *Fleet) Owner(key flow.Key, first uint32) *Agent {
	for _, a := range f.Agents {
		if n, ok := a.Host.Flows[key]; ok && n == first && a.Host.Up {
			return a
		}
	}
	return nil
}

// Address returns the nth address of the fleet's VMs.
func Address(n int) uint32 { return 0x0a010000 + uint32(n) }
