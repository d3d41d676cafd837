package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// zones are the availability zones.
var zones = []string{"okn-a", "okn-b", "okn-c"}

// Ends of the routes. Their address is a loopback one to which nothing is sent.
var (
	routeAddress = netip.AddrFrom4([4]byte{127, 255, 0, 1})
	deskEnd      = end{routeAddress, 8443}
	sheetsEnd    = end{routeAddress, 8444}
)

const (
	// shortWork and shortDeadline are those of an ordinary request.
	shortWork     = 20 * time.Millisecond
	shortDeadline = 2500 * time.Millisecond
	// claimDeadline is the deadline of slot-claim, longDeadline that of draw-sheet.
	claimDeadline = 3 * time.Second
	longDeadline  = 8 * time.Second
)

// attempt is the outcome of one request.
type attempt struct {
	id, outcome string
}

// onAll sends a request on each flow, one after the other with a pause between them, and returns the outcomes.
func onAll(flows []*clientFlow, prefix string, pause, work, deadline time.Duration) []attempt {
	out := make([]attempt, len(flows))
	var wg sync.WaitGroup
	for i, fl := range flows {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * pause)
			id := fmt.Sprintf("%s-%d", prefix, i+1)
			out[i] = attempt{id, fl.request(request{id, work}, deadline)}
			fl.c.f.rec.add("request %s on %s: %s", id, fl.key, out[i].outcome)
		})
	}
	wg.Wait()
	return out
}

func count(all []attempt, outcome string) (n int) {
	for _, a := range all {
		if a.outcome == outcome {
			n++
		}
	}
	return n
}

// begin starts a fleet with a configuration and a client, and waits until it is ready.
func begin(f *fleet, entryZones []string, services map[string]int, order []string, routes ...route) (*client, error) {
	if err := f.startAll(entryZones, services, order); err != nil {
		return nil, err
	}
	if _, err := f.configure(routes...); err != nil {
		return nil, err
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	return f.startClient(f.address(250))
}

// openFlows opens flows to a route, each with a request that is answered.
func openFlows(c *client, n int, at end, pause time.Duration) ([]*clientFlow, error) {
	var flows []*clientFlow
	for range n {
		flows = append(flows, c.newFlow(at))
	}
	if served := count(onAll(flows, "first", pause, shortWork, shortDeadline), answered); served != n {
		return nil, fmt.Errorf("only %d of %d flows were served before the disruption", served, n)
	}
	return flows, nil
}

// goOn sends another request on each open flow and judges the flows from now on, each until its request is answered or given up.
func goOn(f *fleet, flows []*clientFlow, prefix string, pause, work, deadline time.Duration) {
	from := f.rec.now()
	all := onAll(flows, prefix, pause, work, deadline)
	f.rec.add("%d of %d requests on the open flows were answered, %d were reset, %d got no answer", count(all, answered), len(all),
		count(all, resetHere), count(all, timedOut))
	fmt.Printf("%d of %d requests on the open flows were answered\n", count(all, answered), len(all))
	f.judgeFlows(from)
}

// growth: hosts are added while flows are open, and then all processes are killed at once. The hosts keep running.
func growth(rec *record) error {
	f, err := newFleet(rec, zones, nil)
	if err != nil {
		return err
	}
	defer f.stopAll()
	const flowCount, pause = 3000, 3 * time.Millisecond
	c, err := begin(f, zones, map[string]int{"draws": 12}, []string{"draws"}, route{"sheets", "draws", sheetsEnd})
	if err != nil {
		return err
	}
	flows, err := openFlows(c, flowCount, sheetsEnd, pause)
	if err != nil {
		return err
	}
	for i := range 3 {
		if _, err := f.addMachine(80+i, "draws", fmt.Sprint("new-", i+1), zones[i], 0); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	if f.trouble {
		if err := f.killAll(); err != nil {
			return err
		}
	}
	time.Sleep(2 * stableWindow)
	goOn(f, flows, "second", pause, shortWork, claimDeadline)
	return nil
}

// movedRoute: a route moves to another service while flows are open, and then all processes are killed at once. The hosts keep
// running. The flows stay where they are.
func movedRoute(rec *record) error {
	f, err := newFleet(rec, zones, nil)
	if err != nil {
		return err
	}
	defer f.stopAll()
	const flowCount, pause = 10, 20 * time.Millisecond
	c, err := begin(f, zones, map[string]int{"rota": 3, "draws": 5}, []string{"rota", "draws"},
		route{"desk", "rota", deskEnd}, route{"sheets", "draws", sheetsEnd})
	if err != nil {
		return err
	}
	flows, err := openFlows(c, flowCount, deskEnd, pause)
	if err != nil {
		return err
	}
	if _, err := f.configure(route{"desk", "draws", deskEnd}, route{"sheets", "draws", sheetsEnd}); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	if n := count(onAll(flows, "second", pause, shortWork, shortDeadline), answered); n != len(flows) {
		return fmt.Errorf("only %d of %d flows were served after the change of the route", n, len(flows))
	}
	if f.trouble {
		if err := f.killAll(); err != nil {
			return err
		}
	}
	time.Sleep(2 * stableWindow)
	fresh := onAll([]*clientFlow{c.newFlow(deskEnd), c.newFlow(sheetsEnd)}, "new", pause, shortWork, shortDeadline)
	rec.add("%d of %d new flows are served", count(fresh, answered), len(fresh))
	goOn(f, flows, "third", pause, shortWork, claimDeadline)
	return nil
}

// clockAhead: a machine joins whose clock is ahead by 2.4 s when its host starts and is then set right. A second after the start
// its node is killed.
func clockAhead(rec *record) error {
	f, err := newFleet(rec, zones, nil)
	if err != nil {
		return err
	}
	defer f.stopAll()
	f.hostsAfter = 150 * time.Millisecond
	const flowCount, pause = 160, 3 * time.Millisecond
	c, err := begin(f, zones, map[string]int{"rota": 7}, []string{"rota"}, route{"desk", "rota", deskEnd})
	if err != nil {
		return err
	}
	p, err := f.addMachine(80, "rota", "new", zones[0], 2400*time.Millisecond)
	if err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	flows, err := openFlows(c, flowCount, deskEnd, pause)
	if err != nil {
		return err
	}
	if f.trouble {
		if err := p.killAndStart(); err != nil {
			return err
		}
	}
	time.Sleep(2 * stableWindow)
	goOn(f, flows, "second", pause, shortWork, claimDeadline)
	return nil
}

// longRequest: agents are stopped and started in turn while flows are open; then each flow carries a request that its host
// works on for some seconds.
func longRequest(rec *record) error {
	f, err := newFleet(rec, zones, nil)
	if err != nil {
		return err
	}
	defer f.stopAll()
	const flowCount, pause, work = 5, 20 * time.Millisecond, 4 * time.Second
	c, err := begin(f, zones, map[string]int{"draws": 5}, []string{"draws"}, route{"sheets", "draws", sheetsEnd})
	if err != nil {
		return err
	}
	flows, err := openFlows(c, flowCount, sheetsEnd, pause)
	if err != nil {
		return err
	}
	for _, p := range f.processes {
		if p.role != "agent" || !f.trouble {
			continue
		}
		if err := p.stopAndStart(); err != nil {
			return err
		}
		time.Sleep(1200 * time.Millisecond)
	}
	time.Sleep(stableWindow + time.Second)
	goOn(f, flows, "sheet", pause, work, longDeadline)
	return nil
}
