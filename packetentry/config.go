package packetentry

import (
	"math/rand/v2"
	"time"

	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/routing"
)

// Defaults of Config.
const (
	// DefaultOfferTimeout is the minimum time that an agent has to answer an offer before the entry considers
	// it unresponsive. An agent answers within a round trip between availability zones plus scheduling delays of
	// its processor.
	DefaultOfferTimeout = 30 * time.Millisecond
	// offerTimeoutFactor is the time that an agent has to answer an offer, as a multiple of the mean answer
	// delay. It raises the timeout if the entry itself is slow; maxOfferTimeout limits the result.
	offerTimeoutFactor = 4
	maxOfferTimeout    = 150 * time.Millisecond
	// DefaultSearchTimeout is how long an entry searches for the flow of a retransmitted opening packet
	// before it offers the flow as a new one.
	DefaultSearchTimeout = 10 * time.Millisecond
	// maxOffers is the maximum number of offers for a flow.
	maxOffers = 3
)

// Config configures an Entry.
type Config struct {
	// IP is the address of the VM, Zone its availability zone.
	IP   uint32
	Zone string
	// Incarnation is the start time of the process in Unix milliseconds by its own clock, see mesh.EntryReport.
	Incarnation int64
	// LinkBytesPerSecond is the capacity of the VM's link, CPUShare its share of a core; 0 if unknown. If either is, the entry
	// stays in rotation.
	LinkBytesPerSecond, CPUShare float64
	// OfferTimeout and SearchTimeout default to DefaultOfferTimeout and DefaultSearchTimeout.
	OfferTimeout, SearchTimeout time.Duration
	// Now returns a monotonic time.
	Now func() time.Duration
	// Routes holds the current configuration.
	Routes *routing.Holder
	// ToCaller and ToMember send a datagram. They must not retain it.
	ToCaller func(caller flow.Endpoint, packet []byte)
	ToMember func(ip uint32, datagram []byte)
	// NewerConfig is called when the process at an address has a newer configuration.
	NewerConfig func(from uint32)
	// PeerDiscovered is called with the address of a process of which the entry had no record, so that a report
	// is sent to it immediately.
	PeerDiscovered func(ip uint32)
	// StateChanged is called with the address of each entry that has to know a changed state of this one, so that a report is
	// sent to it immediately. It may be nil.
	StateChanged func(ip uint32)
	// StoreStatus returns what the process knows of the store, for the entry's reports. StoreReported is called with
	// what another entry reports. Either may be nil.
	StoreStatus   func() mesh.StoreStatus
	StoreReported func(mesh.StoreStatus)
	// RecordedVersion returns the version of the configuration that the route record in the store covers, as far as the process knows.
	// VersionRecorded is called with what another entry reports, and the era of the store in which it holds. Either may be nil.
	RecordedVersion func() uint64
	VersionRecorded func(era, version uint64)
	// Evacuations holds the evacuated zones; nil means that none can be. EvacuationsReported is called with what another
	// process reports; it may be nil.
	Evacuations         *evacuation.Holder
	EvacuationsReported func(evacuation.State)
	// Membership returns what the store's member records say of agents. If they were read before since, it requests
	// another read. nil means that they are never known, and that no flow is reset because no host has it.
	Membership func(since time.Duration) Membership
	// JoinOrder returns the order in which agents joined, by address: the revisions of their member records. The map must not be
	// modified. nil means that the order isn't known.
	JoinOrder func() map[uint32]uint64
	// Random returns a random number; nil means the default source of randomness.
	Random func() uint64
	// ScheduleTick is called with the time until Tick must be called, when a new timer is started.
	ScheduleTick func(time.Duration)
	// Log receives the decisions.
	Log *eventlog.Log
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&c.OfferTimeout, DefaultOfferTimeout},
		{&c.SearchTimeout, DefaultSearchTimeout},
	} {
		if *d.field <= 0 {
			*d.field = d.fallback
		}
	}
	if c.Random == nil {
		c.Random = rand.Uint64
	}
	if c.StoreStatus == nil {
		c.StoreStatus = func() mesh.StoreStatus { return mesh.StoreStatus{} }
	}
	if c.StoreReported == nil {
		c.StoreReported = func(mesh.StoreStatus) {}
	}
	if c.RecordedVersion == nil {
		c.RecordedVersion = func() uint64 { return 0 }
	}
	if c.VersionRecorded == nil {
		c.VersionRecorded = func(uint64, uint64) {}
	}
	if c.JoinOrder == nil {
		c.JoinOrder = func() map[uint32]uint64 { return nil }
	}
	if c.StateChanged == nil {
		c.StateChanged = func(uint32) {}
	}
	if c.Evacuations == nil {
		c.Evacuations = new(evacuation.Holder)
	}
	if c.EvacuationsReported == nil {
		c.EvacuationsReported = func(evacuation.State) {}
	}
	return c
}
