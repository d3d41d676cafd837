package member

import (
	"fmt"
	"slices"
	"time"

	"endiveflow.example/endiveflow/config"
)

// Tick returns the decisions that are due. It must be called about every 100 ms.
func (d *Detector) Tick(now time.Time) []Decision {
	out := d.adjustForPause(now)
	if d.lastMessage.IsZero() {
		d.lastMessage = now
	}
	sinceMessage, longest := now.Sub(d.lastMessage), d.longestInterval()
	if !d.frozen && sinceMessage >= freezeAfterIntervals*longest {
		d.frozen = true
		reason := fmt.Sprintf("no message from any process for %s", sinceMessage.Round(time.Millisecond))
		return append(out, Decision{Kind: DecideFreeze, Reason: reason})
	}
	// If the observer itself was just cut off, its members become overdue one after the other. They must not be
	// suspected before detection is frozen.
	if d.frozen || sinceMessage >= longest {
		return out
	}
	for _, id := range d.overdueMembers(now) {
		out = d.check(out, id, d.watches[id], now)
	}
	return out
}

// overdueMembers returns the members that have missed enough heartbeats to be probed, in ascending order.
func (d *Detector) overdueMembers(now time.Time) []ID {
	var out []ID
	for id, w := range d.watches {
		if !w.dead && d.overdue(w, probeAfterMissed, now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (d *Detector) longestInterval() time.Duration {
	longest := MinHeartbeatInterval
	for _, w := range d.watches {
		longest = max(longest, w.interval)
	}
	return longest
}

// adjustForPause moves all deadlines by the time for which the process was paused.
func (d *Detector) adjustForPause(now time.Time) []Decision {
	gap := now.Sub(d.lastTick)
	first := d.lastTick.IsZero()
	d.lastTick = now
	if first || gap < pauseThreshold {
		return nil
	}
	for _, w := range d.watches {
		w.lastHeartbeat = minTime(w.lastHeartbeat.Add(gap), now)
	}
	d.lastMessage = minTime(d.lastMessage.Add(gap), now)
	reason := fmt.Sprintf("this process was paused for %s", gap.Round(time.Millisecond))
	return []Decision{{Kind: DecideResume, Reason: reason}}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// check returns the decisions about one member that has missed heartbeats.
func (d *Detector) check(out []Decision, id ID, w *watch, now time.Time) []Decision {
	sinceHeartbeat := now.Sub(w.lastHeartbeat).Round(time.Millisecond)
	if now.Sub(w.probedAt) >= MinHeartbeatInterval {
		w.probedAt = now
		reason := fmt.Sprintf("no heartbeat for %s", sinceHeartbeat)
		out = append(out, Decision{Kind: DecideProbe, ID: id, Summary: w.summary, Reason: reason})
	}
	if !d.overdue(w, d.cfg.MissedHeartbeats, now) {
		return out
	}
	out = d.markSuspect(out, id, w, sinceHeartbeat)
	if now.Sub(w.askedAt) >= MinHeartbeatInterval {
		w.askedAt = now
		w.attempts++
		reason := fmt.Sprintf("no heartbeat for %s", sinceHeartbeat)
		out = append(out, Decision{Kind: DecideAskObservers, ID: id, Summary: w.summary, Attempt: w.attempts, Reason: reason})
	}
	return out
}

func (d *Detector) markSuspect(out []Decision, id ID, w *watch, sinceHeartbeat time.Duration) []Decision {
	if w.suspect {
		return out
	}
	suspects, limit := d.countSuspects(w.service), d.maxSuspects(w.service)
	if suspects < limit {
		w.suspect, w.suspectCapped = true, false
		reason := fmt.Sprintf("%d heartbeats missed, none for %s", d.cfg.MissedHeartbeats, sinceHeartbeat)
		return append(out, Decision{Kind: DecideSuspect, ID: id, Summary: w.summary, Reason: reason})
	}
	if w.suspectCapped {
		return out
	}
	w.suspectCapped = true
	reason := fmt.Sprintf("no heartbeat for %s, but %d members are already suspect (limit %d)", sinceHeartbeat, suspects, limit)
	return append(out, Decision{Kind: DecideSuspectCapped, ID: id, Summary: w.summary, Reason: reason})
}

// countSuspects returns the number of suspect members of a service. Dead members do not count: a failure
// that another observer confirmed frees its place under the limit.
func (d *Detector) countSuspects(service config.ServiceTag) int {
	n := 0
	for _, w := range d.watches {
		if w.suspect && w.service == service {
			n++
		}
	}
	return n
}

// maxSuspects returns the number of members of a service that may be suspect at once, at least 1.
func (d *Detector) maxSuspects(service config.ServiceTag) int {
	return max(1, int(d.cfg.MaxSuspect(service)*float64(d.cfg.Members(service))))
}
