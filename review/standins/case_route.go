package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// movedRoute: a configuration moves a route to another service, while clients keep the flows open that they opened before. Then
// the machines of the system are stopped and started in turn.
func movedRoute(program, record string, trouble bool) {
	l := newLab(record, program, []string{"za", "zb"})
	for z := range 3 {
		l.addEntry(z % 2)
	}
	for i := range 7 {
		l.addSide(i%2, "rota", 4, 30*time.Millisecond)
	}
	for i := range 4 {
		l.addSide(i%2, "draws", 4, 10*time.Millisecond)
	}
	at := netip.AddrPortFrom(l.addr(220, 1), 8443)
	l.configure(7, []map[string]any{route("r-1", at, "idempotent", "draws")}, "rota", "draws")
	l.startAll()
	zones := []*clients{newClients(l, 0), newClients(l, 1)}
	var wg sync.WaitGroup
	var done atomic.Bool
	var answered, failed atomic.Int64
	for n := range 150 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 8 * time.Millisecond)
			f := zones[n%2].open(at)
			if f == nil {
				l.log("client: a flow doesn't open")
				return
			}
			defer f.close()
			for i := 0; !done.Load() && !f.closed && time.Since(f.opened) < 50*time.Second; i++ {
				id := fmt.Sprintf("q-%d-%d", n, i)
				r := f.request(id, "GET", 0, 3*time.Second)
				l.log("client: request %s on flow %s: %s after %d ms", id, f.k, r.outcome, r.took.Milliseconds())
				if r.outcome != "200" {
					failed.Add(1)
					return
				}
				answered.Add(1)
				f.pause(time.Duration(4000+rand.IntN(8000)) * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		l.configure(9, []map[string]any{route("r-1", at, "idempotent", "rota")}, "rota", "draws")
		time.Sleep(3 * time.Second)
		var stops sync.WaitGroup
		roll := func(machines []*machine, gap time.Duration) {
			defer stops.Done()
			for _, m := range machines {
				stops.Add(1)
				go func() { defer stops.Done(); m.terminate(true) }()
				time.Sleep(gap)
			}
		}
		stops.Add(2)
		go roll(l.sides, 1200*time.Millisecond)
		go roll(l.entries, 4*time.Second)
		stops.Wait()
	} else {
		time.Sleep(20 * time.Second)
	}
	time.Sleep(12 * time.Second)
	done.Store(true)
	wg.Wait()
	l.log("requests answered: %d, not answered: %d", answered.Load(), failed.Load())
	l.judgeFlows()
	l.finish()
}
