package node

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"endiveflow.example/endiveflow/member"
)

// incarnationRandomBits is the number of random low bits of an incarnation.
const incarnationRandomBits = 20

// NewIncarnation returns an incarnation for a process that starts now. It is higher than lastIncarnation, the
// highest known incarnation of the same member, so that a new process doesn't appear older after its clock was
// set back.
func NewIncarnation(now time.Time, lastIncarnation member.Incarnation) member.Incarnation {
	random := rand.Uint64N(1 << incarnationRandomBits)
	inc := member.Incarnation(uint64(now.UnixMilli())<<incarnationRandomBits | random)
	if inc <= lastIncarnation {
		inc = lastIncarnation + 1 + member.Incarnation(random)
	}
	return inc
}

// Self is the process's own membership record. Only the process itself changes it. Other members can declare
// it dead, which Refute corrects. It is safe for concurrent use.
type Self struct {
	members *member.View
	log     *slog.Logger

	mu sync.Mutex
	// record is guarded by mu; its version never decreases.
	record member.Record
	// changed and superseded have a buffer of one.
	changed    chan struct{}
	superseded chan member.Incarnation
}

// NewSelf returns the process's own record, and adds it to the view of members.
func NewSelf(record member.Record, members *member.View, log *slog.Logger) *Self {
	record.ID = member.IDOf(record.Role, record.Control)
	s := &Self{
		members:    members,
		log:        log,
		record:     record,
		changed:    make(chan struct{}, 1),
		superseded: make(chan member.Incarnation, 1),
	}
	members.Merge([]member.Record{record})
	return s
}

// Record returns the current record.
func (s *Self) Record() member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// Changed receives a value after each change of the record.
func (s *Self) Changed() <-chan struct{} { return s.changed }

// Superseded receives the incarnation of a newer process at the same address, or of an earlier one whose clock
// was ahead. This process must then end.
func (s *Self) Superseded() <-chan member.Incarnation { return s.superseded }

// Update replaces the record by the result of change. An equal record is not published.
func (s *Self) Update(change func(member.Record) member.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := change(s.record)
	if next == s.record {
		return
	}
	s.publish(next)
}

// SetState changes the state and increments the version, so that even a drained member can become ready again.
func (s *Self) SetState(state member.State) {
	s.Update(func(r member.Record) member.Record {
		if r.State == state {
			return r
		}
		return r.WithState(state)
	})
}

// Refute handles a summary of this member, received from others. If its incarnation is newer, or its version is the last one of the
// process's incarnation, this process is superseded. If it has the process's own incarnation and isn't older than the own record, the process corrects
// it by publishing the own record with a higher version.
func (s *Self) Refute(summary member.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case summary.Incarnation > s.record.Incarnation, summary.Incarnation == s.record.Incarnation && summary.Version == math.MaxUint32:
		// No version follows the last one, but another incarnation does.
		select {
		case s.superseded <- summary.Incarnation:
			s.log.Error("a newer incarnation of this process is known", "own", s.record.Incarnation, "newer", summary.Incarnation)
		default:
		}
	case summary.Incarnation == s.record.Incarnation && summary.Version >= s.record.Version:
		next := s.record
		next.Version = summary.Version + 1
		s.log.Info("refuted report that this process has ended", "state", summary.State, "version", summary.Version)
		s.publish(next)
	}
}

// publish replaces the record and announces the change. s.mu must be held.
func (s *Self) publish(next member.Record) {
	s.record = next
	s.members.Merge([]member.Record{next})
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
