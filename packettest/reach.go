package packettest

import (
	"fmt"
	"time"

	"endiveflow.example/endiveflow/flow"
)

// The platform's bound for packets of an open flow: a fleet must not deliver maxMisdelivered packets over reorderTime or
// longer to other hosts while none reaches the flow's own host.
const (
	maxMisdelivered = 3
	reorderTime     = 2 * time.Second
)

// openFlow is a flow that its caller has opened at a host.
type openFlow struct {
	owner *Agent
	// startedAt identifies the incarnation of the owner's host.
	startedAt int64
	// misdelivered counts the packets that reached other hosts since one reached the owner's host; the first of them
	// arrived at misdeliveredSince.
	misdelivered      int
	misdeliveredSince time.Duration
}

// checkReached checks that the packets of an open flow reach its own host. Packets that a host bounces count as well.
func (f *Fleet) checkReached(a *Agent, s flow.Segment) {
	o := f.openFlows[s.Key]
	if initialSeq, exists := a.Host.Flows[s.Key]; exists && (o == nil || o.owner != a) && s.Ack == initialSeq+1 {
		o = &openFlow{owner: a, startedAt: a.Host.StartedAt}
		f.openFlows[s.Key] = o
	}
	switch {
	case o == nil:
	case !o.owner.Host.Up || o.owner.Host.StartedAt != o.startedAt:
		delete(f.openFlows, s.Key)
	case o.owner == a:
		o.misdelivered = 0
		if s.IsFIN {
			delete(f.openFlows, s.Key)
		}
	default:
		if o.misdelivered == 0 {
			o.misdeliveredSince = f.now
		}
		o.misdelivered++
		if elapsed := f.now - o.misdeliveredSince; o.misdelivered >= maxMisdelivered && elapsed >= reorderTime {
			f.Violations = append(f.Violations, fmt.Sprintf(
				"%d packets of the open flow %s reached other hosts in %s and none its own", o.misdelivered, s.Key, elapsed))
		}
	}
}

// checkReset checks that no process but the agent of its host resets an open flow.
func (f *Fleet) checkReset(from uint32, s flow.Segment) {
	o := f.openFlows[s.Key]
	if !s.IsRST || o == nil || o.owner.IP == from || !o.owner.Host.Up || o.owner.Host.StartedAt != o.startedAt {
		return
	}
	f.Violations = append(f.Violations, fmt.Sprintf("the open flow %s was reset by %s at %s", s.Key, flow.IPText(from), f.now))
}
