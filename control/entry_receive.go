package control

import (
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/member"
)

// receive handles one authentic message.
func (l *entryLoop) receive(d datagram) {
	now := l.cfg.Now()
	fresh := l.fresh.fresh(d)
	if fresh {
		l.decide(l.detector.RecordMessage(now))
	}
	if err := l.handle(d, fresh, now); err != nil {
		dropped("malformed")
	}
}

func (l *entryLoop) handle(d datagram, fresh bool, now time.Time) error {
	switch d.kind {
	case KindBeat:
		return with(d, func(b Beat) { l.beat(d.from, b, fresh, now) })
	case KindAnswer:
		return with(d, func(a Answer) {
			if fresh {
				l.beats.answered(d.from, a, now)
			}
		})
	case KindRecords:
		return with(d, func(r Records) { l.records(d.from, r, now) })
	case KindProbe:
		l.beats.send(d.from)
		return nil
	case KindAsk:
		return with(d, func(a Ask) { l.asked(d.from, a.Brief.brief(), now) })
	case KindOpinion:
		return with(d, func(o OpinionOf) {
			observer, known := l.memberAt(d.from)
			if fresh && known {
				l.decide(l.detector.RecordOpinion(o.Brief.brief(), observer.ID, o.Opinion, now))
			}
		})
	case KindBriefs, KindWant, KindGroups, KindBuckets:
		return l.handleRepair(d, now)
	default:
		return l.handleConfig(d, now)
	}
}

// with decodes the body of a message and handles it.
func with[T any](d datagram, handle func(T)) error {
	body, err := decode[T](d)
	if err == nil {
		handle(body)
	}
	return err
}

// beat notes a heartbeat and answers it.
func (l *entryLoop) beat(from netip.AddrPort, b Beat, fresh bool, now time.Time) {
	answer := Answer{Interval: uint16(min(l.interval()/(100*time.Millisecond), 0xffff))}
	brief, known := l.memberAt(from)
	switch {
	case !known || brief.Digest() != b.Brief:
		answer.Flags |= flagRecord
	case fresh:
		l.heard(brief.ID, now)
		l.cfg.Members.SetConfigDigest(brief.ID, b.Config)
	}
	r, held := l.cfg.Members.Get(brief.ID)
	agent := held && r.Alive() && r.Role == member.RoleAgent
	if agent && l.agentView(r) != b.View {
		answer.Flags |= flagView
	}
	l.link.send(KindAnswer, answer, from)
	switch {
	case agent:
		l.sendObjects(r, b.Config, now)
	case held && r.Alive():
		l.compareConfig(from, b.Config, now)
	}
}

func (l *entryLoop) heard(id member.ID, now time.Time) {
	l.decide(l.detector.RecordHeartbeat(id, l.interval(), now))
	if l.borrowed[id] {
		delete(l.borrowed, id)
		l.detector.Unwatch(id)
	}
}

// agentView is the digest of what an agent should hold.
func (l *entryLoop) agentView(r member.Record) uint32 {
	entries := member.Observers(r.ID, l.liveEntries(), handOut)
	return uint32(member.DigestOf(l.cfg.Members.OfService(r.Service)) ^ member.DigestOf(entries))
}

// records takes over records from gossip, from a repair or from the member itself.
func (l *entryLoop) records(from netip.AddrPort, m Records, now time.Time) {
	records, invalid := fromWire(m.Records)
	if invalid > 0 {
		dropped("record")
	}
	ended := append(fromWireBriefs(m.Ended), l.deaths.find(l.cfg.Members, m.Deaths, now)...)
	l.checkSelf(records, ended)
	records, ended = withoutSelf(l.cfg.Self().ID, records, ended)
	changed := l.cfg.Members.Merge(records)
	changedEnded := l.mergeEnded(ended, now)
	if !m.Repair {
		l.spread(changed)
		l.spreadEnded(changedEnded)
		l.gossip.returned(records, ended)
	}
	l.pushToAgents(changed)
	l.refuse(from, records)
	for i := range records {
		if records[i].Control == from {
			l.recordFromItself(records[i], len(changed) > 0, now)
		}
	}
	l.flushGossip(now)
}

// mergeEnded takes over the ends of members. One that this entry hears is told
// at once, so that it refutes its death without waiting for its next heartbeat.
func (l *entryLoop) mergeEnded(ended []member.Brief, now time.Time) []member.Brief {
	changed := l.cfg.Members.MergeEnded(ended)
	for _, b := range changed {
		r, ok := l.cfg.Members.Get(b.ID)
		if ok && b.State == member.StateDead && l.detector.Opinion(b.ID, now) == member.OpinionAlive {
			l.capped(KindRecords, Records{Ended: []wireBrief{toWireBrief(b)}}, r.Control)
		}
	}
	return changed
}

// refuse tells the sender of live records which of them have ended.
func (l *entryLoop) refuse(from netip.AddrPort, records []member.Record) {
	var ended []member.Brief
	for i := range records {
		b := records[i].Brief()
		if refusal, refused := l.cfg.Members.Superseding(b); refused && b.Alive() && !refusal.Alive() {
			ended = append(ended, refusal)
		}
	}
	l.sendRepair(from, nil, ended)
}

// recordFromItself answers a member that sent its own record: with the brief
// that refuses it, or with entries when it is an entry that just joined.
func (l *entryLoop) recordFromItself(r member.Record, changed bool, now time.Time) {
	if refusal, refused := l.cfg.Members.Superseding(r.Brief()); refused {
		if refusal.Alive() {
			l.sendRefusal(refusal, r.Control)
		}
		return
	}
	if !changed {
		return
	}
	l.heard(r.ID, now)
	if r.Role == member.RoleEntry && r.Alive() {
		l.greet(r.Control)
	}
}

// sendRefusal tells a member which brief keeps its record out.
func (l *entryLoop) sendRefusal(refusal member.Brief, to netip.AddrPort) {
	if !refusal.Alive() {
		l.link.send(KindRecords, Records{Ended: []wireBrief{toWireBrief(refusal)}}, to)
		return
	}
	if r, ok := l.cfg.Members.Get(refusal.ID); ok {
		l.link.send(KindRecords, Records{Records: []wireRecord{toWire(r)}}, to)
	}
}

// greet sends an entry that joined this entry's record and a few others.
func (l *entryLoop) greet(to netip.AddrPort) {
	greeting := Records{Records: []wireRecord{toWire(l.cfg.Self())}}
	live := l.liveEntries()
	for range min(len(live), handOut) {
		greeting.Records = append(greeting.Records, toWire(live[l.cfg.Rand.IntN(len(live))]))
	}
	l.link.send(KindRecords, greeting, to)
}

func (l *entryLoop) checkSelf(records []member.Record, ended []member.Brief) {
	if b, found := newerSelf(l.cfg.Self().Brief(), records, ended); found && b != l.refuted {
		l.refuted = b
		l.cfg.Trail.Record(audit.Event{Action: "refute", Target: "this entry", Reason: refuteReason(b)})
		l.cfg.Refute(b)
	}
}

// asked answers another entry's question. A member that this entry does not
// observe is probed and watched until it answers or is missed here too.
func (l *entryLoop) asked(from netip.AddrPort, b member.Brief, now time.Time) {
	current, known := l.cfg.Members.Brief(b.ID)
	if known && current.Newer(b) {
		l.sendRefusal(current, from)
		return
	}
	r, held := l.cfg.Members.Get(b.ID)
	if !held || current != b || r.ID == l.cfg.Self().ID {
		return
	}
	if !l.detector.Watching(b.ID) {
		l.borrowed[b.ID] = true
		l.detector.Watch(r, now)
	}
	opinion := l.detector.Opinion(b.ID, now)
	if opinion == member.OpinionNone {
		l.link.send(KindProbe, Probe{}, r.Control)
	}
	l.link.send(KindOpinion, OpinionOf{Brief: toWireBrief(b), Opinion: opinion}, from)
}
