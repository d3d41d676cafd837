package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// longFlowUpload: clients that keep their flows open send requests of several packets while the agents are stopped and started
// in turn.
func longFlowUpload(program, record string, trouble bool) {
	l := newLab(record, program, []string{"za", "zb"})
	for z := range 2 {
		l.addEntry(z)
	}
	for i := range 7 {
		l.addSide(i%2, "rota", 4, 30*time.Millisecond)
	}
	at := netip.AddrPortFrom(l.addr(220, 1), 8443)
	l.configure(7, []map[string]any{route("r-1", at, "non_idempotent", "rota")}, "rota")
	l.startAll()
	zones := []*clients{newClients(l, 0), newClients(l, 1)}
	var wg sync.WaitGroup
	var done atomic.Bool
	var answered, failed atomic.Int64
	for n := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var f *clientFlow
			for i := 0; !done.Load(); i++ {
				if f == nil || f.closed || time.Since(f.opened) > 50*time.Second {
					if f != nil {
						f.close()
					}
					if f = zones[n%2].open(at); f == nil {
						l.log("client: a flow doesn't open")
						continue
					}
				}
				id := fmt.Sprintf("q-%d-%d", n, i)
				r := f.request(id, "POST", envInt("REQ", 1300), 3*time.Second)
				l.log("client: request %s on flow %s: %s after %d ms", id, f.k, r.outcome, r.took.Milliseconds())
				if r.outcome != "200" {
					failed.Add(1)
					f.close()
					f = nil
					continue
				}
				answered.Add(1)
				f.pause(time.Duration(1000+rand.IntN(2000)) * time.Millisecond)
			}
			if f != nil {
				f.close()
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		var stops sync.WaitGroup
		for _, m := range l.sides {
			stops.Add(1)
			go func() { defer stops.Done(); m.terminate(true) }()
			time.Sleep(2 * time.Second)
		}
		stops.Wait()
	} else {
		time.Sleep(20 * time.Second)
	}
	time.Sleep(8 * time.Second)
	done.Store(true)
	wg.Wait()
	l.log("requests answered: %d, not answered: %d", answered.Load(), failed.Load())
	l.judgeFlows()
	l.finish()
}
