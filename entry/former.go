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
	// formerIdleTimeout is how long a former address is kept without receiving a packet. An agent receives
	// a packet on each flow every 20 s, but each entry sees only a share of them: with 1,400 entries in a
	// region, an entry sees one packet an hour for every 8 flows.
	formerIdleTimeout = time.Hour
	// formerMaxAge is how long a former address is kept while packets still arrive, unless drainFor is
	// longer. The longest flows last for a shift, and 12 h covers the longest one.
	formerMaxAge = 12 * time.Hour
	// maxFormer is the number of former addresses kept at once. It bounds the file descriptors when
	// addresses change constantly. At the target size, a region has 980 changes of all kinds per day.
	maxFormer = 1024
	// maxDrainFor is the longest drainFor. After that time no former address is kept, and a record in
	// closedFormer is no longer needed.
	maxDrainFor = 24 * time.Hour
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
	// lastPacket is when a packet of a flow last arrived, or the value of since. Only the goroutine of Run
	// uses it.
	lastPacket time.Time
	// active reports that packets arrived after lastPacket.
	active atomic.Bool
	// networks is FormerAddress.Networks. It is never modified.
	networks []netip.Prefix
}

// allows reports whether the host was allowed to serve a service that is deleted now.
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
	b := &formerAddress{binding: a.binding, since: a.since, lastPacket: a.lastPacket, networks: networks}
	b.active.Store(a.active.Load())
	return b
}

// markActive records that a packet arrived. It writes only once between two checks, because the readers of
// all cores share the flag.
func (a *formerAddress) markActive() {
	if !a.active.Load() {
		a.active.Store(true)
	}
}

// closeReason returns the counter of the reason to close the address, or nil to keep it.
func (a *formerAddress) closeReason(drainFor time.Duration, now time.Time) *metrics.Counter {
	held := now.Sub(a.since)
	switch {
	case held < drainFor:
		return nil
	case held >= formerMaxAge:
		return formerExpired
	case now.Sub(a.lastPacket) >= formerIdleTimeout:
		return formerUnused
	}
	return nil
}

// updateFormer records the addresses that services had until now, and those from the audit entries.
func (f *Forwarder) updateFormer(now time.Time) {
	for _, s := range f.bound {
		b := s.use.Load().current
		if b.address.IsValid() && f.services[b.service] != b.address {
			f.former[b] = &formerAddress{binding: b, since: now, lastPacket: now}
			f.cfg.Log.Info("address kept for established flows", "service", uint32(b.service), "address", b.address.String())
		}
	}
	f.limitFormer()
	for _, audited := range f.cfg.Former() {
		f.addFormer(audited, now)
	}
	formerGauge.Set(float64(len(f.former)))
}

// addFormer adds a former address from the audit entries, unless the forwarder keeps it already or has
// closed it.
func (f *Forwarder) addFormer(audited FormerAddress, now time.Time) {
	b := binding{audited.Service, audited.Address}
	// Most audit entries are old, and looking up the policy for each would be slow.
	if f.services[b.service] == b.address || now.Sub(audited.Until) > maxDrainFor {
		return
	}
	if a := f.former[b]; a != nil {
		if !slices.Equal(a.networks, audited.Networks) {
			f.former[b] = a.withNetworks(audited.Networks)
		}
		return
	}
	if closedAt, ok := f.closedFormer[b]; ok && !audited.Until.After(closedAt) || len(f.former) >= maxFormer {
		return
	}
	a := &formerAddress{binding: b, since: earlier(audited.Until, now), lastPacket: now, networks: audited.Networks}
	if a.closeReason(f.cfg.Policy(b.service).DrainFor, now) == nil {
		f.former[b] = a
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// limitFormer closes the oldest former addresses in excess of maxFormer.
func (f *Forwarder) limitFormer() {
	for len(f.former) > maxFormer {
		var oldest *formerAddress
		for _, a := range f.former {
			if oldest == nil || a.since.Before(oldest.since) {
				oldest = a
			}
		}
		f.closeFormer(oldest, formerExcess)
	}
}

// expireFormer closes former addresses that have expired. It reports whether there were any.
func (f *Forwarder) expireFormer(now time.Time) bool {
	maps.DeleteFunc(f.closedFormer, func(_ binding, when time.Time) bool { return now.Sub(when) > maxDrainFor })
	before := len(f.former)
	for b, a := range f.former {
		if a.active.Swap(false) {
			a.lastPacket = now
		}
		if reason := a.closeReason(f.cfg.Policy(b.service).DrainFor, now); reason != nil {
			f.closeFormer(a, reason)
		}
	}
	formerGauge.Set(float64(len(f.former)))
	return len(f.former) != before
}

func (f *Forwarder) closeFormer(a *formerAddress, reason *metrics.Counter) {
	delete(f.former, a.binding)
	f.closedFormer[a.binding] = f.cfg.Now()
	reason.Inc()
	f.cfg.Log.Info("former address closed", "service", uint32(a.service), "address", a.address.String(), "held", f.cfg.Now().Sub(a.since).String())
}

// trackedServices returns the services whose agents are tracked: the configured ones and those with former
// addresses.
func (f *Forwarder) trackedServices() map[config.ServiceTag]bool {
	tags := make(map[config.ServiceTag]bool, len(f.services))
	for tag := range f.services {
		tags[tag] = true
	}
	for b := range f.former {
		tags[b.service] = true
	}
	return tags
}
