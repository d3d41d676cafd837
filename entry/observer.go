package entry

import (
	"net/netip"
	"slices"
	"time"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/flowid"
	"endiveflow.example/endiveflow/member"
)

// maxReplaced is the number of replaced incarnations kept per tunnel address. Flows last for up to a shift,
// in which an agent restarts only a few times.
const maxReplaced = 8

// observer turns successive member records into observations. It is not safe
// for concurrent use.
type observer struct {
	// histories holds the incarnations seen at each tunnel address in the records.
	histories map[netip.AddrPort]*agentHistory
}

// agentHistory holds the incarnations seen at one tunnel address.
type agentHistory struct {
	current Observation
	// replaced holds earlier incarnations at the address, newest last. None has the tag of the current one.
	replaced []Observation
}

func newObserver() *observer { return &observer{histories: make(map[netip.AddrPort]*agentHistory)} }

// update replaces the records of one service. The argument before holds its previous records.
func (o *observer) update(before, records []member.Record, now time.Time) {
	listed := make(map[netip.AddrPort]bool, len(records))
	for _, r := range records {
		listed[r.Tunnel] = true
		o.observe(r, now)
	}
	for _, r := range before {
		h := o.histories[r.Tunnel]
		if !listed[r.Tunnel] && h != nil && h.current.Record.Service == r.Service {
			delete(o.histories, r.Tunnel)
		}
	}
}

func (o *observer) observe(r member.Record, now time.Time) {
	h := o.histories[r.Tunnel]
	if h == nil {
		o.histories[r.Tunnel] = &agentHistory{current: Observation{Record: r, Since: now}}
		return
	}
	previous := h.current
	switch {
	case r.Incarnation < previous.Record.Incarnation:
		h.addReplaced(Observation{Record: r, Since: now})
	case r.Incarnation > previous.Record.Incarnation:
		h.current = Observation{Record: r, Since: now}
		h.addReplaced(previous)
	default:
		h.current.Record = r
		if r.State != previous.Record.State {
			h.current.Since = now
		}
	}
}

// addReplaced records a replaced incarnation. Packets carry only the tag of an incarnation, so one with the
// same tag as the current incarnation is left out.
func (h *agentHistory) addReplaced(o Observation) {
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

// gone returns the places of all services that are gone, and whether there are dead agents, which may be
// added later without any change of the records.
func (o *observer) gone(policy func(config.ServiceTag) config.Policy, now time.Time) (map[flowid.Place]GoneReason, bool) {
	services, pending := o.affectedServices()
	for _, h := range o.histories {
		services.add(h.current)
		for _, r := range h.replaced {
			services.add(r)
		}
	}
	all := make(map[flowid.Place]GoneReason)
	for tag, service := range services {
		for place, reason := range GonePlaces(service, policy(tag), now) {
			all[place] = reason
		}
	}
	return all, pending
}

// affectedServices returns the services of which an incarnation may be gone, without their observations,
// and whether any agent is dead. Most services of a large fleet are not affected and need no further work.
func (o *observer) affectedServices() (serviceObservations, bool) {
	services := make(serviceObservations)
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

// serviceObservations holds the observations of some services.
type serviceObservations map[config.ServiceTag][]Observation

func (s serviceObservations) add(o Observation) {
	if service, ok := s[o.Record.Service]; ok {
		s[o.Record.Service] = append(service, o)
	}
}
