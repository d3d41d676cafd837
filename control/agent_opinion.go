package control

import (
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// unresponsiveAfterProbes is the number of unanswered probes after which an agent considers a member
	// unresponsive. The agent sends one probe for each request of an entry, which come once a second.
	unresponsiveAfterProbes = 3
	// probedMemberTTL is how long a probed member and its answer are remembered after the last request.
	probedMemberTTL = 5 * time.Second
	// maxProbedMembers bounds the members that an agent probes at a time.
	maxProbedMembers = 256
)

// probedMembers holds the members that an agent probes at the request of an entry that has no other entry to
// ask. Without a second observer such an entry could never confirm a death.
type probedMembers map[member.ID]*probedMember

type probedMember struct {
	requestedAt time.Time
	probes      int
	answered    bool
}

// handleOpinionRequest probes the member and returns an opinion based on the outcome of earlier probes.
func (l *agentLoop) handleOpinionRequest(from netip.AddrPort, s member.Summary, now time.Time) {
	r, ok := l.cfg.Members.Get(s.ID)
	if !ok || r.Summary() != s || s.ID == l.cfg.Self().ID {
		return
	}
	m := l.probedMembers[s.ID]
	if m == nil || now.Sub(m.requestedAt) >= probedMemberTTL {
		if len(l.probedMembers) >= maxProbedMembers {
			clear(l.probedMembers)
		}
		m = &probedMember{}
		l.probedMembers[s.ID] = m
	}
	opinion := member.OpinionNone
	switch {
	case m.answered:
		opinion = member.OpinionAlive
	case m.probes >= unresponsiveAfterProbes && now.Sub(m.requestedAt) >= member.MinHeartbeatInterval/2:
		opinion = member.OpinionUnresponsive
	}
	m.requestedAt = now
	m.probes++
	l.link.send(KindProbe, Probe{}, r.Control)
	l.link.send(KindOpinionAnswer, OpinionAnswer{Summary: toWireSummary(s), Opinion: opinion}, from)
}

// handleProbeAnswer records the heartbeat with which a member answers a probe.
func (l *agentLoop) handleProbeAnswer(from netip.AddrPort) {
	for _, role := range []member.Role{member.RoleAgent, member.RoleEntry} {
		if m := l.probedMembers[member.IDOf(role, from)]; m != nil {
			m.answered, m.probes = true, 0
		}
	}
}
