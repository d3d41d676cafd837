package entry

import (
	"context"
	"sync"
	"time"

	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
)

// agentsGrace is how long a configured entry without any agent waits for one
// before it is ready: established flows need no membership, so an entry that
// hears from no agent must still serve them.
const agentsGrace = 3 * time.Second

// readyEvery is how often a starting entry looks whether it is ready.
const readyEvery = 100 * time.Millisecond

// readiness decides whether the fabric may send packets.
type readiness struct {
	board *node.Board
	now   func() time.Time

	mu sync.Mutex
	// configured is when the configuration was first seen; guarded by mu.
	configured time.Time
}

// reasons returns why the entry is not ready; none means ready.
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

// run announces the entry as ready once it is. Agents send answers through
// ready entries only: one without configuration has no socket to send them from.
func (r *readiness) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for len(r.reasons()) > 0 {
			if node.Sleep(ctx, readyEvery) != nil {
				return
			}
		}
		r.board.Self.SetState(member.StateReady)
	}()
	return done
}
