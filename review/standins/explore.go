package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// explorer plays random disruptions of a small deployment and judges MIXED, UNASKED, ROUTE, DRAIN, CONFIG and FLOW. It isn't a
// case: it is what REPORT.md names as tried. Rules with bounds are judged only while all machines are in touch, as
// there is a pause after each burst of disruptions. Variables of the environment:
//
//	SEED      the seed of the disruptions (the real clock decides the rest)
//	LENGTH    seconds
//	OPS       kinds of planned work, without pauses: e and a stop and start an entry and an agent, r replaces a host, c moves route 2
//	BURST     kinds of disruptions, in bursts: k and K kill an agent and an entry, z and Z freeze them, T and E stop and start them,
//	          h crashes a host, H takes a host and its agent, A restarts all agents, m disturbs the store
//	REQ, BODY bytes of a request's and of a response's body
//	WORK      milliseconds of a request
//	HOSTS     hosts of the first service
//	EVAC      1: zone zb is evacuated and taken back in each calm time
//	FIXED     1: route 2 stays at its service
type explorer struct {
	*lab
	random    *rand.Rand
	reqSize   int
	work      time.Duration
	at        [3]netip.AddrPort
	done      atomic.Bool
	answered  atomic.Int64
	failed    atomic.Int64
	notOpened atomic.Int64
	configMu  sync.Mutex
	version   int
	second    []placed  // services of route 2, the newest last
	third     []present // whether route 3 is there, the newest last
	busyMu    sync.Mutex
	busy      map[*machine]bool
	fixed     bool
	// evacuated is when an evacuation of zone zb was acknowledged, zero while there is none.
	evacuated time.Time
	clients   [2]*clients
}

type placed struct {
	at      time.Time
	service string
}

type present struct {
	at    time.Time
	there bool
}

func envInt(name string, fallback int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return fallback
}

// openTime is the longest attempt to open a flow.
const openTime = 1400 * time.Millisecond

const evacuateBound = 5 * time.Second

const configBound = 3 * time.Second

func explore(program, record string, _ bool) {
	responseBody = envInt("BODY", responseBody)
	x := &explorer{
		lab: newLab(record, program, []string{"za", "zb"}), random: rand.New(rand.NewPCG(uint64(envInt("SEED", 1)), 1)), version: 7,
		reqSize: envInt("REQ", 100), work: time.Duration(envInt("WORK", 30)) * time.Millisecond, busy: make(map[*machine]bool),
		fixed:  os.Getenv("FIXED") == "1",
		second: []placed{{time.Now(), "draws"}}, third: []present{{time.Now(), false}},
	}
	for i, port := range []uint16{8443, 8443, 8080} {
		x.at[i] = netip.AddrPortFrom(x.addr(220, byte(i+1)), port)
	}
	if os.Getenv("EVAC") == "1" {
		x.extraBounds = "evacuateMs = 5000\n"
	}
	for z := range 3 {
		x.addEntry(z % 2)
	}
	hosts := envInt("HOSTS", 7)
	for i := range hosts {
		x.addSide(i%2, "rota", 4, x.work)
	}
	for i := range hosts * 2 / 3 {
		x.addSide(i%2, "draws", 4, x.work)
	}
	x.writeConfig(false, "draws")
	x.allowed = x.judgeOpening
	x.startAll()
	x.clients = [2]*clients{newClients(x.lab, 0), newClients(x.lab, 1)}
	var users sync.WaitGroup
	for n := range 40 {
		users.Go(func() { x.user(n) })
	}
	time.Sleep(2 * time.Second)
	until := time.Now().Add(time.Duration(envInt("LENGTH", 60)) * time.Second)
	if kinds := os.Getenv("BURST"); kinds != "" {
		for range 4 {
			go x.tryThirdRoute()
		}
		x.playBursts(kinds, until)
	} else {
		x.playPlannedWork(os.Getenv("OPS"), until)
		time.Sleep(6 * time.Second)
	}
	x.done.Store(true)
	users.Wait()
	x.log("requests answered: %d, not answered: %d, not opened: %d", x.answered.Load(), x.failed.Load(), x.notOpened.Load())
	fmt.Printf("requests answered: %d, not answered: %d, not opened: %d\n", x.answered.Load(), x.failed.Load(), x.notOpened.Load())
	x.judgeFlows()
	x.finish()
}

// writeConfig writes a configuration in which route 3 is there or not, and route 2 leads to a service.
func (x *explorer) writeConfig(third bool, second string) {
	x.configMu.Lock()
	defer x.configMu.Unlock()
	if x.fixed {
		second = "draws"
	}
	x.version += 1 + rand.IntN(3)
	routes := []map[string]any{route("r-1", x.at[0], "idempotent", "rota"), route("r-2", x.at[1], "idempotent", second)}
	if third {
		routes = append(routes, route("r-3", x.at[2], "idempotent", "rota"))
	}
	x.second = append(x.second, placed{time.Now(), second})
	if x.third[len(x.third)-1].there != third {
		x.third = append(x.third, present{time.Now(), third})
	}
	x.configure(x.version, routes, "rota", "draws")
}

// judgeOpening judges ROUTE and CONFIG by the host that takes an opening packet.
func (x *explorer) judgeOpening(h *host, k key) {
	x.configMu.Lock()
	evacuated := x.evacuated
	x.configMu.Unlock()
	if h.zone == "zb" && !evacuated.IsZero() && time.Since(evacuated) > evacuateBound && x.isCalm(time.Now()) {
		x.broke("EVAC", "flow %s is opened at host %s %.2f s after its zone was evacuated", k, h.ip, time.Since(evacuated).Seconds())
	}
	if k.route != x.at[1] {
		if h.service != "rota" {
			x.broke("ROUTE", "flow %s is opened at service %s", k, h.service)
		}
		return
	}
	x.configMu.Lock()
	defer x.configMu.Unlock()
	for i, p := range x.second {
		inForce := i+1 == len(x.second) || time.Since(x.second[i+1].at) < configBound+openTime
		if p.service == h.service && inForce {
			return
		}
	}
	if x.isCalm(time.Now().Add(-openTime)) {
		x.broke("CONFIG", "flow %s is opened at service %s, which the route has left", k, h.service)
	}
}

// thirdRoute returns whether route 3 is there, and whether that has been so for longer than the bound.
func (x *explorer) thirdRoute() (there, settled bool) {
	x.configMu.Lock()
	defer x.configMu.Unlock()
	last := x.third[len(x.third)-1]
	return last.there, time.Since(last.at) > configBound
}

// tryThirdRoute opens flows to a route that comes and goes.
func (x *explorer) tryThirdRoute() {
	for !x.done.Load() {
		time.Sleep(50 * time.Millisecond)
		sent := time.Now()
		there, settled := x.thirdRoute()
		f := x.clients[rand.IntN(2)].open(x.at[2])
		took := time.Since(sent)
		if f != nil {
			f.request(fmt.Sprintf("t-%d", rand.Uint64()), "GET", 10, 2*time.Second)
			f.close()
		}
		if still, _ := x.thirdRoute(); !settled || still != there || !x.isCalm(sent) || !x.isCalm(time.Now()) {
			continue
		}
		if there && f == nil && took < time.Second {
			x.broke("CONFIG", "route 3 is there, and a flow is reset after %v", took)
		}
		if !there && f != nil {
			x.broke("CONFIG", "route 3 is dropped, and a flow opens")
		}
	}
}

// user sends requests, most of them on a flow that it keeps.
func (x *explorer) user(n int) {
	var f *clientFlow
	for i := 0; !x.done.Load(); i++ {
		if f == nil || f.closed || time.Since(f.opened) > 45*time.Second {
			if f != nil {
				f.close()
			}
			if f = x.clients[n/2%2].open(x.at[n%2]); f == nil {
				x.notOpened.Add(1)
				x.log("client: a flow doesn't open")
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("q-%d-%d", n, i)
		r := f.request(id, "GET", x.reqSize, 3*time.Second)
		if r.outcome != "200" && r.outcome != "closed" {
			x.log("client: request %s on flow %s: %s after %d ms, sent in a calm time: %v", id, f.k, r.outcome, r.took.Milliseconds(), x.isCalm(time.Now().Add(-r.took)))
			x.failed.Add(1)
			f.close()
			f = nil
			continue
		}
		x.answered.Add(1)
		switch {
		case n%4 == 0:
			f.close()
			f = nil
			time.Sleep(50 * time.Millisecond)
		case n%8 < 4:
			f.pause(time.Duration(3000+rand.IntN(9000)) * time.Millisecond)
		default:
			f.pause(time.Duration(rand.IntN(3000)) * time.Millisecond)
		}
	}
	if f != nil {
		f.close()
	}
}

func (x *explorer) claim(m *machine) bool {
	x.busyMu.Lock()
	defer x.busyMu.Unlock()
	if x.busy[m] {
		return false
	}
	x.busy[m] = true
	return true
}

func (x *explorer) release(m *machine) {
	x.busyMu.Lock()
	defer x.busyMu.Unlock()
	delete(x.busy, m)
}

func (x *explorer) randomService() string { return []string{"rota", "draws"}[x.random.IntN(2)] }

// playPlannedWork does planned work until a time.
func (x *explorer) playPlannedWork(kinds string, until time.Time) {
	var work sync.WaitGroup
	defer work.Wait()
	roll := func(m *machine) {
		if x.claim(m) {
			work.Go(func() {
				m.terminate(true)
				time.Sleep(time.Second)
				x.release(m)
			})
		}
	}
	for kinds != "" && time.Now().Before(until) {
		time.Sleep(time.Duration(300+x.random.IntN(2500)) * time.Millisecond)
		switch kinds[x.random.IntN(len(kinds))] {
		case 'e':
			roll(x.entries[x.random.IntN(len(x.entries))])
		case 'a':
			roll(x.sides[x.random.IntN(len(x.sides))])
		case 'c':
			x.writeConfig(false, x.randomService())
		case 'r':
			i := x.random.IntN(len(x.sides))
			old, former := x.sides[i], x.hosts[i]
			if !x.claim(old) {
				continue
			}
			m, h := x.addSide(x.random.IntN(2), former.service, 4, x.work)
			m.run()
			h.start()
			work.Go(func() {
				time.Sleep(1500 * time.Millisecond)
				former.drain()
				time.Sleep(drainBound + 1500*time.Millisecond)
				former.leave()
				old.terminate(false)
			})
		}
	}
}

// playBursts plays bursts of disruptions, each followed by a calm time with a change of the configuration and, at times, a host
// that drains and leaves.
func (x *explorer) playBursts(kinds string, until time.Time) {
	for time.Now().Before(until) {
		x.setCalm(false)
		if x.random.IntN(3) == 0 {
			x.writeConfig(x.random.IntN(2) == 0, x.randomService())
		}
		if x.extraBounds != "" {
			x.evacuate(x.random.IntN(2) == 0)
		}
		var burst sync.WaitGroup
		for range 2 + x.random.IntN(4) {
			kind := kinds[x.random.IntN(len(kinds))]
			i := x.random.IntN(len(x.sides))
			m, h := x.sides[i], x.hosts[i]
			if kind == 'K' || kind == 'Z' || kind == 'E' {
				m = x.entries[x.random.IntN(len(x.entries))]
			}
			wait := time.Duration(x.random.IntN(1500)) * time.Millisecond
			length := time.Duration(200+x.random.IntN(3000)) * time.Millisecond
			burst.Go(func() {
				time.Sleep(wait)
				if x.claim(m) {
					x.disturb(kind, m, h, length)
					x.release(m)
				}
			})
		}
		burst.Wait()
		x.setCalm(true)
		time.Sleep(time.Duration(x.random.IntN(4000)) * time.Millisecond)
		x.writeConfig(x.random.IntN(2) == 0, x.randomService())
		if i := x.random.IntN(len(x.sides)); x.random.IntN(2) == 0 && x.claim(x.sides[i]) {
			x.hosts[i].drain()
			time.Sleep(time.Duration(5000+x.random.IntN(4000)) * time.Millisecond)
			x.hosts[i].leave()
			time.Sleep(200 * time.Millisecond)
			x.hosts[i].start()
			x.release(x.sides[i])
		}
		time.Sleep(7 * time.Second)
	}
	x.setCalm(false)
}

// evacuate evacuates zone zb or takes it back.
func (x *explorer) evacuate(on bool) {
	x.configMu.Lock()
	defer x.configMu.Unlock()
	switch {
	case on && x.evacuated.IsZero():
		x.store.put("evacuations", "zb", map[string]any{})
		x.evacuated = time.Now()
	case !on && !x.evacuated.IsZero():
		x.evacuated = time.Time{}
		x.store.remove("evacuations", "zb")
	}
	x.log("zone zb evacuated: %v", on)
}

func (x *explorer) disturb(kind byte, m *machine, h *host, length time.Duration) {
	x.log("disruption %c: %s, %v", kind, m.name, length)
	switch kind {
	case 'k', 'K':
		m.kill()
		time.Sleep(length / 3)
		m.run()
	case 'z', 'Z':
		m.signal(syscall.SIGSTOP)
		time.Sleep(length)
		m.signal(syscall.SIGCONT)
	case 'E', 'T':
		m.terminate(true)
	case 'h':
		h.end("it crashes")
		time.Sleep(length / 2)
		h.start()
	case 'H':
		h.end("its machine loses power")
		m.kill()
		time.Sleep(length / 2)
		h.start()
		m.run()
	case 'm':
		x.store.setMode([]string{"busy", "silent", "slow"}[int(length)%3])
		time.Sleep(length)
		x.store.setMode("")
	case 'A':
		for _, s := range x.sides {
			if s == m || x.claim(s) {
				s.kill()
				s.run()
				if s != m {
					x.release(s)
				}
			}
		}
	}
}
