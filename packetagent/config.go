package packetagent

import (
	"time"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/placement"
)

// Defaults of Config.
const (
	// DefaultAnswerTimeout is how long a host may take to answer an opening
	// packet, which it does without running anything, before the packet goes to another host. It is
	// also how long a flow counts as busy before its request arrives.
	DefaultAnswerTimeout = 40 * time.Millisecond
	// DefaultMaxFlowAge is the age of the oldest flow that a host may have.
	DefaultMaxFlowAge = time.Minute
	// requestLimit is how long a request without an answer counts as busy. Callers have
	// left long before, and a slot that is counted for ever would stop the host.
	requestLimit = 3 * time.Second
	// endedLinger is how long an ended flow is kept for packets that are sent again.
	endedLinger = 3 * time.Second
	// searchMemory is how long an agent remembers that its host bounced a flow.
	searchMemory = 5 * time.Second
	// silentLimit is the number of opening packets in a row without an answer after which a host
	// takes no new flows until it is heard from.
	silentLimit = 2
)

// Config configures an Agent.
type Config struct {
	// IP is the address of the VM.
	IP uint32
	// Service is the service of the host, Host the address where it receives packets.
	Service string
	Host    flow.Endpoint
	// Zone is the availability zone.
	Zone string
	// CallerPort is the port that callers receive packets at.
	CallerPort uint16
	// Incarnation is the start of the process in Unix milliseconds.
	Incarnation int64
	// Load decides on offers; nil means one with default settings.
	Load *placement.Host
	// AnswerTimeout and MaxFlowAge: see the defaults, which 0 means.
	AnswerTimeout, MaxFlowAge time.Duration
	// IdleTimeout returns how long a flow without packets is kept, as the configuration has it now.
	IdleTimeout func() time.Duration
	// Now returns a time that never goes back, since any moment before the start.
	Now func() time.Duration
	// UnixMilli returns the time of day, by which hosts tell their start; nil means the clock's.
	UnixMilli func() int64
	// ToHost, ToCaller and ToMember send a datagram and keep no part of it.
	ToHost   func(packet []byte)
	ToCaller func(caller flow.Endpoint, packet []byte)
	ToMember func(ip uint32, datagram []byte)
	// ConfigVersion returns the version of the configuration that this process has.
	ConfigVersion func() uint64
	// NewerConfig is called when another process has a newer configuration.
	NewerConfig func(from uint32)
	// Waiting is called when something starts to wait for Tick.
	Waiting func(time.Duration)
	// Changed is called after a change that entries must learn at once.
	Changed func()
	// Log receives decisions.
	Log *eventlog.Log
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&c.AnswerTimeout, DefaultAnswerTimeout},
		{&c.MaxFlowAge, DefaultMaxFlowAge},
	} {
		if *d.field <= 0 {
			*d.field = d.fallback
		}
	}
	if c.UnixMilli == nil {
		c.UnixMilli = func() int64 { return time.Now().UnixMilli() }
	}
	if c.Load == nil {
		c.Load = placement.NewHost(placement.HostConfig{})
	}
	return c
}
