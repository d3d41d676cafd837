package entry

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"endiveflow.example/endiveflow/config"
)

const (
	// formerIdle is how long a former address is kept without a packet. An
	// agent has a packet on each flow every 20 s, but each entry sees only a
	// share of them: with 1,400 entries in a region, an entry sees one in an
	// hour from each 8 flows.
	formerIdle = time.Hour
	// formerBound is how long a former address is kept in spite of packets,
	// unless drainFor is longer. The longest flows last for a shift, and 12 h
	// covers the longest one.
	formerBound = 12 * time.Hour
	// maxFormer is the number of former addresses kept at once. It bounds the
	// descriptors when addresses change all the time. At the target a region
	// has 980 changes of all kinds per day.
	maxFormer = 1024
	// longestFormer is the longest drainFor, after which no former address is
	// kept and none that was given up need be remembered.
	longestFormer = 24 * time.Hour
)

var (
	formerGauge = metrics.GetOrCreateGauge("endiveflow_entry_former_addresses", nil)

	formerUnused  = formerCounter("unused")
	formerExpired = formerCounter("expired")
	formerExcess  = formerCounter("too many")
	formerFailed  = formerCounter("not bound")
)

func formerCounter(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("endiveflow_entry_former_closed_total{reason=%q}", reason))
}

// formerAddress is an address that a service had until an operator changed or
// deleted it. Established flows on it are still forwarded.
type formerAddress struct {
	binding
	// since is when the service lost the address.
	since time.Time
	// heard is when packets of flows last arrived, or since. It belongs to the
	// goroutine of Run.
	heard time.Time
	// active says that packets arrived after heard.
	active atomic.Bool
	// networks are those of FormerAddress. They are never changed.
	networks []netip.Prefix
}

// allows says whether the host had a place in a service that is deleted now.
func (a *formerAddress) allows(host netip.Addr) bool {
	for _, n := range a.networks {
		if n.Contains(host) {
			return true
		}
	}
	return false
}

// withNetworks returns a copy with other networks.
func (a *formerAddress) withNetworks(networks []netip.Prefix) *formerAddress {
	b := &formerAddress{binding: a.binding, since: a.since, heard: a.heard, networks: networks}
	b.active.Store(a.active.Load())
	return b
}

// note notes a packet. It writes only once per check, since the readers of all
// cores share the flag.
func (a *formerAddress) note() {
	if !a.active.Load() {
		a.active.Store(true)
	}
}

// expired returns the counter of the reason to give up the address, or nil.
func (a *formerAddress) expired(drainFor time.Duration, now time.Time) *metrics.Counter {
	held := now.Sub(a.since)
	switch {
	case held < drainFor:
		return nil
	case held >= formerBound:
		return formerExpired
	case now.Sub(a.heard) >= formerIdle:
		return formerUnused
	}
	return nil
}

// keepFormer remembers the addresses that services had until now.
func (f *Forwarder) keepFormer(now time.Time) {
	for _, s := range f.bound {
		b := s.use.Load().current
		if b.address.IsValid() && f.services[b.service] != b.address {
			f.former[b] = &formerAddress{binding: b, since: now, heard: now}
			f.cfg.Log.Info("address kept for established flows", "service", uint32(b.service), "address", b.address.String())
		}
	}
	f.limitFormer()
	for _, known := range f.cfg.Former() {
		f.learnFormer(known, now)
	}
	formerGauge.Set(float64(len(f.former)))
}

// learnFormer takes over a former address from the configuration, unless the
// forwarder keeps it already or has given it up.
func (f *Forwarder) learnFormer(known FormerAddress, now time.Time) {
	b := binding{known.Service, known.Address}
	// Most audit entries are old, and asking for the policy of each takes long.
	if f.services[b.service] == b.address || now.Sub(known.Until) > longestFormer {
		return
	}
	if a := f.former[b]; a != nil {
		if !slices.Equal(a.networks, known.Networks) {
			f.former[b] = a.withNetworks(known.Networks)
		}
		return
	}
	if givenUp, ok := f.givenUp[b]; ok && !known.Until.After(givenUp) || len(f.former) >= maxFormer {
		return
	}
	a := &formerAddress{binding: b, since: earlier(known.Until, now), heard: now, networks: known.Networks}
	if a.expired(f.cfg.Policy(b.service).DrainFor, now) == nil {
		f.former[b] = a
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// limitFormer gives up the oldest former addresses past maxFormer.
func (f *Forwarder) limitFormer() {
	for len(f.former) > maxFormer {
		var oldest *formerAddress
		for _, a := range f.former {
			if oldest == nil || a.since.Before(oldest.since) {
				oldest = a
			}
		}
		f.giveUp(oldest, formerExcess)
	}
}

// expireFormer gives up former addresses whose time has passed. It says
// whether there were any.
func (f *Forwarder) expireFormer(now time.Time) bool {
	maps.DeleteFunc(f.givenUp, func(_ binding, when time.Time) bool { return now.Sub(when) > longestFormer })
	before := len(f.former)
	for b, a := range f.former {
		if a.active.Swap(false) {
			a.heard = now
		}
		if reason := a.expired(f.cfg.Policy(b.service).DrainFor, now); reason != nil {
			f.giveUp(a, reason)
		}
	}
	formerGauge.Set(float64(len(f.former)))
	return len(f.former) != before
}

func (f *Forwarder) giveUp(a *formerAddress, reason *metrics.Counter) {
	delete(f.former, a.binding)
	f.givenUp[a.binding] = f.cfg.Now()
	reason.Inc()
	f.cfg.Log.Info("former address given up", "service", uint32(a.service), "address", a.address.String(), "held", f.cfg.Now().Sub(a.since).String())
}

// watched returns the services whose agents matter: the configured ones and
// those with former addresses.
func (f *Forwarder) watched() map[config.ServiceTag]bool {
	tags := make(map[config.ServiceTag]bool, len(f.services))
	for tag := range f.services {
		tags[tag] = true
	}
	for b := range f.former {
		tags[b.service] = true
	}
	return tags
}
