package main

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// equalTags: two services whose names differ. Each has a route and hosts of its own.
func equalTags(rec *record) error {
	f, err := newFleet(rec, zones, nil)
	if err != nil {
		return err
	}
	defer f.stopAll()
	services := []string{"kuwa46a", "bawu92b"}
	if !f.trouble {
		services[1] = "bawu93b"
	}
	routes := []route{{"desk", services[0], deskEnd}, {"sheets", services[1], sheetsEnd}}
	c, err := begin(f, zones, map[string]int{services[0]: 3, services[1]: 3}, services, routes...)
	if err != nil {
		return err
	}
	for _, r := range routes {
		for n := range 20 {
			fl, id := c.newFlow(r.at), fmt.Sprintf("%s-%d", r.name, n+1)
			rec.add("request %s on %s: %s", id, fl.key, fl.request(request{id, shortWork}, shortDeadline))
			fl.close()
			for _, service := range f.runsOf(id) {
				if service != r.service {
					rec.breakRule("ROUTE", "request %s was run by service %s; every configuration sends its route to %s", id, service, r.service)
				}
			}
		}
	}
	return nil
}

func (f *fleet) runsOf(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runs[id])
}

// mix is the finalizer of MurmurHash3, by which entries are ranked.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func rankOf(ip netip.Addr) uint64 {
	a := ip.As4()
	return mix(uint64(binary.BigEndian.Uint32(a[:])))
}

// entryZones are the zones of the entries of harrowgate-rota.
var entryZones = []string{"okn-a", "okn-a", "okn-a", "okn-b", "okn-b", "okn-c"}

// cutTime is the time for which the day trouble-3 of harrowgate-rota cuts two entries from the store.
const cutTime = 4340 * time.Millisecond

// relying returns the index of the entry of okn-a that relies on the others to watch the store.
func relying(f *fleet) int {
	n := 0
	for i := range 3 {
		if rankOf(f.address(1+i)) > rankOf(f.address(1+n)) {
			n = i
		}
	}
	return n
}

// staleEntry: the five entries that watch the store are cut from it for 4.34 s, and a route moves to another service. The sixth
// one reaches the store all the time.
func staleEntry(rec *record) error {
	// The entry waits for 3 to 4.5 s, by its address; the addresses are such that it waits for 4 s or more.
	f, err := newFleet(rec, zones, func(f *fleet) bool { return rankOf(f.address(1+relying(f)))%1_500_000_000 > 1_000_000_000 })
	if err != nil {
		return err
	}
	defer f.stopAll()
	c, err := begin(f, entryZones, map[string]int{"rota": 3, "draws": 3}, []string{"rota", "draws"}, route{"desk", "rota", deskEnd})
	if err != nil {
		return err
	}
	at, more := deskEnd, route{"more", "rota", sheetsEnd}
	entry := f.entries()[relying(f)]
	// At its start, an entry watches the store itself for some seconds.
	time.Sleep(12 * time.Second)
	if _, err := f.configure(route{"desk", "rota", at}, more); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	cutAt := rec.now()
	for _, p := range f.entries() {
		if f.trouble && p != entry {
			rec.add("%s is cut from the store", p.name)
			p.proxy.cut.Store(true)
		}
	}
	time.Sleep(50 * time.Millisecond)
	acked, err := f.configure(route{"desk", "draws", at}, more)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	for n := 0; rec.now() < acked+8*time.Second; n++ {
		if rec.now() > cutAt+cutTime {
			for _, p := range f.entries() {
				p.proxy.cut.Store(false)
			}
		}
		wg.Go(func() {
			fl, id := c.newFlow(at), fmt.Sprintf("desk-%d", n+1)
			fl.entry = entry
			sent := rec.now()
			rec.add("request %s on %s: %s", id, fl.key, fl.request(request{id, shortWork}, shortDeadline))
			fl.close()
			for _, service := range f.runsOf(id) {
				if service == "rota" && sent > acked+configApply {
					rec.breakRule("CONFIG", "request %s was sent through %s %.3f s after the acknowledgement of version %d, which moved its route to draws, and was run by rota",
						id, entry.name, (sent - acked).Seconds(), f.version)
				}
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	return nil
}
