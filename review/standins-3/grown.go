//go:build review3

package main

import (
	"sync"
	"time"
)

func init() { scenarios["grown"] = grown }

// grown isn't a case, as it asks for more at one moment than the pages name: hosts are added, all processes are stopped and started in
// turn, and all flows of an entry go on in the same moment.
func grown(l *lab, trouble bool) error {
	const hosts, added, flowCount = 12, 3, 600
	at := l.routeAt(0)
	if err := l.begin([]int{0, 0, 0, 1, 1, 2}, []string{"rota", "draws"}, []int{hosts, 2}, []route{{at, "rota"}, {l.routeAt(1), "draws"}}); err != nil {
		return err
	}
	var flows []*clientFlow
	for range flowCount {
		if f := l.dial(at); f.open() {
			flows = append(flows, f)
		}
	}
	for n := len(l.hosts); n < hosts+2+added; n++ {
		h, err := l.newHost(n, "rota")
		if err != nil {
			return err
		}
		a, err := l.newProcess("agent", "agent-"+h.name, h.ip, h.zone, h.service)
		if err != nil {
			return err
		}
		l.hosts, l.agents = append(l.hosts, h), append(l.agents, a)
		l.fail(a.start())
		l.fail(h.start())
	}
	time.Sleep(time.Second)
	if trouble {
		var wg sync.WaitGroup
		for _, p := range l.agents {
			wg.Go(func() { l.fail(p.replace()) })
			time.Sleep(time.Second)
		}
		wg.Wait()
	}
	time.Sleep(stableWindow)
	var asked sync.WaitGroup
	isAsked := make(map[*clientFlow]bool)
	for _, p := range l.entries {
		if trouble {
			l.fail(p.replace())
			l.awaitRotation(p)
		}
		for n, f := range flows {
			if !isAsked[f] && l.entryOf(f) == p {
				isAsked[f] = true
				asked.Go(func() { l.ask(f, n) })
			}
		}
	}
	asked.Wait()
	l.touchedAt = l.began.Add(-stableWindow)
	l.note("%d flows", len(flows))
	l.checkFlows(nil)
	return nil
}
