package incarnation

import (
	"slices"
	"time"
)

// Identity identifies an incarnation of a process.
type Identity struct {
	// ID is the name that the process gave itself, "" if it has none.
	ID string
	// StartedAt is the start time according to the clock of the process, in Unix milliseconds; 0 if unknown.
	StartedAt int64
}

// Outcome is the effect of a message on a Succession.
type Outcome uint8

// Outcomes of a message.
const (
	// Updated is the outcome of a newer message of the current incarnation.
	Updated Outcome = iota + 1
	// Replaced is the outcome of a message whose incarnation becomes the current one.
	Replaced
	// Outdated is the outcome of a message that has no effect. Its incarnation may still prove to be the current one.
	Outdated
)

// Config configures a Succession. A former incarnation whose messages are delayed must not meet both conditions: Silence is longer
// than the current one is silent while it runs, and Span longer than the time between the arrivals of delayed messages.
type Config struct {
	// Silence is the time without a message of the current incarnation after which another one may replace it, although its
	// start time is not later.
	Silence time.Duration
	// Span is the time for which the other one must have been heard.
	Span time.Duration
}

// maxFormer is the number of incarnations that are remembered as replaced although their start times aren't earlier.
const maxFormer = 4

// Succession holds the current incarnation of a process. It isn't safe for concurrent use.
type Succession struct {
	cfg     Config
	current Identity
	// known reports whether current is set.
	known bool
	// first and newest are the sequence numbers of the first and the newest message of the current incarnation.
	first, newest uint64
	// heardAt is when the newest message of the current incarnation arrived.
	heardAt time.Duration
	// ended reports whether the current incarnation is known to have ended.
	ended bool
	// former holds replaced incarnations that their start times don't show to be older, at most maxFormer.
	former []Identity
	// candidate is the incarnation that may replace the current one; nil for none.
	candidate *candidate
}

// candidate is an incarnation that was heard since the newest message of the current one.
type candidate struct {
	identity      Identity
	first, newest uint64
	firstAt       time.Duration
}

// NewSuccession returns a Succession without a current incarnation.
func NewSuccession(cfg Config) *Succession { return &Succession{cfg: cfg} }

// Current returns the current incarnation, and false if there is none yet.
func (s *Succession) Current() (Identity, bool) { return s.current, s.known }

// FirstSequence returns the sequence number of the first message that arrived of the current incarnation.
func (s *Succession) FirstSequence() uint64 { return s.first }

// CandidateID returns the ID of the incarnation that may replace the current one, and false if there is none.
func (s *Succession) CandidateID() (string, bool) {
	if s.candidate == nil {
		return "", false
	}
	return s.candidate.identity.ID, true
}

// MarkEnded records that the current incarnation has certainly ended. The next message of an unknown one replaces it.
func (s *Succession) MarkEnded() { s.ended = true }

// Observe records a message that arrived at a time, which never decreases between calls. sequence increases with each message of
// an incarnation; 0 means that its messages aren't numbered.
func (s *Succession) Observe(id Identity, sequence uint64, at time.Duration) Outcome {
	switch {
	case !s.known:
		s.replace(id, sequence, sequence, at)
		return Replaced
	case id == s.current && (sequence == 0 || sequence > s.newest):
		s.newest, s.heardAt, s.candidate, s.ended = sequence, at, nil, false
		return Updated
	case id == s.current && sequence == s.newest:
		return Outdated
	case id != s.current && s.follows(id):
		s.replace(id, sequence, sequence, at)
		return Replaced
	}
	return s.observeCandidate(id, sequence, at)
}

// follows reports whether an incarnation counts as newer than the current one without further messages.
func (s *Succession) follows(id Identity) bool {
	if slices.Contains(s.former, id) {
		return false
	}
	return s.ended || id.StartedAt > s.current.StartedAt || id.StartedAt == 0 && s.current.StartedAt == 0
}

// observeCandidate records a message of an incarnation that may be a former one. It replaces the current one if it keeps sending while
// that one is silent. A restarted process whose identity hasn't changed is a candidate as well, as its sequence numbers began anew.
func (s *Succession) observeCandidate(id Identity, sequence uint64, at time.Duration) Outcome {
	if s.candidate == nil || s.candidate.identity != id {
		s.candidate = &candidate{identity: id, first: sequence, newest: sequence, firstAt: at}
		return Outdated
	}
	if sequence != 0 && sequence <= s.candidate.newest {
		return Outdated
	}
	s.candidate.newest = sequence
	if at-s.heardAt < s.cfg.Silence || at-s.candidate.firstAt < s.cfg.Span {
		return Outdated
	}
	s.replace(id, s.candidate.first, sequence, at)
	return Replaced
}

func (s *Succession) replace(id Identity, first, newest uint64, at time.Duration) {
	if s.known && id != s.current && id.StartedAt <= s.current.StartedAt {
		s.former = append(s.former, s.current)
		s.former = s.former[max(len(s.former)-maxFormer, 0):]
	}
	s.former = slices.DeleteFunc(s.former, func(f Identity) bool { return f == id })
	s.current, s.known, s.first, s.newest, s.heardAt = id, true, first, newest, at
	s.ended, s.candidate = false, nil
}
