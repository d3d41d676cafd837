package node

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"endiveflow.example/endiveflow/member"
)

// incarnationRandomBits is the number of random low bits of an incarnation.
const incarnationRandomBits = 20

// NewIncarnation returns an incarnation for a process that starts now. It is
// higher than floor, which is the highest incarnation known of the same
// member: a clock that went back must not make a new process look old.
func NewIncarnation(now time.Time, floor member.Incarnation) member.Incarnation {
	random := rand.Uint64N(1 << incarnationRandomBits)
	inc := member.Incarnation(uint64(now.UnixMilli())<<incarnationRandomBits | random)
	if inc <= floor {
		inc = floor + 1 + member.Incarnation(random)
	}
	return inc
}

// Self is the process's own record. Only the process itself changes it, but
// for its end by observers, which Refute answers. It is safe for concurrent use.
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

// NewSelf returns the own record, and puts it into the view of members.
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

// Superseded receives the incarnation of another process that runs, or ran
// with a later clock, at this process's address. This process must end.
func (s *Self) Superseded() <-chan member.Incarnation { return s.superseded }

// Update replaces the record by what change returns. Nothing happens when the
// record stays equal.
func (s *Self) Update(change func(member.Record) member.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := change(s.record)
	if next == s.record {
		return
	}
	s.publish(next)
}

// SetState changes the state; the version rises, so a drained member can become ready again.
func (s *Self) SetState(state member.State) {
	s.Update(func(r member.Record) member.Record {
		if r.State == state {
			return r
		}
		return r.WithState(state)
	})
}

// Refute answers a brief of this member that others hold and that is newer than the own record.
func (s *Self) Refute(b member.Brief) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case b.Incarnation > s.record.Incarnation:
		select {
		case s.superseded <- b.Incarnation:
			s.log.Error("a newer incarnation of this process is known", "own", s.record.Incarnation, "newer", b.Incarnation)
		default:
		}
	case b.Incarnation == s.record.Incarnation && b.Version >= s.record.Version:
		next := s.record
		next.Version = b.Version + 1
		s.log.Info("others took this process for ended", "state", b.State, "version", b.Version)
		s.publish(next)
	}
}

// publish must be called with mu held.
func (s *Self) publish(next member.Record) {
	s.record = next
	s.members.Merge([]member.Record{next})
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
