package packetentry

import (
	"time"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/routing"
)

// Defaults of Config.
const (
	// DefaultOfferTimeout is how long the agent that has an offer may stay silent at least
	// before the entry takes it for away. An agent answers within a round trip
	// between availability zones and its processor's delay.
	DefaultOfferTimeout = 30 * time.Millisecond
	// offerTimeoutFactor is how many times the usual delay of answers an agent
	// may take, which holds where the entry itself is slow; maxOfferTimeout bounds it.
	offerTimeoutFactor = 4
	maxOfferTimeout    = 150 * time.Millisecond
	// DefaultSearchTimeout is how long a copy of an opening packet waits for an agent that knows
	// the flow before it is offered as new.
	DefaultSearchTimeout = 10 * time.Millisecond
	// maxOffers is the number of times that an opening packet is offered.
	maxOffers = 3
)

// Config configures an Entry.
type Config struct {
	// IP is the address of the VM, Zone its availability zone.
	IP   uint32
	Zone string
	// Incarnation is the start of the process in Unix milliseconds.
	Incarnation int64
	// OfferTimeout and SearchTimeout: see the defaults, which 0 means.
	OfferTimeout, SearchTimeout time.Duration
	// Now returns a time that never goes back.
	Now func() time.Duration
	// Routes is the configuration in force.
	Routes *routing.Holder
	// ToCaller and ToMember send a datagram and keep no part of it.
	ToCaller func(caller flow.Endpoint, packet []byte)
	ToMember func(ip uint32, datagram []byte)
	// NewerConfig is called when another process has a newer configuration.
	NewerConfig func(from uint32)
	// Met is called when a process is heard from for the first time, so that it
	// gets a report at once.
	Met func(ip uint32)
	// Waiting is called when something starts to wait for Tick.
	Waiting func(time.Duration)
	// Log receives decisions.
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
	return c
}
