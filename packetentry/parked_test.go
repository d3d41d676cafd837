package packetentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetentry"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/routing"

	"io"
)

// clockedEntry is an entry on a time of its own, whose datagrams to other processes are collected.
type clockedEntry struct {
	*packetentry.Entry
	now    time.Duration
	offers []mesh.Message
	// delivered holds the agents that packets of open flows were sent to.
	delivered []uint32
	// toSelf holds the datagrams that the entry sent to itself.
	toSelf [][]byte
}

func newClockedEntry(t *testing.T, agents int) *clockedEntry {
	t.Helper()
	var routes routing.Holder
	routes.StoreIfNewer(routing.NewTable(1, 0, []routing.Route{{
		Endpoint: packettest.Key(0).Service, Shares: []routing.Share{{Service: packettest.FirstService, Weight: 1}},
	}}))
	c := new(clockedEntry)
	c.Entry = packetentry.New(packetentry.Config{
		IP: packettest.Address(1), Zone: "a", Now: func() time.Duration { return c.now }, Routes: &routes,
		ToCaller: func(flow.Endpoint, []byte) {}, NewerConfig: func(uint32) {}, PeerDiscovered: func(uint32) {},
		ScheduleTick: func(time.Duration) {}, Log: eventlog.New(eventlog.Config{Out: io.Discard}),
		ToMember: func(ip uint32, d []byte) {
			var m mesh.Message
			require.NoError(t, m.Decode(append([]byte(nil), d...)))
			switch m.Kind {
			case mesh.KindOffer:
				c.offers = append(c.offers, m)
			case mesh.KindDeliver:
				c.delivered = append(c.delivered, ip)
			}
			if ip == packettest.Address(1) {
				c.toSelf = append(c.toSelf, append([]byte(nil), d...))
			}
		},
	})
	for n := range agents {
		reportAgent(t, c.Entry, n, host.Ready, mesh.Load{Slots: 2, Open: true})
	}
	return c
}

// run advances the time and ticks the entry each millisecond.
func (c *clockedEntry) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += time.Millisecond {
		c.Tick()
		toSelf := c.toSelf
		c.toSelf = nil
		for _, d := range toSelf {
			c.Receive(d)
		}
	}
}

// notice sends the entry a notice of an agent about the flow of the last offer.
func (c *clockedEntry) notice(k mesh.Kind, agent uint32) {
	m := mesh.Message{Kind: k, Origin: agent, Flow: packettest.Key(1), ConfigVersion: 1}
	c.Receive(m.Append(nil))
}

// Guards against an entry that ends with an index out of range, and against more offers than intended: the timers of
// earlier offers went on offering a flow that waited after a refusal, and its wait ended with one more offer.
func TestParkedFlowIsNotOfferedByEarlierTimers(t *testing.T) {
	c := newClockedEntry(t, 6)
	c.FromCaller(packettest.Open(packettest.Key(1), 0))
	require.Len(t, c.offers, 1)
	// The entry has just started, so that it relies on no refusal and parks the flow.
	for range 4 {
		c.notice(mesh.KindRefused, c.offers[len(c.offers)-1].Candidates[0])
		before := len(c.offers)
		c.run(90 * time.Millisecond)
		require.Len(t, c.offers, before, "a refused flow is offered again after a pause")
		c.run(30 * time.Millisecond)
	}
	c.run(time.Second)
}

// Guards against a flow that is offered twice at once: the search for it had ended and it was offered, and then the timer
// of the search offered it again.
func TestSearchedFlowIsOfferedOnce(t *testing.T) {
	c := newClockedEntry(t, 6)
	packet := packettest.Open(packettest.Key(1), 1)
	c.FromCaller(packet)
	for step := range uint8(mesh.DirectoryCount) {
		m := mesh.Message{Kind: mesh.KindMissing, Origin: packettest.Address(100 + int(step)), Flow: packettest.Key(1), Step: step, Body: packet, ConfigVersion: 1}
		c.Receive(m.Append(nil))
	}
	require.Len(t, c.offers, 1)
	c.run(packetentry.DefaultSearchTimeout + 5*time.Millisecond)
	require.Len(t, c.offers, 1)
}

// Guards against a flow that waits after a refusal although an earlier offer of it was taken late: it was offered again
// without its opening packet, and its packets went to an agent that had never heard of it.
func TestParkedFlowThatIsTakenWaitsNoLonger(t *testing.T) {
	c := newClockedEntry(t, 6)
	c.FromCaller(packettest.Open(packettest.Key(1), 0))
	first := c.offers[0].Candidates[0]
	c.run(packetentry.DefaultOfferTimeout + 5*time.Millisecond)
	require.Len(t, c.offers, 2)
	c.notice(mesh.KindRefused, c.offers[1].Candidates[0])
	c.notice(mesh.KindTaken, first)
	c.run(300 * time.Millisecond)
	require.Len(t, c.offers, 2)
	c.FromCaller(packettest.Request(packettest.Key(1), 7, 10))
	require.Equal(t, []uint32{first}, c.delivered)
}
