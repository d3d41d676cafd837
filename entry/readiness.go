package entry

import (
	"context"
	"sync"
	"time"

	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
)

// agentsGrace is how long an entry that has a configuration waits for the first agent before it becomes
// ready without any. Established flows need no membership, so an entry must serve them even if it receives
// no agent records.
const agentsGrace = 3 * time.Second

// readyPollInterval is how often a starting entry checks whether it is ready.
const readyPollInterval = 100 * time.Millisecond

// readiness decides whether the fabric may send packets to the entry.
type readiness struct {
	board *node.Board
	now   func() time.Time

	mu sync.Mutex
	// configured is when the configuration was first seen; guarded by mu.
	configured time.Time
}

// reasons returns the reasons why the entry is not ready; empty means ready.
func (r *readiness) reasons() []string {
	switch {
	case r.board.Stopping.Load():
		return []string{"stopping"}
	case r.board.Config.Version() == 0:
		return []string{"no configuration: neither the store nor another entry has answered"}
	case r.waitsForAgents():
		return []string{"no agent is known yet"}
	}
	return nil
}

func (r *readiness) waitsForAgents() bool {
	for _, m := range r.board.Members.Records() {
		if m.Role == member.RoleAgent && m.Alive() {
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.configured.IsZero() {
		r.configured = r.now()
	}
	return r.now().Sub(r.configured) < agentsGrace
}

// run waits until there is no reason against readiness and then sets the entry's state to ready. Agents send
// answers only through ready entries, because an entry without configuration has no socket to send them from.
func (r *readiness) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for len(r.reasons()) > 0 {
			if node.Sleep(ctx, readyPollInterval) != nil {
				return
			}
		}
		r.board.Self.SetState(member.StateReady)
	}()
	return done
}
