package member

import (
	"fmt"
	"slices"
	"time"

	"endiveflow.example/endiveflow/config"
)

// Tick returns the decisions that are due. It is called about every 100 ms.
func (d *Detector) Tick(now time.Time) []Decision {
	out := d.resume(now)
	if d.lastAny.IsZero() {
		d.lastAny = now
	}
	quiet, longest := now.Sub(d.lastAny), d.longestInterval()
	if !d.frozen && quiet >= freezeAfterBeats*longest {
		d.frozen = true
		reason := fmt.Sprintf("no message from anybody for %s", quiet.Round(time.Millisecond))
		return append(out, Decision{Kind: DecideFreeze, Reason: reason})
	}
	// Right after the observer itself is cut off, members fall due one by one.
	if d.frozen || quiet >= longest {
		return out
	}
	for _, id := range d.late(now) {
		out = d.check(out, id, d.watches[id], now)
	}
	return out
}

// late returns the members that have missed heartbeats, in ascending order.
func (d *Detector) late(now time.Time) []ID {
	var out []ID
	for id, w := range d.watches {
		if !w.dead && d.overdue(w, probeAfterBeats, now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (d *Detector) longestInterval() time.Duration {
	longest := MinBeatInterval
	for _, w := range d.watches {
		longest = max(longest, w.interval)
	}
	return longest
}

// resume moves all deadlines by the time that the process did not run.
func (d *Detector) resume(now time.Time) []Decision {
	gap := now.Sub(d.lastTick)
	first := d.lastTick.IsZero()
	d.lastTick = now
	if first || gap < pauseAfter {
		return nil
	}
	for _, w := range d.watches {
		w.heard = minTime(w.heard.Add(gap), now)
	}
	d.lastAny = minTime(d.lastAny.Add(gap), now)
	reason := fmt.Sprintf("this process did not run for %s", gap.Round(time.Millisecond))
	return []Decision{{Kind: DecideResume, Reason: reason}}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// check decides about one member that has missed heartbeats.
func (d *Detector) check(out []Decision, id ID, w *watch, now time.Time) []Decision {
	silence := now.Sub(w.heard).Round(time.Millisecond)
	if now.Sub(w.probed) >= MinBeatInterval {
		w.probed = now
		reason := fmt.Sprintf("silent for %s", silence)
		out = append(out, Decision{Kind: DecideProbe, ID: id, Brief: w.brief, Reason: reason})
	}
	if !d.overdue(w, d.cfg.MissedBeats, now) {
		return out
	}
	out = d.suspect(out, id, w, silence)
	if now.Sub(w.asked) >= MinBeatInterval {
		w.asked = now
		w.attempts++
		reason := fmt.Sprintf("silent for %s", silence)
		out = append(out, Decision{Kind: DecideAsk, ID: id, Brief: w.brief, Attempt: w.attempts, Reason: reason})
	}
	return out
}

func (d *Detector) suspect(out []Decision, id ID, w *watch, silence time.Duration) []Decision {
	if w.suspect {
		return out
	}
	suspects, limit := d.suspects(w.service), d.limit(w.service)
	if suspects < limit {
		w.suspect, w.capped = true, false
		reason := fmt.Sprintf("%d heartbeats missed, silent for %s", d.cfg.MissedBeats, silence)
		return append(out, Decision{Kind: DecideSuspect, ID: id, Brief: w.brief, Reason: reason})
	}
	if w.capped {
		return out
	}
	w.capped = true
	reason := fmt.Sprintf("silent for %s, but %d members are suspect already and %d may be", silence, suspects, limit)
	return append(out, Decision{Kind: DecideCapped, ID: id, Brief: w.brief, Reason: reason})
}

// suspects counts the suspect members of a service. Dead members do not count:
// confirmation by another observer lifts the cap.
func (d *Detector) suspects(service config.ServiceTag) int {
	n := 0
	for _, w := range d.watches {
		if w.suspect && w.service == service {
			n++
		}
	}
	return n
}

// limit returns how many members of a service may be suspect, at least 1.
func (d *Detector) limit(service config.ServiceTag) int {
	return max(1, int(d.cfg.MaxSuspect(service)*float64(d.cfg.Members(service))))
}
