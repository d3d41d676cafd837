package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// steppedHost: the clock of the machine of a host that was just added jumps back, and the host crashes and starts again. Later it
// drains.
func steppedHost(program, record string, trouble bool) {
	const (
		step   = 2400 * time.Millisecond
		down   = 300 * time.Millisecond
		settle = 5 * time.Second
	)
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
	var busy atomic.Bool
	for n := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n >= 2 && !busy.Load() {
				time.Sleep(50 * time.Millisecond)
			}
			for i := 0; !done.Load(); i++ {
				time.Sleep(time.Duration(200+rand.IntN(200)) * time.Millisecond)
				f := zones[n%2].open(at)
				if f == nil {
					l.log("client: a flow doesn't open")
					continue
				}
				id := fmt.Sprintf("q-%d-%d", n, i)
				r := f.request(id, "POST", 900, 3*time.Second)
				if r.outcome == "200" || r.outcome == "closed" {
					answered.Add(1)
				} else {
					failed.Add(1)
				}
				l.log("client: request %s: %s by %s after %d ms", id, r.outcome, r.host, r.took.Milliseconds())
				f.close()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	m, h := l.addSide(0, "rota", 4, 30*time.Millisecond)
	l.log("a host is added: %s", h.ip)
	m.run()
	time.Sleep(100 * time.Millisecond)
	h.start()
	time.Sleep(600 * time.Millisecond)
	if trouble {
		l.log("the clock of the machine of host %s jumps back by %v", h.ip, step)
		h.clockStep = -step
		time.Sleep(400 * time.Millisecond)
		h.end("it crashes")
		time.Sleep(down)
		h.start()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		l.log("the clock of the machine of host %s jumps ahead by %v", h.ip, step)
	}
	time.Sleep(settle)
	busy.Store(true)
	time.Sleep(time.Second)
	h.drain()
	time.Sleep(drainBound + 5*time.Second)
	h.leave()
	time.Sleep(2 * time.Second)
	done.Store(true)
	wg.Wait()
	l.log("requests answered: %d, not answered: %d", answered.Load(), failed.Load())
	l.judgeFlows()
	l.finish()
}
