package host

import "sync"

// Outcome is the effect of a report on a Tracker.
type Outcome uint8

// Outcomes of a report.
const (
	// Updated is the outcome of a newer report of the current incarnation.
	Updated Outcome = iota + 1
	// Replaced is the outcome of a report of a new incarnation.
	Replaced
	// Outdated is the outcome of a report that has no effect: it is older than the current one, or its
	// incarnation is gone.
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

// Tracker keeps the newest report of the host at one address. It is safe for concurrent use; the zero value
// has no report.
type Tracker struct {
	// mu guards the fields below.
	mu sync.Mutex
	// current is the newest report. Its incarnation is never replaced by an older one, its sequence number never
	// decreases within an incarnation, and Gone is the final state of an incarnation.
	current Report
	// known reports whether current is set.
	known bool
}

// Current returns the newest report, and false if there is none yet.
func (t *Tracker) Current() (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, t.known
}

// Update updates the tracker with a report.
func (t *Tracker) Update(r Report) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.known:
		t.current, t.known = r, true
		return Replaced
	case r.SameIncarnation(t.current):
		if t.current.State == Gone || r.Sequence <= t.current.Sequence {
			return Outdated
		}
		t.current = r
		return Updated
	case t.supersedes(r):
		t.current = r
		return Replaced
	}
	return Outdated
}

// supersedes reports whether r is of a newer incarnation than the current report. If both have the same start
// time, the current incarnation must be gone or the start time unknown.
func (t *Tracker) supersedes(r Report) bool {
	if r.StartedAt == t.current.StartedAt {
		return t.current.State == Gone || r.StartedAt == 0
	}
	return r.StartedAt > t.current.StartedAt
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
	return true
}
