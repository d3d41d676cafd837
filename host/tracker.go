package host

import "sync"

// Outcome says what a Tracker did with a report.
type Outcome uint8

// Outcomes of a report.
const (
	// Updated is a newer report of the known incarnation.
	Updated Outcome = iota + 1
	// Replaced is a report of another, newer incarnation.
	Replaced
	// Outdated is a late report, which changes nothing.
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

// Tracker keeps the newest report of the host at one address. It is safe for
// concurrent use; the zero value knows no host.
type Tracker struct {
	mu sync.Mutex
	// current is guarded by mu. Its incarnation never goes back to an older one,
	// its sequence never decreases within an incarnation, and Gone is final for one.
	current Report
	known   bool
}

// Current returns the newest report, and false before the first.
func (t *Tracker) Current() (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, t.known
}

// Take takes a report in.
func (t *Tracker) Take(r Report) Outcome {
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
	case t.succeeds(r):
		t.current = r
		return Replaced
	}
	return Outdated
}

// succeeds says whether r is of a newer incarnation than the current one. Two
// that claim the same start are told apart by the end of the first.
func (t *Tracker) succeeds(r Report) bool {
	if r.Born == t.current.Born {
		return t.current.State == Gone || r.Born == 0
	}
	return r.Born > t.current.Born
}

// Leave marks the incarnation with an ID as gone. It is false when the ID is
// not the current one.
func (t *Tracker) Leave(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || t.current.ID != id {
		return false
	}
	t.current.State = Gone
	return true
}
