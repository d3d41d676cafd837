package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
)

// AgentConfig configures the control traffic of an agent.
type AgentConfig struct {
	// Socket is bound to Self().Control. The agent reads it until the context
	// ends; the owner closes it.
	Socket net.PacketConn
	Ring   *fleetkey.Ring
	// Self returns the agent's own current record, with its ID set.
	Self func() member.Record
	// Changed is signalled when Self returns another record; the record is
	// pushed at once. It is never closed.
	Changed <-chan struct{}
	// Refute is EntryConfig.Refute.
	Refute func(member.Brief)
	// Members holds the agent's own record, the agents of its service and a few entries.
	Members *member.View
	// Seeds are control addresses of entries, used while no entry answers.
	Seeds func() []netip.AddrPort
	// ConfigDigest identifies the applied objects as EntryConfig.ObjectsFor does.
	ConfigDigest func() uint64
	// ApplyConfig applies an encoded object if it is newer than the applied one.
	ApplyConfig func([]byte) error
	// Client reaches the entries' StateHandler for objects larger than a datagram; may be nil.
	Client *http.Client
	// Retention is how long ended records are kept; 0 means member.DefaultRetention.
	Retention time.Duration
	Trail     *audit.Trail
	// Now returns the time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// Rand is used by the loop alone; nil means a randomly seeded source.
	Rand *rand.Rand
}

func (c *AgentConfig) complete() error {
	if c.Socket == nil || c.Ring == nil || c.Self == nil || c.Members == nil || c.Trail == nil {
		return errors.NotValidf("agent control without socket, key ring, own record, view or audit trail")
	}
	if c.ConfigDigest == nil || c.ApplyConfig == nil {
		return errors.NotValidf("agent control without configuration functions")
	}
	c.Retention = orDefault(c.Retention, member.DefaultRetention)
	setDefaults(&c.Refute, &c.Seeds, &c.Now, &c.Rand)
	return nil
}

// Agent is the control traffic of one agent.
type Agent struct {
	cfg  AgentConfig
	link *link
}

// NewAgent returns the control traffic of an agent, or an error of kind errors.NotValid.
func NewAgent(cfg AgentConfig) (*Agent, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	link, err := newLink(cfg.Socket, cfg.Ring, cfg.Self)
	if err != nil {
		return nil, fmt.Errorf("making control link of agent: %w", err)
	}
	return &Agent{cfg: cfg, link: link}, nil
}

// Run sends and receives until ctx ends. The channel delivers one error, nil
// after an ordinary end, and is closed.
func (a *Agent) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		done <- newAgentLoop(a).run(ctx)
	}()
	return done
}
