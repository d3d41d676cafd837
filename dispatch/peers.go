package dispatch

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/outlier"
)

// refreshEvery is how long judgements and settings are used before they are read again.
const refreshEvery = 100 * time.Millisecond

// peerTable holds the latest loads and judgements of peers.
type peerTable struct {
	mu sync.Mutex
	// All below is guarded by mu.
	loads    map[netip.AddrPort]reported
	verdicts map[netip.AddrPort]outlier.Verdict
	// local is the judgement of the local upstream; allBad says that all look bad.
	local     outlier.Verdict
	allBad    bool
	refreshed time.Time
}

type reported struct {
	load admit.Load
	at   time.Time
	// held is the time of the latest question or failure that no report has followed.
	held time.Time
}

func newPeerTable() *peerTable {
	return &peerTable{
		loads:    make(map[netip.AddrPort]reported),
		verdicts: make(map[netip.AddrPort]outlier.Verdict),
		local:    outlier.Verdict{Weight: 100},
	}
}

// due says whether the judgements are to be made again, and notes that they are.
func (t *peerTable) due(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age := now.Sub(t.refreshed); age >= 0 && age < refreshEvery {
		return false
	}
	t.refreshed = now
	return true
}

// report notes the in-band load of an answer.
func (t *peerTable) report(addr netip.AddrPort, from http.Header, now time.Time) {
	text := from.Get(HeaderLoad)
	if text == "" {
		return
	}
	var l admit.Load
	if err := l.UnmarshalText([]byte(text)); err != nil {
		malformedLoads.Inc()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads[addr] = reported{load: l, at: now}
}

// forget drops the report of a peer that did not answer.
func (t *peerTable) forget(addr netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads[addr] = reported{held: now}
}

// selection describes the choice of a peer for one request.
type selection struct {
	// infos are the agents of the service; those in skip are left out.
	infos []PeerInfo
	skip  map[netip.AddrPort]bool
	class admit.Class
	now   time.Time
	// choose picks one of the rest.
	choose func([]admit.PeerLoad) admit.Choice
}

// pick picks a peer and counts the request in its load until the next report.
func (t *peerTable) pick(s selection) (netip.AddrPort, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]admit.PeerLoad, 0, len(s.infos))
	for _, p := range s.infos {
		if !s.skip[p.Addr] {
			list = append(list, t.loadOf(p))
		}
	}
	choice := s.choose(list)
	if choice.Index < 0 {
		return netip.AddrPort{}, false
	}
	addr := list[choice.Index].Addr
	r := t.loads[addr]
	t.loads[addr] = reported{load: r.load.WithRun(s.class), at: r.at, held: s.now}
	return addr, true
}

// loadOf returns what is known of a peer. The caller holds mu.
func (t *peerTable) loadOf(p PeerInfo) admit.PeerLoad {
	weight := 100
	if v, ok := t.verdicts[p.Addr]; ok {
		weight = v.Weight
	}
	r := t.loads[p.Addr]
	return admit.PeerLoad{
		Addr: p.Addr, Slots: p.Slots, Load: r.load, Reported: r.at, LastUnanswered: r.held, Weight: weight, Draining: p.Draining,
	}
}

// judged stores new verdicts, the first of which is that of the local upstream, and
// returns those that have become ejections.
func (t *peerTable) judged(verdicts []outlier.Verdict) []outlier.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ejected []outlier.Verdict
	t.allBad = true
	next := make(map[netip.AddrPort]outlier.Verdict, len(verdicts))
	for _, v := range verdicts {
		t.allBad = t.allBad && v.Unhealthy
		next[v.Target] = v
		if v.Ejected && !t.verdicts[v.Target].Ejected {
			ejected = append(ejected, v)
		}
	}
	for addr := range t.loads {
		if _, ok := next[addr]; !ok {
			delete(t.loads, addr)
		}
	}
	t.local, t.verdicts = verdicts[0], next
	return ejected
}

// avoidLocal says whether the local upstream is ejected and others are better.
func (t *peerTable) avoidLocal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.local.Ejected && !t.allBad
}
