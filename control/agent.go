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
	// Socket is bound to Self().Control. The agent reads from it until the context ends; the owner closes it.
	Socket net.PacketConn
	Ring   *fleetkey.Ring
	// Self returns the agent's current record, with its ID set.
	Self func() member.Record
	// Changed receives a value when Self returns a new record, which is then pushed at once. It is never closed.
	Changed <-chan struct{}
	// Refute has the meaning of EntryConfig.Refute.
	Refute func(member.Summary)
	// Members holds the agent's own record, the agents of its service and a few entries.
	Members *member.View
	// Seeds returns control addresses of entries, which are used while no known entry answers.
	Seeds func() []netip.AddrPort
	// ConfigDigest returns the digest of the applied objects, as defined by EntryConfig.ObjectsFor.
	ConfigDigest func() uint64
	// ApplyConfig applies an encoded object if it is newer than the applied one.
	ApplyConfig func([]byte) error
	// Client reaches the entries' StateHandler for objects that do not fit in a datagram; it may be nil.
	Client *http.Client
	// Retention is how long ended records are kept; 0 means member.DefaultRetention.
	Retention time.Duration
	Trail     *audit.Trail
	// Now returns the current time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// Rand is used only by the loop; nil means a randomly seeded source.
	Rand *rand.Rand
}

// complete validates the configuration and sets defaults. Errors are of kind errors.NotValid.
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

// Agent handles the control traffic of one agent.
type Agent struct {
	cfg  AgentConfig
	link *link
}

// NewAgent returns an Agent, or an error of kind errors.NotValid.
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

// Run sends and receives until ctx ends. The returned channel delivers one error, which is nil after a regular
// end, and is then closed.
func (a *Agent) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		done <- newAgentLoop(a).run(ctx)
	}()
	return done
}
