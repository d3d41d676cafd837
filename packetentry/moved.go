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
	// maxMoved is the number of changes of routes that are remembered. It exceeds the number of routes of the largest fleet.
	maxMoved = 1 << 14
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
	// table is the newest table that was compared with its predecessor, nil before the first one. Guarded by mu.
	table *routing.Table
	// recorded is the route record that was read before there was a table. Guarded by mu.
	recorded *routing.Table
	// since holds when each route ceased to lead to a service, in the time of Config.Now. Guarded by mu.
	since map[flow.Endpoint]map[string]time.Duration
	// count is the number of changes in since, at most maxMoved. Guarded by mu.
	count int
	// order holds the changes in order, nil after one was added or removed; reported is the number of changes that reports have named.
	// Guarded by mu.
	order    []movedRoute
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

// update compares the current table with the one before, or with the route record.
func (m *movedRoutes) update(table *routing.Table, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table == table {
		return
	}
	m.expire(now)
	for _, former := range []*routing.Table{m.table, m.recorded} {
		table.EachFormerService(former, func(at flow.Endpoint, service string) { m.add(movedRoute{at, service}, now) })
	}
	m.table, m.recorded = table, nil
}

// noteRecord adds the services that the route record has and that the routes don't lead to. It has no times, as clocks differ: they
// count as changes of this moment.
func (m *movedRoutes) noteRecord(record *routing.Table, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table == nil {
		m.recorded = record
		return
	}
	m.table.EachFormerService(record, func(at flow.Endpoint, service string) { m.add(movedRoute{at, service}, now) })
}

// hasFormer reports whether flows may be open at services that their routes no longer lead to.
func (m *movedRoutes) hasFormer(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	return m.count > 0
}

// record returns the routes with all services at which flows of theirs may be open, or nil before the first table.
func (m *movedRoutes) record(now time.Duration) *routing.Table {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table == nil {
		return nil
	}
	m.expire(now)
	routes := make([]routing.Route, 0, m.table.Len())
	for r := range m.table.All() {
		services := m.services(r, now)
		slices.Sort(services)
		recorded := routing.Route{Endpoint: r.Endpoint}
		for _, service := range slices.Compact(services) {
			recorded.Shares = append(recorded.Shares, routing.Share{Service: service, Weight: 1})
		}
		routes = append(routes, recorded)
	}
	return routing.NewTable(m.table.Version, 0, routes)
}

// add adds a change, or updates the time of one that is known; m.mu must be held.
func (m *movedRoutes) add(r movedRoute, since time.Duration) {
	previous, known := m.since[r.at][r.service]
	switch {
	case known:
		since = max(since, previous)
	case m.count >= maxMoved:
		return
	case m.since == nil:
		m.since = make(map[flow.Endpoint]map[string]time.Duration)
	}
	if m.since[r.at] == nil {
		m.since[r.at] = make(map[string]time.Duration)
	}
	if !known {
		m.count++
		m.order = nil
	}
	m.since[r.at][r.service] = since
}

// expire removes the changes that are older than flows; m.mu must be held.
func (m *movedRoutes) expire(now time.Duration) {
	for at, services := range m.since {
		for service, since := range services {
			if now-since >= maxFlowAge {
				delete(services, service)
				m.count--
				m.order = nil
			}
		}
		if len(services) == 0 {
			delete(m.since, at)
		}
	}
}

// servicesOf returns the services that a route leads to, and then those that it led to when flows may have opened that are open.
func (m *movedRoutes) servicesOf(route routing.Route, now time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.services(route, now)
}

// services is servicesOf; m.mu must be held.
func (m *movedRoutes) services(route routing.Route, now time.Duration) []string {
	services := make([]string, 0, len(route.Shares)+1)
	for _, s := range route.Shares {
		services = append(services, s.Service)
	}
	current := len(services)
	for service, since := range m.since[route.Endpoint] {
		if now-since < maxFlowAge && !slices.Contains(services[:current], service) {
			services = append(services, service)
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
	if m.count == 0 {
		return nil, nil
	}
	if m.order == nil {
		for at, services := range m.since {
			for service := range services {
				m.order = append(m.order, movedRoute{at, service})
			}
		}
		slices.SortFunc(m.order, compareMoved)
	}
	nameBytes := 0
	for i := range min(len(m.order), maxReportedMoved) {
		r := m.order[m.reported%len(m.order)]
		if nameBytes += len(r.service); i > 0 && nameBytes > maxReportedNameBytes {
			break
		}
		m.reported++
		routes = append(routes, mesh.MovedRoute{
			IP: r.at.IP, Port: r.at.Port, Service: mesh.ServiceTag(r.service), AgeMs: uint32(max((now - m.since[r.at][r.service]).Milliseconds(), 0)),
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

// merge adds the changes that another entry reported. An entry that started after a change knows of it from others or from the route
// record only.
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

// RouteRecord returns the routes with all services at which flows of theirs may be open, for the route record in the store: an entry that
// starts after a restart of all processes knows of former services from the record only. It returns nil while there is no configuration.
func (e *Entry) RouteRecord() *routing.Table { return e.moved.record(e.cfg.Now()) }

// HasFormerServices reports whether flows may be open at services that their routes no longer lead to.
func (e *Entry) HasFormerServices() bool { return e.moved.hasFormer(e.cfg.Now()) }

// RouteRecordRead is called with each route record that was read from the store.
func (e *Entry) RouteRecordRead(record *routing.Table) { e.moved.noteRecord(record, e.cfg.Now()) }
