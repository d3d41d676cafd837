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
	// seats holds what was seen at each tunnel address that the records name.
	seats map[netip.AddrPort]*seat
}

type seat struct {
	current Observation
	// replaced are earlier incarnations at the address, newest last, none
	// with the tag of the current one.
	replaced []Observation
}

func newObserver() *observer { return &observer{seats: make(map[netip.AddrPort]*seat)} }

// update takes the records of one service in place of those it had before.
func (o *observer) update(before, records []member.Record, now time.Time) {
	listed := make(map[netip.AddrPort]bool, len(records))
	for _, r := range records {
		listed[r.Tunnel] = true
		o.see(r, now)
	}
	for _, r := range before {
		s := o.seats[r.Tunnel]
		if !listed[r.Tunnel] && s != nil && s.current.Record.Service == r.Service {
			delete(o.seats, r.Tunnel)
		}
	}
}

func (o *observer) see(r member.Record, now time.Time) {
	s := o.seats[r.Tunnel]
	if s == nil {
		o.seats[r.Tunnel] = &seat{current: Observation{Record: r, Since: now}}
		return
	}
	known := s.current
	switch {
	case r.Incarnation < known.Record.Incarnation:
		s.replace(Observation{Record: r, Since: now})
	case r.Incarnation > known.Record.Incarnation:
		s.current = Observation{Record: r, Since: now}
		s.replace(known)
	default:
		s.current.Record = r
		if r.State != known.Record.State {
			s.current.Since = now
		}
	}
}

// replace remembers a replaced incarnation. Packets carry only the tag of an
// incarnation, so one with the tag of the current incarnation is left out.
func (s *seat) replace(o Observation) {
	o.Replaced = true
	current := s.current.place()
	same := func(r Observation) bool { return r.place() == o.place() }
	if !slices.ContainsFunc(s.replaced, same) {
		s.replaced = append(s.replaced, o)
	}
	s.replaced = slices.DeleteFunc(s.replaced, func(r Observation) bool { return r.place() == current })
	if extra := len(s.replaced) - maxReplaced; extra > 0 {
		s.replaced = slices.Delete(s.replaced, 0, extra)
	}
}

// gone returns the places of all services that are known to be gone, and
// whether a death is not yet old enough to count.
func (o *observer) gone(policy func(config.ServiceTag) config.Policy, now time.Time) (map[flowid.Place]GoneReason, bool) {
	services, pending := o.affected()
	for _, s := range o.seats {
		services.add(s.current)
		for _, r := range s.replaced {
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
	for _, s := range o.seats {
		dead = dead || s.current.Record.State == member.StateDead
		if !s.current.Record.Alive() {
			services[s.current.Record.Service] = nil
		}
		for _, r := range s.replaced {
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
