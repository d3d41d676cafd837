package member

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"endiveflow.example/endiveflow/config"
)

const (
	// DefaultMissedHeartbeats is the number of missed heartbeats after which a member is suspected.
	DefaultMissedHeartbeats = 3
	// probeAfterMissed is the number of missed heartbeats after which a member is probed: it may be
	// sending its heartbeats to other entries.
	probeAfterMissed = 2
	// freezeAfterIntervals is the number of heartbeat intervals without any message after which the
	// observer assumes that it is itself cut off.
	freezeAfterIntervals = 2
	// pauseThreshold is the gap between two ticks from which the process is assumed to have been paused.
	// Ticks come about every 100 ms.
	pauseThreshold = time.Second
)

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Decisions of the detector.
const (
	// DecideProbe requests a heartbeat from the member.
	DecideProbe DecisionKind = iota + 1
	// DecideSuspect marks the member as suspect, which keeps new flows away from it.
	DecideSuspect
	// DecideSuspectCapped reports that a member is not marked as suspect because the limit of suspects is
	// reached.
	DecideSuspectCapped
	// DecideAskObservers requests the opinion of the member's other observers.
	DecideAskObservers
	// DecideDead declares the member dead in the observed incarnation and version of its record.
	DecideDead
	// DecideAlive withdraws a suspicion.
	DecideAlive
	// DecideFreeze stops failure detection, because the observer receives no messages at all.
	DecideFreeze
	// DecideThaw resumes failure detection after DecideFreeze.
	DecideThaw
	// DecideResume reports that the process was paused and that all deadlines were moved.
	DecideResume
)

// String returns the name of the kind as written to the audit trail.
func (k DecisionKind) String() string {
	names := [...]string{"", "probe", "suspect", "suspectCapped", "askObservers", "dead", "alive", "freeze", "thaw", "resume"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Decision is a conclusion of the detector with its reason.
type Decision struct {
	Kind DecisionKind
	// ID is the member concerned; 0 for freeze, thaw and resume.
	ID ID
	// Summary is the member's summary at the time of the decision. For DecideDead it is the ended
	// summary to merge.
	Summary Summary
	// Attempt numbers the requests for opinions since the last heartbeat, starting at 1.
	Attempt int
	// Reason is the explanation for operators.
	Reason string
}

// Opinion is an observer's view of a member that another observer suspects.
type Opinion uint8

// Opinions.
const (
	// OpinionNone means that the observer has not watched the member for long enough.
	OpinionNone Opinion = iota
	OpinionAlive
	// OpinionUnresponsive means that the member has missed its heartbeats or has not answered probes.
	OpinionUnresponsive
)

// DetectorConfig configures a Detector.
type DetectorConfig struct {
	// Self is the ID of the observing entry.
	Self ID
	// MissedHeartbeats is the number of missed heartbeats after which a member is suspected; 0 means
	// DefaultMissedHeartbeats.
	MissedHeartbeats int
	// MaxSuspect returns the largest share of a service's agents that may be suspect at once; tag 0 stands
	// for the entries. Nil means the built-in policy.
	MaxSuspect func(config.ServiceTag) float64
	// Interval returns the heartbeat interval that the observer currently assigns. It applies to members
	// from which no heartbeat has been received yet. Nil means MinHeartbeatInterval.
	Interval func() time.Duration
	// Members returns the number of live members of a service, or of live entries for tag 0.
	Members func(config.ServiceTag) int
}

// Detector decides which of the members watched by an entry have failed. It is not safe for concurrent
// use. All times passed to it must come from time.Now of one process, so that their differences are
// monotonic.
type Detector struct {
	cfg     DetectorConfig
	watches map[ID]*watch
	// lastMessage is when any authentic message was last received.
	lastMessage time.Time
	lastTick    time.Time
	frozen      bool
}

type watch struct {
	summary Summary
	service config.ServiceTag
	// interval is the heartbeat interval last assigned to the member by this observer; 0 before its first
	// heartbeat.
	interval      time.Duration
	lastHeartbeat time.Time
	suspect       bool
	suspectCapped bool
	// dead is set once another observer has confirmed the failure, and cleared by a newer summary.
	dead     bool
	probedAt time.Time
	askedAt  time.Time
	// attempts counts the requests for opinions since the last heartbeat.
	attempts int
}

// NewDetector returns a detector that watches no members.
func NewDetector(cfg DetectorConfig) *Detector {
	if cfg.MissedHeartbeats <= 0 {
		cfg.MissedHeartbeats = DefaultMissedHeartbeats
	}
	if cfg.Interval == nil {
		cfg.Interval = func() time.Duration { return MinHeartbeatInterval }
	}
	if cfg.MaxSuspect == nil {
		share := config.BuiltinPolicy().MaxSuspect
		cfg.MaxSuspect = func(config.ServiceTag) float64 { return share }
	}
	return &Detector{cfg: cfg, watches: make(map[ID]*watch)}
}

// Watch starts watching a member, or adopts its newer record, which clears a suspicion as in View. The first
// call for a member counts as a heartbeat, so that the member has its full time to send one.
func (d *Detector) Watch(r Record, now time.Time) {
	w := d.watches[r.ID]
	if w == nil {
		d.watches[r.ID] = &watch{summary: r.Summary(), service: r.Service, lastHeartbeat: now}
		return
	}
	if r.Summary().Newer(w.summary) {
		w.summary, w.service, w.dead, w.suspect = r.Summary(), r.Service, false, false
	}
}

// Suspect reports whether a member is watched and suspect.
func (d *Detector) Suspect(id ID) bool {
	w := d.watches[id]
	return w != nil && w.suspect
}

// Unwatch stops watching a member.
func (d *Detector) Unwatch(id ID) { delete(d.watches, id) }

// Watching reports whether a member is watched.
func (d *Detector) Watching(id ID) bool { return d.watches[id] != nil }

// Count returns the number of watched members.
func (d *Detector) Count() int { return len(d.watches) }

// Watched returns the IDs of the watched members in ascending order.
func (d *Detector) Watched() []ID { return slices.Sorted(maps.Keys(d.watches)) }

// Frozen reports whether failure detection is stopped because no messages are received.
func (d *Detector) Frozen() bool { return d.frozen }

// RecordMessage records that an authentic message from any other process was received.
func (d *Detector) RecordMessage(now time.Time) []Decision {
	d.lastMessage = now
	if !d.frozen {
		return nil
	}
	d.frozen = false
	for _, w := range d.watches {
		w.lastHeartbeat = now
	}
	return []Decision{{Kind: DecideThaw, Reason: "messages are received again; the heartbeat deadlines of all watched members are reset"}}
}

// RecordHeartbeat records a fresh heartbeat of a watched member. The interval is the time to the next
// heartbeat that the member is assigned.
func (d *Detector) RecordHeartbeat(id ID, interval time.Duration, now time.Time) []Decision {
	w := d.watches[id]
	if w == nil {
		return nil
	}
	w.lastHeartbeat, w.interval, w.attempts, w.suspectCapped = now, interval, 0, false
	if !w.suspect {
		return nil
	}
	w.suspect = false
	return []Decision{{Kind: DecideAlive, ID: id, Summary: w.summary, Reason: "heartbeat after suspicion"}}
}

// missedIntervals returns the time since a member's last heartbeat, in units of its interval.
func (d *Detector) missedIntervals(w *watch, now time.Time) float64 {
	interval := w.interval
	if interval == 0 {
		interval = d.cfg.Interval()
	}
	return float64(now.Sub(w.lastHeartbeat)) / float64(interval)
}

func (d *Detector) overdue(w *watch, missed int, now time.Time) bool {
	return d.missedIntervals(w, now) >= float64(missed)
}

// pausedSince reports whether the process seems to have been paused since its last tick. Messages may be
// handled before the tick that moves the deadlines.
func (d *Detector) pausedSince(now time.Time) bool { return now.Sub(d.lastTick) >= pauseThreshold }

// Opinion returns the opinion about a member for another observer.
func (d *Detector) Opinion(id ID, now time.Time) Opinion {
	w := d.watches[id]
	switch {
	case w == nil || d.frozen || d.pausedSince(now):
		return OpinionNone
	case d.overdue(w, d.cfg.MissedHeartbeats, now):
		return OpinionUnresponsive
	case w.interval > 0 && d.missedIntervals(w, now) < 1:
		return OpinionAlive
	}
	return OpinionNone
}

// RecordOpinion handles the opinion of another observer. The member is dead when both that observer and
// this one miss its heartbeats.
func (d *Detector) RecordOpinion(s Summary, observer ID, opinion Opinion, now time.Time) []Decision {
	w := d.watches[s.ID]
	if w == nil || observer == d.cfg.Self || s != w.summary || w.dead {
		return nil
	}
	if opinion != OpinionUnresponsive || d.frozen || d.pausedSince(now) || !d.overdue(w, d.cfg.MissedHeartbeats, now) {
		return nil
	}
	w.dead, w.suspect = true, false
	reason := fmt.Sprintf("no heartbeat for %s; observer %016x misses it too",
		now.Sub(w.lastHeartbeat).Round(time.Millisecond), uint64(observer))
	return []Decision{{Kind: DecideDead, ID: s.ID, Summary: w.summary.Ended(), Reason: reason}}
}
