package soak

import (
	"slices"
	"strings"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
)

const (
	// minAnsweredShare is the minimum share of requests that must be answered after the faults.
	minAnsweredShare = 0.95
	// maxElsewhereTime is how long packets of an open flow may reach other hosts only, from minElsewherePackets
	// packets on.
	maxElsewhereTime    = 2 * time.Second
	minElsewherePackets = 3
)

// openFlow is a flow whose host has the end of its handshake.
type openFlow struct {
	host *host
	// elsewhere holds the addresses of the other hosts that received packets since firstElsewhere, when the first one
	// arrived after the last packet that the flow's host received.
	elsewhere      []string
	firstElsewhere time.Time
}

func (r *run) recordOpen(h *host, key flow.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[key] = &openFlow{host: h}
}

// recordEnd records that a host closed or lost a flow.
func (r *run) recordEnd(h *host, key flow.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.open[key]; f != nil && f.host == h {
		delete(r.open, key)
	}
}

// checkLocation checks that the packets of an open flow don't only reach other hosts. Packets that arrive within
// undisturbedTime of a fault of the flow's agent or of the caller's last entry don't count, planned restarts are no
// excuse. h is the host that received a packet, h.mu is held.
func (r *run) checkLocation(h *host, key flow.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.open[key]
	switch {
	case f == nil:
		return
	case f.host == h, !f.host.agent.withoutFaultFor(undisturbedTime), !r.lastEntries[key].withoutFaultFor(undisturbedTime):
		f.elsewhere = nil
		return
	case f.elsewhere == nil:
		f.firstElsewhere = time.Now()
	}
	r.report.Elsewhere++
	f.elsewhere = append(f.elsewhere, h.ip.String())
	if d := time.Since(f.firstElsewhere); len(f.elsewhere) >= minElsewherePackets && d >= maxElsewhereTime {
		r.failLocked("for %d ms the packets of open flow %s reached other hosts (%s) and none its own (%s)",
			d.Milliseconds(), key, strings.Join(f.elsewhere, ", "), f.host.ip)
		f.elsewhere = nil
	}
}

// checkUnchanged checks that a packet at a host equals one that a caller sent.
func (r *run) checkUnchanged(packet []byte, s flow.Segment) {
	r.mu.Lock()
	_, sent := r.sentPackets[withoutMarks(packet)]
	r.mu.Unlock()
	if !sent {
		r.fail("a host received a packet of flow %s that differs from what its caller sent", s.Key)
	}
}

// checkOpened checks a flow newly opened at a host by a packet. What a configuration allows is judged by when the caller sent the packet:
// a process that was paused passes it on later. h.mu is held.
func (r *run) checkOpened(h *host, key flow.Key, packet []byte) {
	r.mu.Lock()
	r.report.Opened++
	configured, droppedAt, movedAt, sentAt := r.configured, r.routeDroppedAt, r.routeMovedAt, r.sentPackets[withoutMarks(packet)]
	r.mu.Unlock()
	if key.Service != movedRouteAddr && h.service != packettest.FirstService {
		r.fail("flow %s was opened at service %s", key, h.service)
	}
	undisturbed := h.agent.undisturbedFor(undisturbedTime)
	if !h.drainAckedAt.IsZero() && time.Since(h.drainAckedAt) > maxDrainDelay && undisturbed {
		r.fail("flow %s was opened at host %s, %s after its drain was acknowledged", key, h.ip, time.Since(h.drainAckedAt))
	}
	onRemoved := key.Service == toggledRouteAddr && !droppedAt.IsZero() && sentAt.Sub(droppedAt) > maxConfigDelay
	atFormer := key.Service == movedRouteAddr && h.service != configured.movedService && sentAt.Sub(movedAt) > maxConfigDelay
	if !onRemoved && !atFormer || !undisturbed || !r.storeAndEntriesUndisturbed() {
		return
	}
	if onRemoved {
		r.fail("flow %s was opened on a route removed %s before its packet was sent", key, sentAt.Sub(droppedAt))
	} else {
		r.fail("flow %s was opened at service %s, which its route left %s before its packet was sent", key, h.service, sentAt.Sub(movedAt))
	}
}

// storeAndEntriesUndisturbed reports whether all entries have run undisturbed and the store is reachable now.
func (r *run) storeAndEntriesUndisturbed() bool {
	for _, p := range r.entries {
		if !p.undisturbedFor(undisturbedTime) {
			return false
		}
	}
	return r.storeIsReachable()
}

// resetWindow is the distance from a caller's last acknowledgement within which the platform's callers obey a reset.
const resetWindow = 76_800

// checkReset checks that a flow that was reset isn't open at a running host, whose own reset would have ended it. ack is
// the caller's last acknowledgement, seq the number of the reset. The check includes the numbers beyond resetWindow that
// the run's callers obey as well.
func (r *run) checkReset(key flow.Key, initialSeq, ack, seq uint32) {
	distance := min(seq-ack, ack-seq)
	owner := slices.IndexFunc(r.allHosts(), func(h *host) bool { return h.owns(key, initialSeq) })
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case owner < 0 && distance <= resetWindow:
		r.report.Resets++
	case owner < 0:
	case flow.WithinWindow(ack, seq):
		r.failLocked("flow %s was reset while host %s has it, with a number %d from the caller's acknowledgement",
			key, slices.Concat(r.hosts, r.joined)[owner].ip, distance)
	default:
		r.report.DisregardedResets++
	}
}

// checkRecovery checks that requests are answered again after the faults. The first half of the time
// without faults is left out, to let outstanding work complete.
func (r *run) checkRecovery() {
	answered, total := 0, 0
	r.mu.Lock()
	from := int((r.cfg.FaultTime + r.cfg.SettleTime/2) / time.Second)
	for n, s := range r.report.Seconds {
		if n >= from {
			answered += s.Answered
			total += s.Answered + s.Failed
		}
	}
	r.mu.Unlock()
	if total == 0 || float64(answered) < minAnsweredShare*float64(total) {
		r.fail("only %d of %d requests were answered after the faults", answered, total)
	}
}
