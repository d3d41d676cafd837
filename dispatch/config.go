package dispatch

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/config"
)

// Header fields that agents exchange, in addition to those of package header. HeaderReason is also sent to
// callers.
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
	// handoverLessLoaded is handoverSlot from an agent that has a free slot itself. HeaderLoad
	// carries the sender's load, and the peer refuses the request unless its own load is less.
	handoverLessLoaded = "lighter"
)

// Defaults of a Config.
const (
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxAnswerBytes = 16 << 20
)

// Key is the decoded form of a request key.
type Key struct {
	// Home is the peer address of the home of the key: the agent that issued the key and alone may run its
	// request.
	Home netip.AddrPort
	// Incarnation is the incarnation of that agent; no other incarnation runs the request of the key.
	Incarnation uint64
	// Sequence is unique within the incarnation.
	Sequence uint64
	// Issued is the time at which the key was issued.
	Issued time.Time
}

// Identity identifies one incarnation of an agent.
type Identity struct {
	Peer        netip.AddrPort
	Incarnation uint64
}

// PeerInfo is the membership information about another agent of the service.
type PeerInfo struct {
	Addr     netip.AddrPort
	Slots    int
	Draining bool
}

// NotSentError is the error of a request of which no byte was sent. Config.Upstream and Config.Peer return
// it only when that is certain.
type NotSentError struct{ Err error }

// Error returns a message that includes the cause.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Config configures a Handler.
type Config struct {
	Self Identity
	// Slots is the initial number of slots of the local upstream; see SetSlots.
	Slots int
	// Upstream sends a request to the local upstream. It must not repeat the request and
	// must honour the request's context.
	Upstream func(*http.Request) (*http.Response, error)
	// Peer sends a request to the PeerHandler of another agent. The requirements are those of Upstream.
	Peer func(ctx context.Context, addr netip.AddrPort, r *http.Request) (*http.Response, error)
	// Peers returns the other agents of the service.
	Peers func() []PeerInfo
	// Successor returns the agent that has imported the ledger of a key's home, and whether there is one.
	// nil means that there never is one.
	Successor func(Key) (netip.AddrPort, bool)
	// Policy returns the settings in effect.
	Policy func() config.Policy
	// Service returns the service's declaration.
	Service func() config.Service
	// IssueKey returns the text form of a key, protected against tampering.
	IssueKey func(Key) string
	// ParseKey parses and verifies the text form of a key.
	ParseKey func(string) (Key, error)
	// AcceptsWork reports whether the local upstream accepts new requests, which is false while draining.
	// nil means that it always does.
	AcceptsWork func() bool
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Rand returns a random number in [0, 1); nil means Float64 of math/rand/v2.
	Rand func() float64
	// Trail is the audit trail of ejections, refusals and ledger hand-overs; nil means a new one.
	Trail *audit.Trail
	// MaxBodyBytes bounds the size of a request body in bytes; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// MaxAnswerBytes bounds the size of the answer to a request with a key in bytes; 0 means
	// DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
}
