package dispatch

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/config"
)

// Header fields between agents, besides those of package header. HeaderReason goes to callers too.
const (
	HeaderLoad     = "Endiveflow-Load"
	HeaderReason   = "Endiveflow-Reason"
	HeaderHandover = "Endiveflow-Handover"
	HeaderClass    = "Endiveflow-Class"
)

// Values of HeaderHandover.
const (
	handoverSlot  = "slot"
	handoverQueue = "queue"
	handoverHome  = "home"
	// handoverLighter is handoverSlot for an agent with a free slot of its own; HeaderLoad
	// carries its load, and the peer refuses unless its own load is less.
	handoverLighter = "lighter"
)

// Defaults of a Config.
const (
	DefaultMaxBody   = 1 << 20
	DefaultMaxAnswer = 16 << 20
)

// Key is the content of a request key.
type Key struct {
	// Home is the peer address of the agent that issued the key.
	Home netip.AddrPort
	// Incarnation is the incarnation of that agent; no other one runs the key's request.
	Incarnation uint64
	// Sequence is unique within the incarnation.
	Sequence uint64
	Issued   time.Time
}

// Self identifies this agent.
type Self struct {
	Peer        netip.AddrPort
	Incarnation uint64
}

// PeerInfo is what the membership says of another agent of the service.
type PeerInfo struct {
	Addr     netip.AddrPort
	Slots    int
	Draining bool
}

// NotSentError says that no byte of a request was sent. Upstream and Peer return it only
// when that is certain.
type NotSentError struct{ Err error }

// Error returns the text of the cause.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Config configures a Handler.
type Config struct {
	Self Self
	// Slots is the number of slots of the local upstream at the start; see SetSlots.
	Slots int
	// Upstream sends a request to the local upstream. It must not repeat the request and
	// must honour the request's context.
	Upstream func(*http.Request) (*http.Response, error)
	// Peer sends a request to the PeerHandler of another agent, with the same duties as Upstream.
	Peer func(ctx context.Context, addr netip.AddrPort, r *http.Request) (*http.Response, error)
	// Peers returns the other agents of the service.
	Peers func() []PeerInfo
	// Successor returns the agent that holds the ledger of a key's home after a
	// hand-over; nil means that none is known.
	Successor func(Key) (netip.AddrPort, bool)
	// Policy returns the settings in effect.
	Policy func() config.Policy
	// Service returns the service's declaration.
	Service func() config.Service
	// IssueKey returns the text of a key, protected against change.
	IssueKey func(Key) string
	// ParseKey reads a key and verifies it.
	ParseKey func(string) (Key, error)
	// AcceptsWork says whether the local upstream takes new work; false while draining. nil means true.
	AcceptsWork func() bool
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Rand returns a number from 0 to 1, 1 excluded; nil means math/rand/v2.
	Rand func() float64
	// Trail receives ejections, refusals and hand-overs; nil means a trail of its own.
	Trail *audit.Trail
	// MaxBody bounds a request body in bytes; 0 means DefaultMaxBody.
	MaxBody int64
	// MaxAnswer bounds the answer to a request with a key in bytes; 0 means DefaultMaxAnswer.
	MaxAnswer int64
}
