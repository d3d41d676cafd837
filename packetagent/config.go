package packetagent

import (
	"time"

	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/placement"
)

// Defaults of Config.
const (
	// DefaultAnswerTimeout is how long a host may take to answer an opening packet before the offer goes to
	// another host; the host answers without running anything. It is also how long an open flow counts as
	// busy before its request arrives.
	DefaultAnswerTimeout = 40 * time.Millisecond
	// DefaultMaxFlowAge is the maximum age of a flow. An agent that has run for longer has a record of every
	// flow of its host.
	DefaultMaxFlowAge = time.Minute
	// DefaultHeartbeatInterval is the time between heartbeats of the host.
	DefaultHeartbeatInterval = time.Second
	// requestTimeout is how long a request without an answer counts as busy. Callers give up long before. If such
	// requests counted as busy indefinitely, the host would get no flows once they filled its slots.
	requestTimeout = 3 * time.Second
	// endedRetention is how long an ended flow is kept for retransmitted packets.
	endedRetention = 3 * time.Second
	// searchTTL is how long an agent records that its host bounced a flow, once it gives its host no packets of unknown flows
	// anymore.
	searchTTL = 5 * time.Second
	// startSkew is the maximum time between the starts of a VM's host and agent when the VM starts. They start within 0.3 s of
	// each other. A host that has run for longer before its agent may have flows of an earlier agent process.
	startSkew = 500 * time.Millisecond
	// maxUnansweredOpenings is the number of consecutive unanswered opening packets from which a host counts as
	// unresponsive. It then gets no new flows until its next heartbeat.
	maxUnansweredOpenings = 2
)

// Config configures an Agent.
type Config struct {
	// IP is the address of the VM.
	IP uint32
	// Service is the service of the host, Host the address at which it receives packets.
	Service string
	Host    flow.Endpoint
	// Zone is the availability zone.
	Zone string
	// CallerPort is the port at which callers receive packets.
	CallerPort uint16
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation int64
	// Load tracks the host's load and decides on offers; nil means one with default settings.
	Load *placement.Host
	// AnswerTimeout, MaxFlowAge and HeartbeatInterval default to DefaultAnswerTimeout, DefaultMaxFlowAge and
	// DefaultHeartbeatInterval.
	AnswerTimeout, MaxFlowAge, HeartbeatInterval time.Duration
	// IdleTimeout returns how long a flow without packets is kept, according to the current configuration.
	IdleTimeout func() time.Duration
	// Now returns a monotonic time; its origin is arbitrary but before the start of the agent.
	Now func() time.Duration
	// UnixMilli returns the wall-clock time, to compare with the start times that hosts report; nil means the
	// system clock.
	UnixMilli func() int64
	// ToHost, ToCaller and ToMember send a datagram. They must not retain it.
	ToHost   func(packet []byte)
	ToCaller func(caller flow.Endpoint, packet []byte)
	ToMember func(ip uint32, datagram []byte)
	// Evacuations returns the evacuated zones, for the agent's reports; nil means none.
	Evacuations func() evacuation.State
	// ConfigVersion returns the version of this process's configuration.
	ConfigVersion func() uint64
	// NewerConfig is called when the process at an address has a newer configuration.
	NewerConfig func(from uint32)
	// ScheduleTick is called with the time until Tick must be called, when a new timer is started.
	ScheduleTick func(time.Duration)
	// ReportChanged is called after a change that must be reported to entries immediately.
	ReportChanged func()
	// Log receives the decisions.
	Log *eventlog.Log
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&c.AnswerTimeout, DefaultAnswerTimeout},
		{&c.MaxFlowAge, DefaultMaxFlowAge},
		{&c.HeartbeatInterval, DefaultHeartbeatInterval},
	} {
		if *d.field <= 0 {
			*d.field = d.fallback
		}
	}
	if c.UnixMilli == nil {
		c.UnixMilli = func() int64 { return time.Now().UnixMilli() }
	}
	if c.Evacuations == nil {
		c.Evacuations = func() evacuation.State { return evacuation.State{} }
	}
	if c.Load == nil {
		c.Load = placement.NewHost(placement.HostConfig{Started: c.Now()})
	}
	return c
}
