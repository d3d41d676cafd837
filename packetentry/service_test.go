package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/routing"
)

// Guards against requests that are run by hosts of another service, as the names of both have the same tag.
func TestServicesWithEqualTagsAreKeptApart(t *testing.T) {
	const wanted, other = "kuwa46a", "bawu92b"
	require.Equal(t, mesh.ServiceTag(wanted), mesh.ServiceTag(other))
	f := packettest.NewFleet(1)
	f.Routes[0].Shares = []routing.Share{{Service: wanted, Weight: 1}}
	f.AddEntry(packettest.Address(1))
	f.AddEntry(packettest.Address(2))
	for i := range 4 {
		f.AddAgent(packettest.Address(100+i), wanted)
		f.AddAgent(packettest.Address(200+i), other)
	}
	f.Run(time.Second)
	callers := packettest.NewCallers(f)
	for i := range 40 {
		c := callers.Start(f, packettest.Key(i), through(f.Entries[0]))
		f.Run(100 * time.Millisecond)
		requireAnswered(t, f, c, 1)
		c.NextEntry = through(f.Entries[1])
		c.Request()
		f.Run(100 * time.Millisecond)
		requireAnswered(t, f, c, 2)
	}
	f.RestartProcesses()
	f.Run(time.Second)
	for _, a := range f.Agents {
		if a.Host.Service == other {
			require.Zero(t, a.Host.Opened+a.Host.Misdelivered)
		}
	}
}

// Guards against changes of routes of a service whose tag another one has, which entries of earlier versions report without its name,
// and that lead packets to the hosts of the other one.
func TestMovedRouteWithAmbiguousTag(t *testing.T) {
	const former, other = "kuwa46a", "bawu92b"
	at := packettest.Key(0).Service
	f, _ := newFleet(1, 1)
	f.AddAgent(packettest.Address(150), former)
	f.Run(time.Second)
	report := mesh.EntryReport{IP: packettest.Address(9), Incarnation: 1, Zone: "a", Moved: []mesh.MovedRoute{{IP: at.IP, Port: at.Port, Service: mesh.ServiceTag(former), AgeMs: 5}}}
	receive := func(e *packettest.Entry) {
		body, err := mesh.EncodeReport(report)
		require.NoError(t, err)
		m := mesh.Message{Kind: mesh.KindEntryReport, Origin: report.IP, Body: body}
		e.Receive(m.Append(nil))
	}
	t.Run("one service has the tag", func(t *testing.T) {
		receive(f.Entries[0])
		require.Equal(t, []string{former}, reportOf(t, f.Entries[0]).MovedServices)
	})
	f.StartEntry(f.Entries[0])
	f.AddAgent(packettest.Address(151), other)
	f.Run(time.Second)
	t.Run("two services have the tag", func(t *testing.T) {
		receive(f.Entries[0])
		require.Empty(t, reportOf(t, f.Entries[0]).MovedServices)
	})
	t.Run("with the name", func(t *testing.T) {
		report.MovedServices = []string{other}
		receive(f.Entries[0])
		require.Equal(t, []string{other}, reportOf(t, f.Entries[0]).MovedServices)
	})
}
