package control

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// repairInterval is the interval between comparisons of digests while views agree. They take about 40 bytes
	// a second in each direction.
	repairInterval = 5 * time.Second
	// repairDifferenceInterval is the interval after a difference was found.
	repairDifferenceInterval = time.Second
	// repairGroups and repairBuckets bound the differing groups and buckets that one comparison covers. Later
	// comparisons cover others.
	repairGroups  = 4
	repairBuckets = 8
	digestBytes   = 4
	// bridgeEvery is the number of comparisons of which, on average, one goes to a dead entry or a seed, see
	// repairPartner.
	bridgeEvery = 4
)

// repair is the state of the comparison of views between entries.
type repair struct {
	nextAt time.Time
	// differenceFound reports that the last comparison found a difference.
	differenceFound bool
}

// tickRepair starts a comparison with a random entry when one is due.
func (l *entryLoop) tickRepair(now time.Time) {
	if now.Before(l.repair.nextAt) {
		return
	}
	period := repairInterval
	others := l.otherEntries()
	if l.repair.differenceFound || len(others) == 0 {
		period = repairDifferenceInterval
	}
	l.repair.differenceFound = false
	l.repair.nextAt = now.Add(time.Duration(float64(period) * (0.75 + 0.5*l.cfg.Rand.Float64())))
	if to, ok := l.repairPartner(others); ok {
		digests := member.AppendDigests(nil, l.cfg.Members.GroupDigests())
		l.gossipLimiter.AllowN(now, l.link.send(KindGroupDigests, GroupDigests{Digests: digests}, to))
	}
}

// repairPartner returns a random live entry or, occasionally, a dead one or a seed: after a partition each side
// considers the other dead, and no other message would cross the former partition.
func (l *entryLoop) repairPartner(others []member.Record) (netip.AddrPort, bool) {
	if len(others) > 0 && l.cfg.Rand.IntN(bridgeEvery) > 0 {
		return others[l.cfg.Rand.IntN(len(others))].Control, true
	}
	addrs := l.cfg.Seeds()
	for _, e := range l.cfg.Members.Entries() {
		if e.State == member.StateDead {
			addrs = append(addrs, e.Control)
		}
	}
	if len(addrs) == 0 {
		return netip.AddrPort{}, false
	}
	addr := addrs[l.cfg.Rand.IntN(len(addrs))]
	return addr, addr != l.cfg.Self().Control
}

func (l *entryLoop) handleRepair(d datagram, now time.Time) error {
	switch d.kind {
	case KindGroupDigests:
		return decodeAndHandle(d, func(m GroupDigests) { l.compareGroups(d.from, m, now) })
	case KindBucketDigests:
		return decodeAndHandle(d, func(m BucketDigests) { l.compareBuckets(d.from, m, now) })
	case KindSummaries:
		return decodeAndHandle(d, func(m Summaries) { l.compareSummaries(d.from, m) })
	default:
		return decodeAndHandle(d, func(m RecordRequest) { l.handleRecordRequest(d.from, m) })
	}
}

// hasRoom reports whether the cap leaves room for a datagram that is not urgent.
func (l *entryLoop) hasRoom(now time.Time) bool {
	return l.gossipLimiter.TokensAt(now) >= minRoundBytes+urgentReserve
}

func (l *entryLoop) compareGroups(from netip.AddrPort, m GroupDigests, now time.Time) {
	own := member.AppendDigests(nil, l.cfg.Members.GroupDigests())
	for _, g := range differingDigests(l.cfg.Rand, own, m.Digests, repairGroups) {
		l.repair.differenceFound = true
		if l.hasRoom(now) {
			digests := member.AppendDigests(nil, l.cfg.Members.BucketDigests(g))
			l.gossipLimiter.AllowN(now, l.link.send(KindBucketDigests, BucketDigests{Group: uint8(g), Digests: digests}, from))
		}
	}
}

func (l *entryLoop) compareBuckets(from netip.AddrPort, m BucketDigests, now time.Time) {
	if int(m.Group) >= member.DigestGroups {
		return
	}
	own := member.AppendDigests(nil, l.cfg.Members.BucketDigests(int(m.Group)))
	for _, i := range differingDigests(l.cfg.Rand, own, m.Digests, repairBuckets) {
		l.repair.differenceFound = true
		if l.hasRoom(now) {
			bucket := int(m.Group)*member.DigestBuckets/member.DigestGroups + i
			message := Summaries{Scope: int16(bucket), Summaries: summariesOf(l.cfg.Members.InBucket(bucket))}
			l.gossipLimiter.AllowN(now, l.link.send(KindSummaries, message, from))
		}
	}
}

// differingDigests returns the indexes of at most n random digests that differ, or none if the lengths differ.
func differingDigests(r *rand.Rand, own, other []byte, n int) []int {
	if len(own) != len(other) {
		return nil
	}
	var out []int
	for at := 0; at < len(own); at += digestBytes {
		if !bytes.Equal(own[at:at+digestBytes], other[at:at+digestBytes]) {
			out = append(out, at/digestBytes)
		}
	}
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// maxSummaries is the number of summaries that fit in a datagram.
const maxSummaries = (maxBody - envelopeSize) / summarySize

func summariesOf(records []member.Record) []wireSummary {
	out := make([]wireSummary, 0, len(records))
	for i := range records[:min(len(records), maxSummaries)] {
		out = append(out, toWireSummary(records[i].Summary()))
	}
	return out
}

// compareSummaries sends the records that are newer here and requests those that are newer on the other side.
func (l *entryLoop) compareSummaries(from netip.AddrPort, m Summaries) {
	var own []member.Record
	switch {
	case m.Scope >= 0 && m.Scope < member.DigestBuckets:
		own = l.cfg.Members.InBucket(int(m.Scope))
	case m.Scope == agentScope:
		agent, ok := l.cfg.Members.Get(member.IDOf(member.RoleAgent, from))
		if !ok {
			return
		}
		own = l.cfg.Members.AgentsOfService(agent.Service)
		own = append(own, member.Observers(agent.ID, l.liveEntries(), entriesPerAgent)...)
	}
	other := fromWireSummaries(m.Summaries)
	diff := compareView(l.cfg.Members, own, other)
	l.refuteIfSuperseded(nil, other)
	_, other = withoutSelf(l.cfg.Self().ID, nil, other)
	l.mergeEnded(other, l.cfg.Now())
	l.sendRepair(from, diff.records, diff.ended)
	if len(diff.toRequest) > 0 {
		l.gossipLimiter.AllowN(l.cfg.Now(), l.link.send(KindRecordRequest, RecordRequest{IDs: diff.toRequest}, from))
	}
}

// viewDifference is the difference between two views of one scope.
type viewDifference struct {
	// records and ended are newer in this view or missing in the other one, and have to be sent. toRequest lists
	// the records that are newer in the other view.
	records   []member.Record
	ended     []member.Summary
	toRequest []member.ID
}

// compareView compares this view's records of a scope, in own, with the summaries of another view.
func compareView(view *member.View, own []member.Record, other []member.Summary) viewDifference {
	var diff viewDifference
	listed := make(map[member.ID]bool, len(other))
	for _, s := range other {
		listed[s.ID] = true
		last, superseded := view.Superseding(s)
		switch {
		case superseded && last.Alive():
			if r, ok := view.Get(s.ID); ok {
				diff.records = append(diff.records, r)
			}
		case superseded:
			diff.ended = append(diff.ended, last)
		case s.Alive() && s.Newer(last):
			diff.toRequest = append(diff.toRequest, s.ID)
		}
	}
	for _, r := range own {
		if !listed[r.ID] && r.Alive() {
			diff.records = append(diff.records, r)
		}
	}
	return diff
}

func (l *entryLoop) handleRecordRequest(from netip.AddrPort, m RecordRequest) {
	l.sendRepair(from, recordsOf(l.cfg.Members, m.IDs), nil)
}

func recordsOf(view *member.View, ids []member.ID) []member.Record {
	var out []member.Record
	for _, id := range ids {
		if r, ok := view.Get(id); ok {
			out = append(out, r)
		}
	}
	return out
}

// sendRepair sends records and summaries in as many datagrams as the cap allows.
func (l *entryLoop) sendRepair(to netip.AddrPort, records []member.Record, ended []member.Summary) {
	now := l.cfg.Now()
	for _, m := range packRecords(records, ended) {
		if !l.hasRoom(now) {
			return
		}
		l.gossipLimiter.AllowN(now, l.link.send(KindRecords, m, to))
	}
}

// packRecords splits records and summaries into messages that fit in a datagram each.
func packRecords(records []member.Record, ended []member.Summary) []Records {
	var out []Records
	room := 0
	next := func(size int) *Records {
		if size > room {
			out = append(out, Records{Repair: true})
			room = maxBody - envelopeSize
		}
		room -= size
		return &out[len(out)-1]
	}
	for i := range records {
		wire := toWire(records[i])
		m := next(sizeOf(wire))
		m.Records = append(m.Records, wire)
	}
	for _, s := range ended {
		m := next(summarySize)
		m.Ended = append(m.Ended, toWireSummary(s))
	}
	return out
}
