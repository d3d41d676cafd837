package dispatch

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/outlier"
)

// refreshInterval is the time for which the verdicts on upstreams and the settings are used before they are
// renewed.
const refreshInterval = 100 * time.Millisecond

// peerTable holds the latest load reports of the peers and the verdicts on all upstreams.
type peerTable struct {
	// mu guards the fields below.
	mu       sync.Mutex
	loads    map[netip.AddrPort]loadReport
	verdicts map[netip.AddrPort]outlier.Verdict
	// local is the verdict on the local upstream; allUnhealthy is set when all upstreams are unhealthy.
	local        outlier.Verdict
	allUnhealthy bool
	// refreshedAt is the time of the latest refresh.
	refreshedAt time.Time
}

// loadReport is the latest load report of a peer.
type loadReport struct {
	load admit.Load
	// receivedAt is the time of the report, zero when there is none.
	receivedAt time.Time
	// lastUnanswered is the time of the latest request to the peer that no report has followed yet.
	lastUnanswered time.Time
}

func newPeerTable() *peerTable {
	return &peerTable{
		loads:    make(map[netip.AddrPort]loadReport),
		verdicts: make(map[netip.AddrPort]outlier.Verdict),
		local:    outlier.Verdict{Weight: 100},
	}
}

// due reports whether a refresh is due and, if so, sets refreshedAt.
func (t *peerTable) due(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age := now.Sub(t.refreshedAt); age >= 0 && age < refreshInterval {
		return false
	}
	t.refreshedAt = now
	return true
}

// recordLoad stores the load report in the headers of a peer's answer.
func (t *peerTable) recordLoad(addr netip.AddrPort, from http.Header, now time.Time) {
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
	t.loads[addr] = loadReport{load: l, receivedAt: now}
}

// dropLoad drops the load report of a peer that did not answer.
func (t *peerTable) dropLoad(addr netip.AddrPort, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads[addr] = loadReport{lastUnanswered: now}
}

// selection holds the arguments of pick.
type selection struct {
	// infos are the agents of the service; those in skip are excluded.
	infos []PeerInfo
	skip  map[netip.AddrPort]bool
	class admit.Class
	now   time.Time
	// choose chooses one of the remaining agents.
	choose func([]admit.PeerLoad) admit.Choice
}

// pick chooses a peer and counts the request in the peer's load until its next report.
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
	t.loads[addr] = loadReport{load: r.load.WithRun(s.class), receivedAt: r.receivedAt, lastUnanswered: s.now}
	return addr, true
}

// loadOf returns the load and weight of a peer. The caller holds mu.
func (t *peerTable) loadOf(p PeerInfo) admit.PeerLoad {
	weight := 100
	if v, ok := t.verdicts[p.Addr]; ok {
		weight = v.Weight
	}
	r := t.loads[p.Addr]
	return admit.PeerLoad{
		Addr: p.Addr, Slots: p.Slots, Load: r.load, ReportedAt: r.receivedAt, LastUnanswered: r.lastUnanswered,
		Weight: weight, Draining: p.Draining,
	}
}

// setVerdicts stores new verdicts, the first of which is that on the local upstream, and returns those by
// which an upstream has been ejected since the previous ones.
func (t *peerTable) setVerdicts(verdicts []outlier.Verdict) []outlier.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ejected []outlier.Verdict
	t.allUnhealthy = true
	next := make(map[netip.AddrPort]outlier.Verdict, len(verdicts))
	for _, v := range verdicts {
		t.allUnhealthy = t.allUnhealthy && v.Unhealthy
		next[v.Addr] = v
		if v.Ejected && !t.verdicts[v.Addr].Ejected {
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

// avoidLocal reports whether the local upstream is ejected while there are healthy ones.
func (t *peerTable) avoidLocal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.local.Ejected && !t.allUnhealthy
}
