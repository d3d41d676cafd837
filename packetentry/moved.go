package packetentry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/routing"
)

const (
	// maxMoved is the number of changes of routes that are remembered.
	maxMoved = 4096
	// maxReportedMoved is the number of changes that a report names, so that it fits into a datagram. Which ones it names changes
	// with each report.
	maxReportedMoved = 16
	// maxReportedNameBytes bounds the names of services in a report for the same reason.
	maxReportedNameBytes = 512
)

// movedRoutes remembers the services that routes led to within the maximum age of a flow: flows that opened before a change are still
// open at their hosts. The zero value is ready.
type movedRoutes struct {
	mu sync.Mutex
	// table is the newest table that was compared with its predecessor. Guarded by mu.
	table *routing.Table
	// since holds when each route ceased to lead to a service, in the time of Config.Now; at most maxMoved. Guarded by mu.
	since map[movedRoute]time.Duration
	// reported is the number of changes that reports have named. Guarded by mu.
	reported int
}

// movedRoute is the route of an address and port, and a service that it no longer leads to.
type movedRoute struct {
	at      flow.Endpoint
	service string
}

func compareMoved(a, b movedRoute) int {
	return cmp.Or(cmp.Compare(a.at.IP, b.at.IP), cmp.Compare(a.at.Port, b.at.Port), cmp.Compare(a.service, b.service))
}

// update compares the current table with the one before.
func (m *movedRoutes) update(table *routing.Table, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table == table {
		return
	}
	m.expire(now)
	table.EachFormerService(m.table, func(at flow.Endpoint, service string) { m.add(movedRoute{at, service}, now) })
	m.table = table
}

// add adds a change, or updates the time of one that is known; m.mu must be held.
func (m *movedRoutes) add(r movedRoute, since time.Duration) {
	previous, known := m.since[r]
	switch {
	case known:
		since = max(since, previous)
	case len(m.since) >= maxMoved:
		return
	case m.since == nil:
		m.since = make(map[movedRoute]time.Duration)
	}
	m.since[r] = since
}

// expire removes the changes that are older than flows; m.mu must be held.
func (m *movedRoutes) expire(now time.Duration) {
	for r, since := range m.since {
		if now-since >= maxFlowAge {
			delete(m.since, r)
		}
	}
}

// servicesOf returns the services that a route leads to, and then those that it led to when flows may have opened that are open.
func (m *movedRoutes) servicesOf(route routing.Route, now time.Duration) []string {
	services := make([]string, 0, len(route.Shares)+1)
	for _, s := range route.Shares {
		services = append(services, s.Service)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	current := len(services)
	for r, since := range m.since {
		if r.at == route.Endpoint && now-since < maxFlowAge && !slices.Contains(services[:current], r.service) {
			services = append(services, r.service)
		}
	}
	slices.Sort(services[current:])
	return services
}

// report returns changes for the entry's report with the names of their services, different ones in each report.
func (m *movedRoutes) report(now time.Duration) (routes []mesh.MovedRoute, services []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	if len(m.since) == 0 {
		return nil, nil
	}
	all := make([]movedRoute, 0, len(m.since))
	for r := range m.since {
		all = append(all, r)
	}
	slices.SortFunc(all, compareMoved)
	nameBytes := 0
	for i := range min(len(all), maxReportedMoved) {
		r := all[m.reported%len(all)]
		if nameBytes += len(r.service); i > 0 && nameBytes > maxReportedNameBytes {
			break
		}
		m.reported++
		routes = append(routes, mesh.MovedRoute{
			IP: r.at.IP, Port: r.at.Port, Service: mesh.ServiceTag(r.service), AgeMs: uint32(max((now - m.since[r]).Milliseconds(), 0)),
		})
		services = append(services, r.service)
	}
	return routes, services
}

// movedAge is a change that another entry reported, with the time since.
type movedAge struct {
	movedRoute
	age time.Duration
}

// movedRoutesOf returns the changes in a report. Entries of earlier versions report the tag of a service without its name; of the known
// services, at most one must have the tag then.
func movedRoutesOf(report mesh.EntryReport, known func() []string) []movedAge {
	out := make([]movedAge, 0, len(report.Moved))
	for i, r := range report.Moved {
		service := ""
		if i < len(report.MovedServices) {
			service = report.MovedServices[i]
		} else if service = onlyServiceWithTag(known(), r.Service); service == "" {
			continue
		}
		out = append(out, movedAge{movedRoute{flow.Endpoint{IP: r.IP, Port: r.Port}, service}, time.Duration(r.AgeMs) * time.Millisecond})
	}
	return out
}

// onlyServiceWithTag returns the service with a tag, "" if there is none or more than one.
func onlyServiceWithTag(services []string, tag uint32) (found string) {
	for _, service := range services {
		if mesh.ServiceTag(service) != tag {
			continue
		}
		if found != "" {
			return ""
		}
		found = service
	}
	return found
}

// merge adds the changes that another entry reported. An entry that started after a change knows of it from others only.
func (m *movedRoutes) merge(reported []movedAge, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reported {
		if r.age < maxFlowAge {
			m.add(r.movedRoute, now-r.age)
		}
	}
}

// ConfigChanged is called after each newer configuration has been applied.
func (e *Entry) ConfigChanged() { e.moved.update(e.cfg.Routes.Current(), e.cfg.Now()) }
