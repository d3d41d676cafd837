package entry

import (
	"net/netip"
	"slices"
	"time"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
)

// maxReplaced is the number of replaced incarnations remembered per tunnel
// address. Flows last for a shift, in which an agent restarts a few times.
const maxReplaced = 8

// observer turns successive member records into observations. It is not safe
// for concurrent use.
type observer struct {
	// histories holds what was seen at each tunnel address that the records name.
	histories map[netip.AddrPort]*agentHistory
}

// agentHistory holds the incarnations seen at one tunnel address.
type agentHistory struct {
	current Observation
	// replaced are earlier incarnations at the address, newest last, none
	// with the tag of the current one.
	replaced []Observation
}

func newObserver() *observer { return &observer{histories: make(map[netip.AddrPort]*agentHistory)} }

// update takes the records of one service in place of those it had before.
func (o *observer) update(before, records []member.Record, now time.Time) {
	listed := make(map[netip.AddrPort]bool, len(records))
	for _, r := range records {
		listed[r.Tunnel] = true
		o.see(r, now)
	}
	for _, r := range before {
		h := o.histories[r.Tunnel]
		if !listed[r.Tunnel] && h != nil && h.current.Record.Service == r.Service {
			delete(o.histories, r.Tunnel)
		}
	}
}

func (o *observer) see(r member.Record, now time.Time) {
	h := o.histories[r.Tunnel]
	if h == nil {
		o.histories[r.Tunnel] = &agentHistory{current: Observation{Record: r, Since: now}}
		return
	}
	known := h.current
	switch {
	case r.Incarnation < known.Record.Incarnation:
		h.replace(Observation{Record: r, Since: now})
	case r.Incarnation > known.Record.Incarnation:
		h.current = Observation{Record: r, Since: now}
		h.replace(known)
	default:
		h.current.Record = r
		if r.State != known.Record.State {
			h.current.Since = now
		}
	}
}

// replace remembers a replaced incarnation. Packets carry only the tag of an
// incarnation, so one with the tag of the current incarnation is left out.
func (h *agentHistory) replace(o Observation) {
	o.Replaced = true
	current := h.current.place()
	same := func(r Observation) bool { return r.place() == o.place() }
	if !slices.ContainsFunc(h.replaced, same) {
		h.replaced = append(h.replaced, o)
	}
	h.replaced = slices.DeleteFunc(h.replaced, func(r Observation) bool { return r.place() == current })
	if extra := len(h.replaced) - maxReplaced; extra > 0 {
		h.replaced = slices.Delete(h.replaced, 0, extra)
	}
}

// gone returns the places of all services that are known to be gone, and
// whether a death is not yet old enough to count.
func (o *observer) gone(policy func(config.ServiceTag) config.Policy, now time.Time) (map[flowid.Place]GoneReason, bool) {
	services, pending := o.affected()
	for _, h := range o.histories {
		services.add(h.current)
		for _, r := range h.replaced {
			services.add(r)
		}
	}
	all := make(map[flowid.Place]GoneReason)
	for tag, service := range services {
		for place, reason := range Gone(service, policy(tag), now) {
			all[place] = reason
		}
	}
	return all, pending
}

// affected returns the services of which an incarnation may be gone, without
// their observations, and whether any agent is dead. Most services of a large
// fleet are not affected and cost no more than this.
func (o *observer) affected() (affected, bool) {
	services := make(affected)
	dead := false
	for _, h := range o.histories {
		dead = dead || h.current.Record.State == member.StateDead
		if !h.current.Record.Alive() {
			services[h.current.Record.Service] = nil
		}
		for _, r := range h.replaced {
			services[r.Record.Service] = nil
		}
	}
	return services, dead
}

// affected holds the observations of some services.
type affected map[config.ServiceTag][]Observation

func (a affected) add(o Observation) {
	if service, ok := a[o.Record.Service]; ok {
		a[o.Record.Service] = append(service, o)
	}
}
