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
		return decodeAndHandle(d, func(h Heartbeat) { l.handleHeartbeat(d.from, h, fresh, now) })
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
		return decodeAndHandle(d, func(r OpinionRequest) { l.handleOpinionRequest(d.from, r.Summary.summary(), now) })
	case KindOpinionAnswer:
		return decodeAndHandle(d, func(o OpinionAnswer) {
			observer, known := l.memberAt(d.from)
			if fresh && known {
				l.applyDecisions(l.detector.RecordOpinion(o.Summary.summary(), observer.ID, o.Opinion, now))
			}
		})
	case KindSummaries, KindRecordRequest, KindGroupDigests, KindBucketDigests:
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
func (l *entryLoop) handleHeartbeat(from netip.AddrPort, heartbeat Heartbeat, fresh bool, now time.Time) {
	answer := HeartbeatAnswer{Interval: uint16(min(l.interval()/(100*time.Millisecond), 0xffff))}
	sender, known := l.memberAt(from)
	switch {
	case !known || sender.Digest() != heartbeat.SummaryDigest:
		answer.Flags |= flagRecord
	case fresh:
		l.recordHeartbeat(sender.ID, now)
		l.cfg.Members.SetConfigDigest(sender.ID, heartbeat.ConfigDigest)
	}
	r, found := l.cfg.Members.Get(sender.ID)
	agent := found && r.Alive() && r.Role == member.RoleAgent
	if agent && l.agentViewDigest(r) != heartbeat.ViewDigest {
		answer.Flags |= flagView
	}
	l.link.send(KindHeartbeatAnswer, answer, from)
	switch {
	case agent:
		l.sendAgentConfig(r, heartbeat.ConfigDigest, now)
	case found && r.Alive():
		l.compareConfig(from, heartbeat.ConfigDigest, now)
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
	ended := append(fromWireSummaries(m.Ended), l.deaths.find(l.cfg.Members, m.Deaths, now)...)
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

// mergeEnded merges the summaries of ended members. A member from which this entry receives heartbeats is
// notified at once, so that it refutes its death without waiting for its next heartbeat.
func (l *entryLoop) mergeEnded(ended []member.Summary, now time.Time) []member.Summary {
	changed := l.cfg.Members.MergeEnded(ended)
	for _, s := range changed {
		r, ok := l.cfg.Members.Get(s.ID)
		if ok && s.State == member.StateDead && l.detector.Opinion(s.ID, now) == member.OpinionAlive {
			l.sendWithinCap(KindRecords, Records{Ended: []wireSummary{toWireSummary(s)}}, r.Control)
		}
	}
	return changed
}

// sendEnded replies to the sender of live records with the summaries of those members that have ended.
func (l *entryLoop) sendEnded(from netip.AddrPort, records []member.Record) {
	var ended []member.Summary
	for i := range records {
		s := records[i].Summary()
		if superseding, superseded := l.cfg.Members.Superseding(s); superseded && s.Alive() && !superseding.Alive() {
			ended = append(ended, superseding)
		}
	}
	l.sendRepair(from, nil, ended)
}

// handleOwnRecord handles a member's own record. If the record was superseded, the member gets the newer one; an
// entry that has just joined gets a few records of entries.
func (l *entryLoop) handleOwnRecord(r member.Record, changed bool, now time.Time) {
	if superseding, superseded := l.cfg.Members.Superseding(r.Summary()); superseded {
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

// sendSuperseding sends a process the summary or record that supersedes the one it sent.
func (l *entryLoop) sendSuperseding(superseding member.Summary, to netip.AddrPort) {
	if !superseding.Alive() {
		l.link.send(KindRecords, Records{Ended: []wireSummary{toWireSummary(superseding)}}, to)
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

func (l *entryLoop) refuteIfSuperseded(records []member.Record, ended []member.Summary) {
	if s, found := newerOwnSummary(l.cfg.Self().Summary(), records, ended); found && s != l.lastRefuted {
		l.lastRefuted = s
		l.cfg.Trail.Record(audit.Event{Action: "refute", Target: "this entry", Reason: refuteReason(s)})
		l.cfg.Refute(s)
	}
}

// handleOpinionRequest answers another entry's request for an opinion. A member that this entry does not observe
// is probed and watched until it answers or is unresponsive to this entry as
// well.
func (l *entryLoop) handleOpinionRequest(from netip.AddrPort, s member.Summary, now time.Time) {
	current, known := l.cfg.Members.Summary(s.ID)
	if known && current.Newer(s) {
		l.sendSuperseding(current, from)
		return
	}
	r, found := l.cfg.Members.Get(s.ID)
	if !found || current != s || r.ID == l.cfg.Self().ID {
		return
	}
	if !l.detector.Watching(s.ID) {
		l.watchedOnRequest[s.ID] = true
		l.detector.Watch(r, now)
	}
	opinion := l.detector.Opinion(s.ID, now)
	if opinion == member.OpinionNone {
		l.link.send(KindProbe, Probe{}, r.Control)
	}
	l.link.send(KindOpinionAnswer, OpinionAnswer{Summary: toWireSummary(s), Opinion: opinion}, from)
}
