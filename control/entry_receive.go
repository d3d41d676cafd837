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
	fresh := l.fresh.isFresh(d)
	if fresh {
		l.applyDecisions(l.detector.RecordMessage(now))
	}
	if err := l.handle(d, fresh, now); err != nil {
		countDropped("malformed")
	}
}

func (l *entryLoop) handle(d datagram, fresh bool, now time.Time) error {
	switch d.kind {
	case KindHeartbeat:
		return decodeAndHandle(d, func(b Heartbeat) { l.handleHeartbeat(d.from, b, fresh, now) })
	case KindHeartbeatAnswer:
		return decodeAndHandle(d, func(a HeartbeatAnswer) {
			if fresh {
				l.heartbeats.handleAnswer(d.from, a, now)
			}
		})
	case KindRecords:
		return decodeAndHandle(d, func(r Records) { l.handleRecords(d.from, r, now) })
	case KindProbe:
		l.heartbeats.sendHeartbeat(d.from)
		return nil
	case KindOpinionRequest:
		return decodeAndHandle(d, func(a OpinionRequest) { l.handleOpinionRequest(d.from, a.Brief.brief(), now) })
	case KindOpinionAnswer:
		return decodeAndHandle(d, func(o OpinionAnswer) {
			observer, known := l.memberAt(d.from)
			if fresh && known {
				l.applyDecisions(l.detector.RecordOpinion(o.Brief.brief(), observer.ID, o.Opinion, now))
			}
		})
	case KindBriefs, KindRecordRequest, KindGroupDigests, KindBucketDigests:
		return l.handleRepair(d, now)
	default:
		return l.handleConfig(d, now)
	}
}

// decodeAndHandle decodes the body of a message and passes it to handle.
func decodeAndHandle[T any](d datagram, handle func(T)) error {
	body, err := decode[T](d)
	if err == nil {
		handle(body)
	}
	return err
}

// handleHeartbeat records a heartbeat and answers it.
func (l *entryLoop) handleHeartbeat(from netip.AddrPort, b Heartbeat, fresh bool, now time.Time) {
	answer := HeartbeatAnswer{Interval: uint16(min(l.interval()/(100*time.Millisecond), 0xffff))}
	brief, known := l.memberAt(from)
	switch {
	case !known || brief.Digest() != b.Brief:
		answer.Flags |= flagRecord
	case fresh:
		l.recordHeartbeat(brief.ID, now)
		l.cfg.Members.SetConfigDigest(brief.ID, b.Config)
	}
	r, found := l.cfg.Members.Get(brief.ID)
	agent := found && r.Alive() && r.Role == member.RoleAgent
	if agent && l.agentViewDigest(r) != b.View {
		answer.Flags |= flagView
	}
	l.link.send(KindHeartbeatAnswer, answer, from)
	switch {
	case agent:
		l.sendAgentConfig(r, b.Config, now)
	case found && r.Alive():
		l.compareConfig(from, b.Config, now)
	}
}

func (l *entryLoop) recordHeartbeat(id member.ID, now time.Time) {
	l.applyDecisions(l.detector.RecordHeartbeat(id, l.interval(), now))
	if l.watchedOnRequest[id] {
		delete(l.watchedOnRequest, id)
		l.detector.Unwatch(id)
	}
}

// agentViewDigest returns the digest of the records that an agent should hold.
func (l *entryLoop) agentViewDigest(r member.Record) uint32 {
	entries := member.Observers(r.ID, l.liveEntries(), entriesPerAgent)
	return uint32(member.DigestOf(l.cfg.Members.AgentsOfService(r.Service)) ^ member.DigestOf(entries))
}

// handleRecords merges records from gossip, from a comparison or from the member itself.
func (l *entryLoop) handleRecords(from netip.AddrPort, m Records, now time.Time) {
	records, invalid := fromWire(m.Records)
	if invalid > 0 {
		countDropped("record")
	}
	ended := append(fromWireBriefs(m.Ended), l.deaths.find(l.cfg.Members, m.Deaths, now)...)
	l.refuteIfSuperseded(records, ended)
	records, ended = withoutSelf(l.cfg.Self().ID, records, ended)
	changed := l.cfg.Members.Merge(records)
	changedEnded := l.mergeEnded(ended, now)
	if !m.Repair {
		l.gossipRecords(changed)
		l.gossipEnded(changedEnded)
		l.gossip.countReturned(records, ended)
	}
	l.pushToAgents(changed)
	l.sendEnded(from, records)
	for i := range records {
		if records[i].Control == from {
			l.handleOwnRecord(records[i], len(changed) > 0, now)
		}
	}
	l.flushGossip(now)
}

// mergeEnded merges the briefs of ended members. A member from which this entry receives heartbeats is notified
// at once, so that it refutes its death without waiting for its next heartbeat.
func (l *entryLoop) mergeEnded(ended []member.Brief, now time.Time) []member.Brief {
	changed := l.cfg.Members.MergeEnded(ended)
	for _, b := range changed {
		r, ok := l.cfg.Members.Get(b.ID)
		if ok && b.State == member.StateDead && l.detector.Opinion(b.ID, now) == member.OpinionAlive {
			l.sendWithinCap(KindRecords, Records{Ended: []wireBrief{toWireBrief(b)}}, r.Control)
		}
	}
	return changed
}

// sendEnded replies to the sender of live records with the briefs of those members that have ended.
func (l *entryLoop) sendEnded(from netip.AddrPort, records []member.Record) {
	var ended []member.Brief
	for i := range records {
		b := records[i].Brief()
		if superseding, superseded := l.cfg.Members.Superseding(b); superseded && b.Alive() && !superseding.Alive() {
			ended = append(ended, superseding)
		}
	}
	l.sendRepair(from, nil, ended)
}

// handleOwnRecord handles a member's own record. If the record was superseded, the member gets the newer one; an
// entry that has just joined gets a few records of entries.
func (l *entryLoop) handleOwnRecord(r member.Record, changed bool, now time.Time) {
	if superseding, superseded := l.cfg.Members.Superseding(r.Brief()); superseded {
		if superseding.Alive() {
			l.sendSuperseding(superseding, r.Control)
		}
		return
	}
	if !changed {
		return
	}
	l.recordHeartbeat(r.ID, now)
	if r.Role == member.RoleEntry && r.Alive() {
		l.sendInitialRecords(r.Control)
	}
}

// sendSuperseding sends a process the brief or record that supersedes the one it sent.
func (l *entryLoop) sendSuperseding(superseding member.Brief, to netip.AddrPort) {
	if !superseding.Alive() {
		l.link.send(KindRecords, Records{Ended: []wireBrief{toWireBrief(superseding)}}, to)
		return
	}
	if r, ok := l.cfg.Members.Get(superseding.ID); ok {
		l.link.send(KindRecords, Records{Records: []wireRecord{toWire(r)}}, to)
	}
}

// sendInitialRecords sends this entry's record and a few others to an entry that has joined.
func (l *entryLoop) sendInitialRecords(to netip.AddrPort) {
	message := Records{Records: []wireRecord{toWire(l.cfg.Self())}}
	live := l.liveEntries()
	for range min(len(live), entriesPerAgent) {
		message.Records = append(message.Records, toWire(live[l.cfg.Rand.IntN(len(live))]))
	}
	l.link.send(KindRecords, message, to)
}

func (l *entryLoop) refuteIfSuperseded(records []member.Record, ended []member.Brief) {
	if b, found := newerOwnBrief(l.cfg.Self().Brief(), records, ended); found && b != l.lastRefuted {
		l.lastRefuted = b
		l.cfg.Trail.Record(audit.Event{Action: "refute", Target: "this entry", Reason: refuteReason(b)})
		l.cfg.Refute(b)
	}
}

// handleOpinionRequest answers another entry's request for an opinion. A member that this entry does not observe
// is probed and watched until it answers or is found silent here too.
func (l *entryLoop) handleOpinionRequest(from netip.AddrPort, b member.Brief, now time.Time) {
	current, known := l.cfg.Members.Brief(b.ID)
	if known && current.Newer(b) {
		l.sendSuperseding(current, from)
		return
	}
	r, found := l.cfg.Members.Get(b.ID)
	if !found || current != b || r.ID == l.cfg.Self().ID {
		return
	}
	if !l.detector.Watching(b.ID) {
		l.watchedOnRequest[b.ID] = true
		l.detector.Watch(r, now)
	}
	opinion := l.detector.Opinion(b.ID, now)
	if opinion == member.OpinionNone {
		l.link.send(KindProbe, Probe{}, r.Control)
	}
	l.link.send(KindOpinionAnswer, OpinionAnswer{Brief: toWireBrief(b), Opinion: opinion}, from)
}
