package entry

import (
	"sync"
	"time"

	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
)

// agentsGrace is how long a configured entry without any agent waits for one
// before it is ready: established flows need no membership, so an entry that
// hears from no agent must still serve them.
const agentsGrace = 3 * time.Second

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
