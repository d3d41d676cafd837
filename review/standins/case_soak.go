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

func soak(program, record string, trouble bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 1))
	if v, err := strconv.Atoi(os.Getenv("BODY")); err == nil {
		responseBody = v
	}
	length := 70
	reqSize := 100
	if v, err := strconv.Atoi(os.Getenv("REQ")); err == nil {
		reqSize = v
	}
	if v, err := strconv.Atoi(os.Getenv("LENGTH")); err == nil {
		length = v
	}
	work := 30 * time.Millisecond
	if v, err := strconv.Atoi(os.Getenv("WORK")); err == nil {
		work = time.Duration(v) * time.Millisecond
	}
	l := newLab(record, program, []string{"za", "zb"})
	for z := range 3 {
		l.addEntry(z % 2)
	}
	hosts := 6
	if v, err := strconv.Atoi(os.Getenv("HOSTS")); err == nil {
		hosts = v
	}
	for i := range hosts {
		l.addSide(i%2, "rota", 4, work)
	}
	for i := range hosts * 2 / 3 {
		l.addSide(i%2, "draws", 4, work)
	}
	at1, at2 := netip.MustParseAddrPort("198.18.0.1:8443"), netip.MustParseAddrPort("198.18.0.2:8443")
	version := 7
	svc2 := "draws"
	type change struct {
		at time.Time
		s2 string
	}
	var cmu sync.Mutex
	changes := []change{{time.Now(), "draws"}}
	l.configure(version, []map[string]any{route("r-1", at1, "idempotent", "rota"), route("r-2", at2, "idempotent", svc2)}, "rota", "draws")
	l.allowed = func(h *host, k key) {
		if k.route == at1 && h.service != "rota" {
			l.broke("ROUTE", "flow %s at %s", k, h.service)
		}
		if k.route == at2 {
			cmu.Lock()
			defer cmu.Unlock()
			ok := false
			for i, c := range changes {
				end := time.Now()
				if i+1 < len(changes) {
					end = changes[i+1].at
				}
				if c.s2 == h.service && time.Since(end) < 4400*time.Millisecond || !l.isCalm(time.Now().Add(-1400*time.Millisecond)) {
					ok = true
				}
			}
			if !ok {
				l.broke("CONFIG", "flow %s at %s", k, h.service)
			}
		}
	}
	l.startAll()
	c := newClients(l, l.addr(210, 1))
	at3 := netip.MustParseAddrPort("198.18.0.3:8080")
	type toggle struct {
		at      time.Time
		present bool
	}
	toggles := []toggle{{time.Now().Add(-time.Hour), false}}
	// stable returns the state of route 3 if it has been the same for longer than d at a time.
	stable := func(t time.Time, d time.Duration) (present, ok bool) {
		cmu.Lock()
		defer cmu.Unlock()
		for i := len(toggles) - 1; i >= 0; i-- {
			if toggles[i].at.Before(t) {
				return toggles[i].present, t.Sub(toggles[i].at) > d && i == len(toggles)-1
			}
		}
		return false, false
	}
	writeConfig := func(with3 bool, s2 string) {
		version += 1 + rnd.IntN(3)
		routes := []map[string]any{route("r-1", at1, "idempotent", "rota"), route("r-2", at2, "idempotent", s2)}
		if with3 {
			routes = append(routes, route("r-3", at3, "idempotent", "rota"))
		}
		cmu.Lock()
		changes = append(changes, change{time.Now(), s2})
		if toggles[len(toggles)-1].present != with3 {
			toggles = append(toggles, toggle{time.Now(), with3})
		}
		cmu.Unlock()
		l.configure(version, routes, "rota", "draws")
	}
	var over atomic.Bool
	if os.Getenv("BURST") != "" {
		for range 4 {
			go func() {
				for !over.Load() {
					time.Sleep(50 * time.Millisecond)
					sent := time.Now()
					present, ok := stable(sent, 3*time.Second)
					f := c.open(at3)
					took := time.Since(sent)
					if f != nil {
						f.request(fmt.Sprintf("t-%d", rand.Uint64()), "GET", 10, 2*time.Second)
						f.close()
					}
					if _, still := stable(time.Now(), 3*time.Second); !ok || !still || !l.isCalm(sent) || !l.isCalm(time.Now()) {
						continue
					}
					if present && f == nil && took < time.Second {
						l.broke("CONFIG", "route 3 is there, reset after %v", took)
					}
					if present && f == nil {
						l.log("route 3 doesn't open")
					}
					if !present && f != nil {
						l.broke("CONFIG", "route 3 is dropped, and a flow opens")
					}
				}
			}()
		}
	}
	var wg sync.WaitGroup
	var done atomic.Bool
	var answered, failed, noopen atomic.Int64
	for n := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var f *clientFlow
			long := n%4 != 0
			at := at1
			if n%2 == 1 {
				at = at2
			}
			for i := 0; !done.Load(); i++ {
				if f == nil || f.closed || time.Since(f.opened) > 50*time.Second {
					if f != nil {
						f.close()
					}
					if f = c.open(at); f == nil {
						noopen.Add(1)
						l.log("client: a flow doesn't open")
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				id := fmt.Sprintf("q-%d-%d", n, i)
				r := f.request(id, "GET", reqSize, 3*time.Second)
				if r.outcome != "200" && r.outcome != "closed" {
					if l.isCalm(time.Now().Add(-r.took)) {
						l.log("SUSPECT %s", f.k)
					}
					failed.Add(1)
					l.mu.Lock()
					rec := l.flows[f.k]
					l.mu.Unlock()
					hostState := "unknown"
					if rec != nil {
						hostState = rec.host.ip.String()
						if rec.host.mu.TryLock() {
							hostState += fmt.Sprint(" running ", rec.host.running, " flow ended ", rec.ended)
							rec.host.mu.Unlock()
						}
					}
					l.log("client: request %s on flow %s: %s after %d ms; host %s; ran %d", id, f.k, r.outcome, r.took.Milliseconds(), hostState, l.ranCount[id])
					f.close()
					f = nil
					continue
				}
				answered.Add(1)
				if !long {
					f.close()
					f = nil
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if n%8 < 4 {
					f.pause(time.Duration(5000+rand.IntN(12000)) * time.Millisecond)
				} else {
					f.pause(time.Duration(rand.IntN(3000)) * time.Millisecond)
				}
			}
			if f != nil {
				f.close()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	var ops sync.WaitGroup
	until := time.Now().Add(time.Duration(length) * time.Second)
	mode := os.Getenv("OPS")
	busy := map[*machine]bool{}
	var bmu sync.Mutex
	claim := func(m *machine) bool {
		bmu.Lock()
		defer bmu.Unlock()
		if busy[m] {
			return false
		}
		busy[m] = true
		return true
	}
	release := func(m *machine) { bmu.Lock(); delete(busy, m); bmu.Unlock() }
	kinds := os.Getenv("BURST")
	for kinds != "" && time.Now().Before(until) {
		l.mu.Lock()
		if !l.calmSince.IsZero() {
			l.calm = append(l.calm, [2]time.Time{l.calmSince, time.Now()})
		}
		l.judgeCalm, l.calmSince = true, time.Time{}
		l.mu.Unlock()
		var burst sync.WaitGroup
		if rnd.IntN(3) == 0 {
			go func() {
				time.Sleep(500 * time.Millisecond)
				writeConfig(rand.IntN(2) == 0, []string{"rota", "draws"}[rand.IntN(2)])
			}()
		}
		for range 2 + rnd.IntN(4) {
			op := kinds[rnd.IntN(len(kinds))]
			m := l.sides[rnd.IntN(len(l.sides))]
			h := l.hosts[0]
			for i := range l.sides {
				if l.sides[i] == m {
					h = l.hosts[i]
				}
			}
			if op == 'K' || op == 'Z' || op == 'E' {
				m = l.entries[rnd.IntN(len(l.entries))]
			}
			wait := time.Duration(rnd.IntN(1500)) * time.Millisecond
			d := time.Duration(200+rnd.IntN(3000)) * time.Millisecond
			burst.Add(1)
			go func() {
				defer burst.Done()
				time.Sleep(wait)
				if !claim(m) {
					return
				}
				defer release(m)
				l.log("burst: %c %s %v", op, m.name, d)
				switch op {
				case 'k', 'K':
					m.kill()
					time.Sleep(d / 3)
					m.run()
				case 'z', 'Z':
					m.signal(syscall.SIGSTOP)
					time.Sleep(d)
					m.signal(syscall.SIGCONT)
				case 'E', 'T':
					m.terminate(true)
				case 'h':
					h.end("crash")
					time.Sleep(d / 2)
					h.start()
				case 'H':
					h.end("crash")
					m.kill()
					time.Sleep(d / 2)
					h.start()
					m.run()
				case 'm':
					l.store.setMode([]string{"busy", "silent", "slow"}[int(d)%3])
					time.Sleep(d)
					l.store.setMode("")
				case 'A':
					for _, s := range l.sides {
						if s == m || claim(s) {
							s.kill()
							s.run()
							if s != m {
								release(s)
							}
						}
					}
				}
			}()
		}
		burst.Wait()
		l.mu.Lock()
		l.calmSince = time.Now()
		l.mu.Unlock()
		l.log("calm")
		time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond)
		writeConfig(rnd.IntN(2) == 0, []string{"rota", "draws"}[rnd.IntN(2)])
		i := rnd.IntN(len(l.sides))
		if oh := l.hosts[i]; rnd.IntN(2) == 0 && claim(l.sides[i]) {
			oh.drain()
			time.Sleep(time.Duration(5000+rnd.IntN(4000)) * time.Millisecond)
			oh.leave()
			time.Sleep(200 * time.Millisecond)
			oh.start()
			release(l.sides[i])
		}
		time.Sleep(7 * time.Second)
	}
	if kinds != "" {
		until = time.Now()
		l.mu.Lock()
		l.calm = append(l.calm, [2]time.Time{l.calmSince, time.Now().Add(time.Hour)})
		l.mu.Unlock()
	}
	for time.Now().Before(until) && trouble {
		time.Sleep(time.Duration(300+rnd.IntN(2500)) * time.Millisecond)
		op := "eacr"[rnd.IntN(4)]
		if mode != "" {
			op = mode[rnd.IntN(len(mode))]
		}
		switch op {
		case 'e':
			m := l.entries[rnd.IntN(len(l.entries))]
			if claim(m) {
				ops.Add(1)
				go func() { defer ops.Done(); m.terminate(true); time.Sleep(time.Second); release(m) }()
			}
		case 'a':
			m := l.sides[rnd.IntN(len(l.sides))]
			if claim(m) {
				ops.Add(1)
				go func() { defer ops.Done(); m.terminate(true); time.Sleep(time.Second); release(m) }()
			}
		case 'c':
			version += 1 + rnd.IntN(3)
			cmu.Lock()
			svc2 = []string{"rota", "draws"}[rnd.IntN(2)]
			changes = append(changes, change{time.Now(), svc2})
			cmu.Unlock()
			l.configure(version, []map[string]any{route("r-1", at1, "idempotent", "rota"), route("r-2", at2, "idempotent", svc2)}, "rota", "draws")
		case 'r':
			i := rnd.IntN(len(l.sides))
			old, oh := l.sides[i], l.hosts[i]
			if !claim(old) {
				continue
			}
			m, h := l.addSide(rnd.IntN(2), oh.service, 4, work)
			m.run()
			h.start()
			ops.Add(1)
			go func() {
				defer ops.Done()
				time.Sleep(1500 * time.Millisecond)
				oh.drain()
				time.Sleep(4500 * time.Millisecond)
				oh.leave()
				old.terminate(false)
			}()
		}
	}
	ops.Wait()
	time.Sleep(6 * time.Second)
	done.Store(true)
	over.Store(true)
	wg.Wait()
	l.log("requests answered: %d, not answered: %d, not opened: %d", answered.Load(), failed.Load(), noopen.Load())
	fmt.Printf("requests answered: %d, not answered: %d, not opened: %d\n", answered.Load(), failed.Load(), noopen.Load())
	l.judgeFlows()
	l.finish()
}
