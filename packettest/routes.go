package packettest

import (
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/routing"
)

// allowedService is a service that a configuration led the route of an address and port to.
type allowedService struct {
	at      flow.Endpoint
	service string
}

// table returns the current version of the routes.
func (f *Fleet) table() *routing.Table {
	for _, r := range f.Routes {
		for _, s := range r.Shares {
			f.allowed[allowedService{r.Endpoint, s.Service}] = true
		}
	}
	return routing.NewTable(1+f.changes, 0, f.Routes).WithWarmupRates(f.WarmupRates)
}

// RecordRoutes writes the route record, as entries do after each change of the routes from now on.
func (f *Fleet) RecordRoutes() { f.RouteRecord = f.Entries[0].RouteRecord() }

// ChangeRoutes replaces the routes of all entries that run.
func (f *Fleet) ChangeRoutes(routes ...routing.Route) {
	f.changes++
	f.Routes = routes
	for _, e := range f.Entries {
		if e.Up {
			e.routes.StoreIfNewer(f.table())
			e.ConfigChanged()
			if f.RouteRecord != nil {
				f.RouteRecord = e.RouteRecord()
			}
		}
	}
}
