//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

var scenarios = map[string]func(*lab, bool) error{
	"former-services": formerServices,
	"moved-routes":    movedRoutes,
	"rolling":         rolling,
}

func (l *lab) routeAt(n int) netip.AddrPort {
	return netip.AddrPortFrom(l.address(routeKind, n), 443)
}

// all calls f for each process at the same time.
func all(processes []*process, f func(*process)) {
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Go(func() { f(p) })
	}
	wg.Wait()
}

func (l *lab) processes() []*process { return append(append([]*process{}, l.entries...), l.agents...) }

// killAll kills processes and starts them again after a pause.
func (l *lab) killAll(processes []*process, pause time.Duration) error {
	all(processes, (*process).kill)
	time.Sleep(pause)
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	l.note("%d processes started again", len(processes))
	l.touched()
	return nil
}

// goOn sends a request on each flow.
func (l *lab) goOn(flows []*clientFlow) {
	l.note("all machines are in touch, %d flows go on", len(flows))
	var wg sync.WaitGroup
	for n, f := range flows {
		wg.Go(func() { l.ask(f, n) })
		time.Sleep(requestPause)
	}
	wg.Wait()
}

// ask sends a request on the nth flow.
func (l *lab) ask(f *clientFlow, n int) {
	id := fmt.Sprintf("r-%d", n)
	if _, ok := f.request(id, requestDeadline); !ok {
		l.gaveUp(f.name)
		l.note("request %s on %s got no answer, reset %v", id, f.name, f.reset)
	}
}

const (
	// downTime is how long killed processes are down, requestDeadline when clients give up, that of slot-claim.
	downTime        = time.Second
	requestDeadline = 3 * time.Second
)

// moveMany begins with routes to the service draws, opens flows on them, and leads the routes to the service rota.
func (l *lab) moveMany(entryZones, hosts []int, flowCount int) (flows []*clientFlow, err error) {
	const count, addresses = 350, 40
	routes := func(service string) []route {
		list := []route{{l.routeAt(addresses), "rota"}, {l.routeAt(addresses + 1), "draws"}}
		for n := range count {
			list = append(list, route{netip.AddrPortFrom(l.address(routeKind, n%addresses), uint16(1000+n/addresses)), service})
		}
		return list
	}
	before := routes("draws")
	if err := l.begin(entryZones, []string{"rota", "draws"}, hosts, before); err != nil {
		return nil, err
	}
	for n := range flowCount {
		if f := l.dial(before[2+n*count/flowCount].at); f.open() {
			flows = append(flows, f)
		}
	}
	if len(flows) == 0 {
		return nil, fmt.Errorf("no flow opened")
	}
	l.note("%d flows are open", len(flows))
	return flows, l.configure(routes("rota"))
}

// rolling: a configuration leads many routes to the other service. Then all processes are stopped and started in turn, those beside the
// hosts first. The flows that opened before the change pause meanwhile, and go on when the entry that gets their packets is in rotation
// again.
func rolling(l *lab, trouble bool) error {
	flows, err := l.moveMany([]int{0, 0, 0, 1, 1, 2}, []int{7, 3}, 300)
	if err != nil {
		return err
	}
	if trouble {
		var wg sync.WaitGroup
		for _, p := range l.agents {
			wg.Go(func() { l.fail(p.replace()) })
			time.Sleep(rollGap)
		}
		wg.Wait()
	}
	// No host was disturbed in the stable window, nor was the process beside it.
	time.Sleep(stableWindow + 500*time.Millisecond)
	var asked sync.WaitGroup
	isAsked := make(map[*clientFlow]bool)
	for _, p := range l.entries {
		if trouble {
			l.fail(p.replace())
			l.awaitRotation(p)
		}
		for n, f := range flows {
			if isAsked[f] || l.entryOf(f) != p {
				continue
			}
			isAsked[f] = true
			asked.Go(func() { l.ask(f, n) })
			time.Sleep(requestPause)
		}
	}
	asked.Wait()
	l.noteRecordsRead()
	l.touchedAt = l.began.Add(-stableWindow)
	l.checkFlows(nil)
	return nil
}

// rollGap is the pause between two stops in turn, requestPause that between the requests on flows that go on.
const (
	rollGap      = 1200 * time.Millisecond
	requestPause = 5 * time.Millisecond
)

// replace stops a process and starts it again.
func (p *process) replace() error {
	p.terminate()
	time.Sleep(restartPause)
	p.lab.note("starting %s", p.name)
	return p.start()
}

// awaitRotation waits until the routers use an entry.
func (l *lab) awaitRotation(p *process) {
	for limit := time.Now().Add(5 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		l.mu.Lock()
		isUsed := slices.Contains(l.inRotation, p)
		l.mu.Unlock()
		if isUsed {
			l.note("%s is in rotation", p.name)
			return
		}
	}
}

// movedRoutes: a configuration leads many routes to the other service. Right after its acknowledgement, all processes of the system
// are killed. The flows that opened before are at hosts that go on running; they pause, and go on when all machines are in touch
// again.
func movedRoutes(l *lab, trouble bool) error {
	flows, err := l.moveMany([]int{0, 0, 0, 1, 1, 1, 2, 2, 2}, []int{5, 2}, 200)
	if err != nil {
		return err
	}
	if trouble {
		if err := l.killAll(l.processes(), downTime); err != nil {
			return err
		}
	} else {
		l.touched()
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	l.noteRecordsRead()
	l.goOn(flows)
	l.checkFlows(nil)
	return nil
}

// noteRecordsRead notes how often each entry has read the route record, for the record only.
func (l *lab) noteRecordsRead() {
	for _, p := range l.entries {
		res, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, internalPort))
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		for _, line := range strings.Split(string(b), "\n") {
			if strings.HasPrefix(line, "endiveflow_packetnode_route_records_read_total") {
				l.note("%s: %s", p.name, line)
			}
		}
	}
}

// formerServices: a storm of three configurations. The first moves a route, the second adds a route, the third leads the new route to
// the other service. Right after the acknowledgement of the third one, all processes of the system are killed. The flows that opened
// while the second one was in force are at hosts that go on running; they pause, and go on when all machines are in touch again.
func formerServices(l *lab, trouble bool) error {
	const gap = 330 * time.Millisecond
	first, second, added := l.routeAt(0), l.routeAt(1), l.routeAt(2)
	if err := l.begin([]int{0, 1, 2}, []string{"rota", "draws"}, []int{5, 2}, []route{{first, "rota"}, {second, "draws"}}); err != nil {
		return err
	}
	// Entries that started at the same time know each other after their second list of the member records. An earlier change follows,
	// after which the entry that writes the route record knows the record's revision.
	time.Sleep(11 * time.Second)
	if err := l.configure([]route{{first, "rota"}, {second, "rota"}}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	begun := time.Now()
	if err := l.configure([]route{{first, "draws"}, {second, "rota"}}); err != nil {
		return err
	}
	time.Sleep(time.Until(begun.Add(gap)))
	if err := l.configure([]route{{first, "draws"}, {second, "rota"}, {added, "draws"}}); err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	var flows []*clientFlow
	for range 4 {
		if f := l.dial(added); f.open() {
			flows = append(flows, f)
		}
	}
	if len(flows) == 0 {
		return fmt.Errorf("no flow opened on the new route")
	}
	time.Sleep(time.Until(begun.Add(2 * gap)))
	if err := l.configure([]route{{first, "draws"}, {second, "rota"}, {added, "rota"}}); err != nil {
		return err
	}
	if trouble {
		if err := l.killAll(l.processes(), downTime); err != nil {
			return err
		}
	} else {
		l.touched()
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	l.goOn(flows)
	l.checkFlows(nil)
	return nil
}
