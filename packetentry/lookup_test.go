package packetentry_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/routing"
)

// newFleetWithMovedRoute returns a fleet of 3 entries, and the callers of 40 flows that opened before their route moved to the second
// service. If recorded, entries keep a route record.
func newFleetWithMovedRoute(t *testing.T, recorded bool) (*packettest.Fleet, []*packettest.Caller) {
	t.Helper()
	const flows, others = 40, 6
	f, callers := newFleet(3, 8)
	for i := range others {
		f.AddAgent(packettest.Address(201+i), packettest.SecondService)
	}
	if recorded {
		f.RecordRoutes()
	}
	f.Run(2 * time.Second)
	var all []*packettest.Caller
	for i := range flows {
		c := callers.Start(f, packettest.Key(i), through(f.Entries[i%len(f.Entries)]))
		f.Run(50 * time.Millisecond)
		requireAnswered(t, f, c, 1)
		all = append(all, c)
	}
	f.ChangeRoutes(routing.Route{Endpoint: packettest.Key(0).Service, Shares: []routing.Share{{Service: packettest.SecondService, Weight: 1}}})
	return f, all
}

// Guards against requests that are lost on flows of a service that left their route, once all processes were restarted in turn:
// agents of that service were asked for records only, so that none gave a packet to its host, while the hosts of the route's
// service got them.
func TestFlowsOfMovedRouteSurviveRestarts(t *testing.T) {
	f, all := newFleetWithMovedRoute(t, false)
	f.Run(time.Second)
	for i, a := range f.Agents {
		f.StartAgent(a)
		if i%5 == 4 {
			f.StartEntry(f.Entries[i/5])
		}
		f.Run(300 * time.Millisecond)
	}
	for i, c := range all {
		c.NextEntry = through(f.Entries[(i+1)%len(f.Entries)])
		c.Request()
		f.Run(20 * time.Millisecond)
	}
	f.Run(3 * time.Second)
	assertNoneLost(t, all, 2)
	require.Empty(t, f.Violations)
}

// Guards against flows that are lost once their route has moved to another service and all processes restart at once: no process
// remembers which services the route led to.
func TestFlowsOfMovedRouteSurviveRestartOfAllProcesses(t *testing.T) {
	f, all := newFleetWithMovedRoute(t, true)
	f.Run(5 * time.Second)
	f.RestartProcesses()
	f.Run(5 * time.Second)
	for _, c := range all {
		c.Request()
		f.Run(20 * time.Millisecond)
	}
	f.Run(3 * time.Second)
	assertNoneLost(t, all, 2)
	require.Empty(t, f.Violations)
}

// Guards against a route record without the services that routes led to before, or led to when all entries ended before they recorded
// a change, and against former services that are kept for longer than flows last.
func TestRouteRecord(t *testing.T) {
	at := packettest.Key(0).Service
	leadTo := func(services ...string) routing.Route {
		r := routing.Route{Endpoint: at}
		for _, service := range services {
			r.Shares = append(r.Shares, routing.Share{Service: service, Weight: 1})
		}
		return r
	}
	servicesIn := func(e *packettest.Entry) (services []string, hasFormer bool) {
		r, found := e.RouteRecord().Find(at)
		require.True(t, found)
		for _, s := range r.Shares {
			services = append(services, s.Service)
		}
		return services, e.HasFormerServices()
	}
	f, _ := newFleet(1, 1)
	e := f.Entries[0]
	t.Run("after a change", func(t *testing.T) {
		f.ChangeRoutes(leadTo("b", "c"))
		services, hasFormer := servicesIn(e)
		require.True(t, hasFormer)
		require.Equal(t, []string{"b", "c", packettest.FirstService}, services)
	})
	t.Run("a change that was not recorded", func(t *testing.T) {
		f.RouteRecord = routing.NewTable(1, 0, []routing.Route{leadTo("a")})
		f.StartEntry(e)
		services, hasFormer := servicesIn(e)
		require.True(t, hasFormer)
		require.Equal(t, []string{"a", "b", "c"}, services)
	})
	t.Run("flows have ended", func(t *testing.T) {
		f.Run(61 * time.Second)
		services, hasFormer := servicesIn(e)
		require.False(t, hasFormer)
		require.Equal(t, []string{"b", "c"}, services)
	})
}

// Guards against a packet that reaches hosts of a service which its route has never led to.
func TestSearchAsksNoHostsOfOtherServices(t *testing.T) {
	f, callers := newFleet(2, 8)
	for i := range 6 {
		f.AddAgent(packettest.Address(201+i), packettest.SecondService)
	}
	f.Run(time.Second)
	c := callers.Start(f, packettest.Key(1), through(f.Entries[0]))
	f.Run(100 * time.Millisecond)
	requireAnswered(t, f, c, 1)
	f.Owner(c.Key, c.InitialSeq).Up = false
	f.RestartProcesses()
	f.Owner(c.Key, c.InitialSeq).Up = false
	f.Run(time.Second)
	c.Request()
	f.Run(4 * time.Second)
	for _, a := range f.Agents {
		if a.Host.Service == packettest.SecondService {
			require.Zero(t, a.Host.Misdelivered)
		}
	}
}

// Guards against an entry that is misled by the record of another one: the agent that it names doesn't have the flow.
func TestWrongRecordOfAnotherEntry(t *testing.T) {
	k, wrong, peer := packettest.Key(1), packettest.Address(100), packettest.Address(2)
	var kinds []mesh.Kind
	var to []uint32
	now := time.Duration(0)
	e := newEntryAt(t, &now, func(ip uint32, d []byte) {
		var m mesh.Message
		require.NoError(t, m.Decode(d))
		kinds, to = append(kinds, m.Kind), append(to, ip)
	})
	for n := range 2 {
		reportAgent(t, e, n, host.Ready, mesh.Load{Slots: 4, Open: true})
	}
	body, err := mesh.EncodeReport(mesh.EntryReport{IP: peer, Incarnation: 1, Zone: "a"})
	require.NoError(t, err)
	report := mesh.Message{Kind: mesh.KindEntryReport, Origin: peer, Body: body}
	e.Receive(report.Append(nil))
	packet := packettest.Request(k, 7, 100)
	returned := func(from uint32, step uint8) {
		m := mesh.Message{Kind: mesh.KindMissing, Origin: from, Service: mesh.ServiceTag(packettest.FirstService), Flow: k, Step: step, Body: append([]byte(nil), packet...)}
		e.Receive(m.Append(nil))
	}
	// search lets the entry search until it asks the other entry.
	search := func() {
		for position := range 2 {
			kinds, to = kinds[len(kinds)-1:], to[len(to)-1:]
			returned(to[0], mesh.DirectoryStep(position))
		}
		require.Equal(t, mesh.KindFlowQuery, kinds[1])
		require.Equal(t, peer, to[1])
	}
	e.FromCaller(packet)
	search()
	holder := mesh.Message{Kind: mesh.KindFlowHolder, Origin: peer, Service: mesh.ServiceTag(packettest.FirstService), Flow: k, Directories: [mesh.DirectoryCount]uint32{wrong}}
	e.Receive(holder.Append(nil))
	require.Equal(t, mesh.KindDeliver, kinds[len(kinds)-1])
	require.Equal(t, wrong, to[len(to)-1])
	returned(wrong, mesh.StepAll)
	require.Equal(t, mesh.KindSearch, kinds[len(kinds)-1], "the search goes on")
	search()
	count := len(kinds)
	e.Receive(holder.Append(nil))
	require.Len(t, kinds, count, "the same answer")
}

// Guards against answers that name agents whose hosts have gone, and against a flow that an agent has taken and that another entry
// claims for another one.
func TestRecordsOfOtherEntriesCountLess(t *testing.T) {
	k := packettest.Key(1)
	var sent []mesh.Message
	e := newEntry(t, func(_ uint32, d []byte) {
		var m mesh.Message
		require.NoError(t, m.Decode(append([]byte(nil), d...)))
		sent = append(sent, m)
	})
	reportAgent(t, e, 0, host.Ready, mesh.Load{Slots: 4, Open: true})
	reportAgent(t, e, 1, host.Ready, mesh.Load{Slots: 4, Open: true})
	query := mesh.Message{Kind: mesh.KindFlowQuery, Origin: packettest.Address(2), Flow: k}
	e.Receive(query.Append(nil))
	require.Empty(t, sent, "no record")
	taken := mesh.Message{Kind: mesh.KindTaken, Origin: packettest.Address(100), Service: mesh.ServiceTag(packettest.FirstService), Flow: k}
	e.Receive(taken.Append(nil))
	e.Receive(query.Append(nil))
	require.Len(t, sent, 1)
	require.Equal(t, mesh.KindFlowHolder, sent[0].Kind)
	require.Equal(t, packettest.Address(100), sent[0].Directories[0])
	require.Equal(t, mesh.ServiceTag(packettest.FirstService), sent[0].Service)
	holder := sent[0]
	holder.Directories[0] = packettest.Address(101)
	e.Receive(holder.Append(nil))
	e.FromCaller(packettest.Request(k, 7, 100))
	require.Equal(t, mesh.KindDeliver, sent[len(sent)-1].Kind)
	body, err := mesh.EncodeReport(mesh.AgentReport{IP: packettest.Address(100), Incarnation: 1, Version: 2, Service: packettest.FirstService, HostState: host.Gone})
	require.NoError(t, err)
	gone := mesh.Message{Kind: mesh.KindAgentReport, Origin: packettest.Address(100), Body: body}
	e.Receive(gone.Append(nil))
	count := len(sent)
	e.Receive(query.Append(nil))
	require.Len(t, sent, count, "the host is gone")
}

// Guards against processes of former and of this version that don't read each other's reports while machines are replaced one
// after the other, and against kinds of messages that a process doesn't know and that have an effect.
func TestReportsOfOtherVersions(t *testing.T) {
	type formerReport struct {
		IP          uint32              `cbor:"1,keyasint"`
		Incarnation int64               `cbor:"2,keyasint"`
		Zone        string              `cbor:"3,keyasint"`
		Rotation    mesh.RotationStatus `cbor:"14,keyasint,omitempty"`
	}
	now := mesh.EntryReport{
		IP: 2, Incarnation: 1, Zone: "a", Rotation: mesh.RotationStatus{Version: 3}, Moved: []mesh.MovedRoute{{IP: 1, Port: 443, Service: 7, AgeMs: 5}},
		MovedServices: []string{"rota"}, RecordedVersion: 9,
	}
	encoded, err := mesh.EncodeReport(now)
	require.NoError(t, err)
	var former formerReport
	require.NoError(t, cbor.Unmarshal(encoded, &former))
	require.Equal(t, formerReport{2, 1, "a", mesh.RotationStatus{Version: 3}}, former)
	encoded, err = cbor.Marshal(former)
	require.NoError(t, err)
	decoded, err := mesh.DecodeReport[mesh.EntryReport](encoded)
	require.NoError(t, err)
	now.Moved, now.MovedServices, now.RecordedVersion = nil, nil, 0
	require.Equal(t, now, decoded)

	e := newEntry(t, func(uint32, []byte) { t.Error("an answer to a kind that isn't known") })
	later := mesh.Message{Kind: mesh.KindFlowHolder + 1, Origin: packettest.Address(2), Flow: packettest.Key(1)}
	e.Receive(later.Append(nil))
	require.Zero(t, e.Flows())
}

// reportOf returns the report that an entry sends.
func reportOf(t *testing.T, e *packettest.Entry) mesh.EntryReport {
	t.Helper()
	message, err := e.ReportMessage(time.Second, time.Second)
	require.NoError(t, err)
	require.Less(t, len(message), mesh.MaxBytes(1200), "a report has to fit into a datagram")
	var m mesh.Message
	require.NoError(t, m.Decode(message))
	report, err := mesh.DecodeReport[mesh.EntryReport](m.Body)
	require.NoError(t, err)
	return report
}

// Guards against an entry that starts after a route has moved and doesn't learn of it from the reports of others, and against
// changes that are passed on for longer than flows last.
func TestMovedRoutesAreReported(t *testing.T) {
	at := packettest.Key(0).Service
	f, _ := newFleet(2, 2)
	f.Run(time.Second)
	f.ChangeRoutes(routing.Route{Endpoint: at, Shares: []routing.Share{{Service: packettest.SecondService, Weight: 1}}})
	for range 3 {
		f.Run(5 * time.Second)
		for _, e := range f.Entries {
			f.StartEntry(e)
			f.Run(2 * time.Second)
			moved := reportOf(t, e).Moved
			require.Len(t, moved, 1)
			assert.Equal(t, at, flow.Endpoint{IP: moved[0].IP, Port: moved[0].Port})
			assert.Equal(t, mesh.ServiceTag(packettest.FirstService), moved[0].Service)
		}
	}
	f.Run(40 * time.Second)
	for _, e := range f.Entries {
		require.Empty(t, reportOf(t, e).Moved)
	}
}

// Guards against reports that don't fit into a datagram after a change of many routes, and against changes that are never named.
func TestReportAfterManyRoutesMoved(t *testing.T) {
	routes := func(service string) []routing.Route {
		all := make([]routing.Route, 100)
		for i := range all {
			all[i] = routing.Route{Endpoint: flow.Endpoint{IP: 0xc6120001, Port: uint16(8443 + i)}, Shares: []routing.Share{{Service: service, Weight: 1}}}
		}
		return all
	}
	f, _ := newFleet(2, 2)
	f.ChangeRoutes(routes(packettest.FirstService)...)
	f.ChangeRoutes(routes(packettest.SecondService)...)
	named := map[uint16]bool{}
	for range 20 {
		for _, r := range reportOf(t, f.Entries[0]).Moved {
			named[r.Port] = true
		}
	}
	require.Len(t, named, 100)
}
