package host

import (
	"sync"
	"time"

	"endiveflow.example/endiveflow/incarnation"
)

// Outcome is the effect of a report on a Tracker.
type Outcome uint8

// Outcomes of a report.
const (
	// Updated is the outcome of a newer report of the current incarnation.
	Updated Outcome = iota + 1
	// Replaced is the outcome of a report of a new incarnation.
	Replaced
	// Outdated is the outcome of a report that has no effect: it is older than the current one, its incarnation is gone, or it
	// isn't certain yet that its incarnation is the current one.
	Outdated
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Updated:
		return "updated"
	case Replaced:
		return "replaced"
	case Outdated:
		return "outdated"
	}
	return "none"
}

// TrackerConfig configures a Tracker.
type TrackerConfig struct {
	// HeartbeatInterval is the time between the reports of a host.
	HeartbeatInterval time.Duration
}

// silentIntervals is the number of heartbeat intervals without a report after which a host is certainly late.
const silentIntervals = 2

// Tracker keeps the newest report of the host at one address. It is safe for concurrent use.
type Tracker struct {
	// mu guards the fields below.
	mu sync.Mutex
	// incarnations determines the incarnation of current.
	incarnations *incarnation.Succession
	// current is the newest report of its incarnation. Gone is the final state of an incarnation.
	current Report
	// known reports whether current is set.
	known bool
}

// NewTracker returns a Tracker without a report.
func NewTracker(cfg TrackerConfig) *Tracker {
	return &Tracker{incarnations: incarnation.NewSuccession(incarnation.Config{
		Silence: silentIntervals * cfg.HeartbeatInterval, Span: cfg.HeartbeatInterval,
	})}
}

// Current returns the newest report, and false if there is none yet.
func (t *Tracker) Current() (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, t.known
}

// FirstSequence returns the sequence number of the first report that arrived of the current incarnation.
func (t *Tracker) FirstSequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnations.FirstSequence()
}

// Update updates the tracker with a report that arrived at a time, which never decreases between calls.
func (t *Tracker) Update(r Report, at time.Duration) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && r.SameIncarnation(t.current) && t.current.State == Gone && r.Sequence > t.current.Sequence {
		return Outdated
	}
	switch t.incarnations.Observe(r.identity(), r.Sequence, at) {
	case incarnation.Replaced:
		t.current, t.known = r, true
		return Replaced
	case incarnation.Updated:
		t.current = r
		return Updated
	case incarnation.Outdated:
	}
	return Outdated
}

// InEffect reports whether what a report says of the host's state is in effect: the host at the address takes new flows only if
// the report allows it.
func (t *Tracker) InEffect(r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.State == Ready || t.known && r.SameIncarnation(t.current) && t.current.State != Ready
}

// MarkDown records that the current incarnation has certainly ended, so that the next report of another one replaces it.
func (t *Tracker) MarkDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnations.MarkEnded()
}

// MarkGone marks the incarnation with an ID as gone. It returns false if the ID is not that of the current
// incarnation, or if that one isn't draining: hosts drain before they announce their shutdown, so the announcement is
// that of a former incarnation with the same ID.
func (t *Tracker) MarkGone(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || t.current.ID != id || t.current.State != Draining && t.current.State != Gone {
		return false
	}
	t.current.State = Gone
	t.incarnations.MarkEnded()
	return true
}

// MayReplace reports whether a host with an ID has sent reports and may prove to be the current incarnation.
func (t *Tracker) MayReplace(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidate, found := t.incarnations.CandidateID()
	return found && candidate == id
}
