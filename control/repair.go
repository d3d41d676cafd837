package control

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"time"

	"endiveflow.example/endiveflow/member"
)

const (
	// repairEvery spaces comparisons of digests while views agree: about 40
	// bytes a second each way.
	repairEvery = 5 * time.Second
	// repairSoon spaces them after a difference was found.
	repairSoon = time.Second
	// repairGroups and repairBuckets bound how much of a difference one
	// comparison follows; the next one follows others.
	repairGroups  = 4
	repairBuckets = 8
	digestBytes   = 4
	// bridgeEvery is the number of comparisons of which one goes to an entry
	// that is held dead or to a seed.
	bridgeEvery = 4
)

// repair paces the comparison of views between entries.
type repair struct {
	next time.Time
	// found says that the last comparison found a difference.
	found bool
}

// tickRepair starts a comparison with a random entry when one is due.
func (l *entryLoop) tickRepair(now time.Time) {
	if now.Before(l.repair.next) {
		return
	}
	period := repairEvery
	others := l.otherEntries()
	if l.repair.found || len(others) == 0 {
		period = repairSoon
	}
	l.repair.found = false
	l.repair.next = now.Add(time.Duration(float64(period) * (0.75 + 0.5*l.cfg.Rand.Float64())))
	if to, ok := l.repairPartner(others); ok {
		digests := member.AppendDigests(nil, l.cfg.Members.Groups())
		l.gossipCap.AllowN(now, l.link.send(KindGroups, Groups{Digests: digests}, to))
	}
}

// repairPartner returns a random live entry and, now and then, one that is
// held dead or a seed: after a partition both sides hold each other dead, and
// nobody else would speak across.
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
	case KindGroups:
		return with(d, func(m Groups) { l.compareGroups(d.from, m, now) })
	case KindBuckets:
		return with(d, func(m Buckets) { l.compareBuckets(d.from, m, now) })
	case KindBriefs:
		return with(d, func(m Briefs) { l.compareBriefs(d.from, m) })
	default:
		return with(d, func(m Want) { l.wanted(d.from, m) })
	}
}

// room says whether the cap leaves room for a datagram that is not urgent.
func (l *entryLoop) room(now time.Time) bool {
	return l.gossipCap.TokensAt(now) >= minRound+urgentReserve
}

func (l *entryLoop) compareGroups(from netip.AddrPort, m Groups, now time.Time) {
	own := member.AppendDigests(nil, l.cfg.Members.Groups())
	for _, g := range differing(l.cfg.Rand, own, m.Digests, repairGroups) {
		l.repair.found = true
		if l.room(now) {
			digests := member.AppendDigests(nil, l.cfg.Members.Buckets(g))
			l.gossipCap.AllowN(now, l.link.send(KindBuckets, Buckets{Group: uint8(g), Digests: digests}, from))
		}
	}
}

func (l *entryLoop) compareBuckets(from netip.AddrPort, m Buckets, now time.Time) {
	if int(m.Group) >= member.DigestGroups {
		return
	}
	own := member.AppendDigests(nil, l.cfg.Members.Buckets(int(m.Group)))
	for _, i := range differing(l.cfg.Rand, own, m.Digests, repairBuckets) {
		l.repair.found = true
		if l.room(now) {
			bucket := int(m.Group)*member.DigestBuckets/member.DigestGroups + i
			message := Briefs{Scope: int16(bucket), Briefs: briefsOf(l.cfg.Members.InBucket(bucket))}
			l.gossipCap.AllowN(now, l.link.send(KindBriefs, message, from))
		}
	}
}

// differing returns the places of at most n random digests that differ, none
// if the lengths do.
func differing(r *rand.Rand, own, other []byte, n int) []int {
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

// maxBriefs is the number of briefs that fit in a datagram.
const maxBriefs = (maxBody - envelopeSize) / briefSize

func briefsOf(records []member.Record) []wireBrief {
	out := make([]wireBrief, 0, len(records))
	for i := range records[:min(len(records), maxBriefs)] {
		out = append(out, toWireBrief(records[i].Brief()))
	}
	return out
}

// compareBriefs sends what is newer here and asks for what is newer there.
func (l *entryLoop) compareBriefs(from netip.AddrPort, m Briefs) {
	var mine []member.Record
	switch {
	case m.Scope >= 0 && m.Scope < member.DigestBuckets:
		mine = l.cfg.Members.InBucket(int(m.Scope))
	case m.Scope == holdings:
		agent, ok := l.cfg.Members.Get(member.IDOf(member.RoleAgent, from))
		if !ok {
			return
		}
		mine = l.cfg.Members.OfService(agent.Service)
		mine = append(mine, member.Observers(agent.ID, l.liveEntries(), handOut)...)
	}
	theirs := fromWireBriefs(m.Briefs)
	diff := compare(l.cfg.Members, mine, theirs)
	l.checkSelf(nil, theirs)
	_, theirs = withoutSelf(l.cfg.Self().ID, nil, theirs)
	l.mergeEnded(theirs, l.cfg.Now())
	l.sendRepair(from, diff.records, diff.ended)
	if len(diff.want) > 0 {
		l.gossipCap.AllowN(l.cfg.Now(), l.link.send(KindWant, Want{IDs: diff.want}, from))
	}
}

// difference is what two views of one scope lack of each other.
type difference struct {
	// records and ended are newer here, want is newer there.
	records []member.Record
	ended   []member.Brief
	want    []member.ID
}

func compare(view *member.View, mine []member.Record, theirs []member.Brief) difference {
	var diff difference
	listed := make(map[member.ID]bool, len(theirs))
	for _, b := range theirs {
		listed[b.ID] = true
		last, refused := view.Superseding(b)
		switch {
		case refused && last.Alive():
			if r, ok := view.Get(b.ID); ok {
				diff.records = append(diff.records, r)
			}
		case refused:
			diff.ended = append(diff.ended, last)
		case b.Alive() && b.Newer(last):
			diff.want = append(diff.want, b.ID)
		}
	}
	for _, r := range mine {
		if !listed[r.ID] && r.Alive() {
			diff.records = append(diff.records, r)
		}
	}
	return diff
}

func (l *entryLoop) wanted(from netip.AddrPort, m Want) {
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

// sendRepair sends records and briefs in as many datagrams as the cap allows.
func (l *entryLoop) sendRepair(to netip.AddrPort, records []member.Record, ended []member.Brief) {
	now := l.cfg.Now()
	for _, m := range pack(records, ended) {
		if !l.room(now) {
			return
		}
		l.gossipCap.AllowN(now, l.link.send(KindRecords, m, to))
	}
}

// pack splits records and briefs into messages that fit in a datagram.
func pack(records []member.Record, ended []member.Brief) []Records {
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
	for _, b := range ended {
		m := next(briefSize)
		m.Ended = append(m.Ended, toWireBrief(b))
	}
	return out
}
