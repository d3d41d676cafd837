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
	"golang.org/x/time/rate"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
)

// Defaults of the byte caps.
const (
	// DefaultGossipBytes makes an entry send a quarter of the budget of 2 KB/s as gossip and, on average,
	// receive another quarter. Heartbeats have the other half.
	DefaultGossipBytes = 500
	// DefaultConfigBytes lets an entry send a 500-byte change to the 22 agents that it watches at the target
	// size within 6 s, well below the limit of 20 s.
	DefaultConfigBytes = 2000
	// gossipBurst is the time over which the gossip cap is averaged. Reporting the loss of a zone of 5,000 hosts
	// takes 34 KB, and random gossip sends every report several times. With the accumulated budget this does not
	// take minutes.
	gossipBurst = 5 * time.Minute
	// configBurst is the time over which the configuration cap is averaged.
	configBurst = 4 * time.Second
)

// EntryConfig configures the control traffic of an entry.
type EntryConfig struct {
	// Socket is bound to Self().Control. The entry reads from it until the context ends; the owner closes it.
	Socket net.PacketConn
	Ring   *fleetkey.Ring
	// Self returns the entry's current record, with its ID set.
	Self func() member.Record
	// Changed receives a value when Self returns a new record, which is then pushed at once. It is never closed.
	Changed <-chan struct{}
	// Refute is called when other members hold a summary of this member that is newer than Self. The owner must
	// raise its version above that of the summary and signal Changed. A summary of a higher incarnation means that
	// the clock went back since an earlier run; the owner must then start a new incarnation above it.
	Refute func(member.Summary)
	// Members is the entry's view, including its own record.
	Members *member.View
	// Seeds returns control addresses of entries, which are used while no other entry is known.
	Seeds func() []netip.AddrPort
	// ConfigDigest returns the digest of the applied configuration. Two entries with the same objects have the
	// same digest and the same encoded objects.
	ConfigDigest func() uint64
	// ConfigObjects returns all applied objects in encoded form.
	ConfigObjects func() [][]byte
	// ApplyConfig applies an encoded object if it is newer than the applied version.
	ApplyConfig func([]byte) error
	// ConfigChanged delivers each encoded object that was applied from the store, so that it is gossiped at
	// once. It may be nil.
	ConfigChanged <-chan []byte
	// ObjectsFor returns the encoded objects that agents of a service need, in the same order for the same
	// digest, and the digest that an agent reports when it has applied them. It is called for each heartbeat of
	// an agent, about 7 times a second at the target size.
	ObjectsFor func(config.ServiceTag) (digest uint64, encoded [][]byte)
	// Client reaches other processes' StateHandler for objects that do not fit in a datagram. If it is nil, such
	// objects are received only by the entries that watch the store.
	Client *http.Client
	// MaxSuspect is member.DetectorConfig.MaxSuspect.
	MaxSuspect func(config.ServiceTag) float64
	// Retention is how long ended records are kept; 0 means member.DefaultRetention.
	Retention time.Duration
	// GossipBytes and ConfigBytes cap the bytes sent per second, including IP and UDP headers, for gossip and
	// comparisons between entries and for configuration to agents. 0 means the default.
	GossipBytes, ConfigBytes int
	Trail                    *audit.Trail
	// Now returns the current time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// Rand is used only by the loop; nil means a randomly seeded source.
	Rand *rand.Rand
}

// complete validates the configuration and sets defaults. Errors are of kind errors.NotValid.
func (c *EntryConfig) complete() error {
	if c.Socket == nil || c.Ring == nil || c.Self == nil || c.Members == nil || c.Trail == nil {
		return errors.NotValidf("entry control without socket, key ring, own record, view or audit trail")
	}
	if c.ConfigDigest == nil || c.ConfigObjects == nil || c.ApplyConfig == nil || c.ObjectsFor == nil {
		return errors.NotValidf("entry control without configuration functions")
	}
	c.Retention = orDefault(c.Retention, member.DefaultRetention)
	c.GossipBytes = orDefault(c.GossipBytes, DefaultGossipBytes)
	c.ConfigBytes = orDefault(c.ConfigBytes, DefaultConfigBytes)
	setDefaults(&c.Refute, &c.Seeds, &c.Now, &c.Rand)
	return nil
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// setDefaults sets the optional fields that AgentConfig and EntryConfig share.
func setDefaults(refute *func(member.Summary), seeds *func() []netip.AddrPort, now *func() time.Time, random **rand.Rand) {
	if *refute == nil {
		*refute = func(member.Summary) {}
	}
	if *seeds == nil {
		*seeds = func() []netip.AddrPort { return nil }
	}
	if *now == nil {
		*now = time.Now
	}
	if *random == nil {
		*random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// newByteLimiter returns a limiter of bytes per second that accumulates unused tokens for the time burst.
func newByteLimiter(perSecond int, burst time.Duration) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(int(float64(perSecond)*burst.Seconds()), 2*maxDatagram))
}

// Entry handles the control traffic of one entry.
type Entry struct {
	cfg          EntryConfig
	link         *link
	largeObjects *objectCache
}

// NewEntry returns an Entry, or an error of kind errors.NotValid.
func NewEntry(cfg EntryConfig) (*Entry, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	link, err := newLink(cfg.Socket, cfg.Ring, cfg.Self)
	if err != nil {
		return nil, fmt.Errorf("making control link of entry: %w", err)
	}
	return &Entry{cfg: cfg, link: link, largeObjects: newObjectCache()}, nil
}

// Run sends and receives until ctx ends. The returned channel delivers one error, which is nil after a regular
// end, and is then closed.
func (e *Entry) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		done <- newEntryLoop(e).run(ctx)
	}()
	return done
}
