package control

import (
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// questionProbes is the number of unanswered probes after which an agent
	// calls a member silent. Probes follow the entry's questions, one a second.
	questionProbes = 3
	// questionFor is how long an agent remembers a question or a sign of life.
	questionFor = 5 * time.Second
	// maxQuestions bounds the members that an agent is asked about at a time.
	maxQuestions = 256
)

// questions are the members that an entry without another entry asks an agent
// about: without a second observer no death would ever be confirmed.
type questions map[member.ID]*question

type question struct {
	asked  time.Time
	probes int
	heard  bool
}

// asked probes the member and answers by what the earlier probes brought.
func (l *agentLoop) asked(from netip.AddrPort, b member.Brief, now time.Time) {
	r, ok := l.cfg.Members.Get(b.ID)
	if !ok || r.Brief() != b || b.ID == l.cfg.Self().ID {
		return
	}
	q := l.questions[b.ID]
	if q == nil || now.Sub(q.asked) >= questionFor {
		if len(l.questions) >= maxQuestions {
			clear(l.questions)
		}
		q = &question{}
		l.questions[b.ID] = q
	}
	opinion := member.OpinionNone
	switch {
	case q.heard:
		opinion = member.OpinionAlive
	case q.probes >= questionProbes && now.Sub(q.asked) >= member.MinHeartbeatInterval/2:
		opinion = member.OpinionSilent
	}
	q.asked = now
	q.probes++
	l.link.send(KindProbe, Probe{}, r.Control)
	l.link.send(KindOpinion, OpinionOf{Brief: toWireBrief(b), Opinion: opinion}, from)
}

// heard notes the heartbeat with which a member answers a probe.
func (l *agentLoop) heard(from netip.AddrPort) {
	for _, role := range []member.Role{member.RoleAgent, member.RoleEntry} {
		if q := l.questions[member.IDOf(role, from)]; q != nil {
			q.heard, q.probes = true, 0
		}
	}
}
