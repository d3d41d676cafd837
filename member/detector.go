package member

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"endiveflow.example/endiveflow/config"
)

const (
	// DefaultMissedBeats is the number of missed heartbeats after which a member is suspect.
	DefaultMissedBeats = 3
	// probeAfterBeats is the number of missed heartbeats after which a member
	// is probed. It may be sending its heartbeats to other entries.
	probeAfterBeats = 2
	// freezeAfterBeats is the number of intervals without any message after
	// which the observer itself is taken for the one that is cut off.
	freezeAfterBeats = 2
	// pauseAfter is the time between two ticks from which the process is taken
	// to have been paused; ticks come about every 100 ms.
	pauseAfter = time.Second
)

// DecisionKind names a decision of the detector.
type DecisionKind uint8

// Decisions of the detector.
const (
	// DecideProbe asks for a heartbeat from the member.
	DecideProbe DecisionKind = iota + 1
	// DecideSuspect keeps new flows away from the member.
	DecideSuspect
	// DecideCapped says that a member would be suspect if not too many already were.
	DecideCapped
	// DecideAsk asks the member's other observers for their opinion.
	DecideAsk
	// DecideDead ends the member's incarnation and version.
	DecideDead
	// DecideAlive withdraws a suspicion.
	DecideAlive
	// DecideFreeze stops all suspicion, because the observer hears from nobody.
	DecideFreeze
	// DecideThaw starts it again.
	DecideThaw
	// DecideResume says that the process was paused and all deadlines moved.
	DecideResume
)

// String returns the name of the kind, as the audit trail has it.
func (k DecisionKind) String() string {
	names := [...]string{"", "probe", "suspect", "suspectCapped", "askObservers", "dead", "alive", "freeze", "thaw", "resume"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Decision is what the detector concluded and why.
type Decision struct {
	Kind DecisionKind
	// ID is the member concerned; 0 for freeze, thaw and resume.
	ID ID
	// Brief is what the decision is about; for DecideDead it is the ended brief to merge.
	Brief Brief
	// Attempt counts the questions about one silence, from 1 on.
	Attempt int
	// Reason is for operators.
	Reason string
}

// Opinion is an observer's answer about a member that another one suspects.
type Opinion uint8

// Opinions.
const (
	// OpinionNone comes from an observer that has not watched for long enough.
	OpinionNone Opinion = iota
	OpinionAlive
	OpinionSilent
)

// DetectorConfig configures a Detector.
type DetectorConfig struct {
	// Self is the observing entry.
	Self ID
	// MissedBeats is the number of missed heartbeats before suspicion; 0 means DefaultMissedBeats.
	MissedBeats int
	// MaxSuspect returns the share of a service's agents that may be suspect
	// at once; tag 0 stands for the entries. Nil means the built-in policy.
	MaxSuspect func(config.ServiceTag) float64
	// Interval returns what the observer hands out now; it applies to members
	// that it has not heard yet. Nil means MinBeatInterval.
	Interval func() time.Duration
	// Members returns the number of live members of a service, or of entries for tag 0.
	Members func(config.ServiceTag) int
}

// Detector decides which of the members that an entry watches have failed. It
// is not safe for concurrent use. Each now must come from time.Now of one
// process, so that differences are monotonic.
type Detector struct {
	cfg     DetectorConfig
	watches map[ID]*watch
	// lastAny is when any authentic message last arrived.
	lastAny  time.Time
	lastTick time.Time
	frozen   bool
}

type watch struct {
	brief   Brief
	service config.ServiceTag
	// interval is the longest time that the member may leave between
	// heartbeats; 0 until it has been told by the observer.
	interval time.Duration
	heard    time.Time
	suspect  bool
	capped   bool
	// dead is set once both observers agreed, and cleared by a newer brief.
	dead   bool
	probed time.Time
	asked  time.Time
	// attempts counts how often other observers were asked.
	attempts int
}

// NewDetector returns a detector that watches nobody.
func NewDetector(cfg DetectorConfig) *Detector {
	if cfg.MissedBeats <= 0 {
		cfg.MissedBeats = DefaultMissedBeats
	}
	if cfg.Interval == nil {
		cfg.Interval = func() time.Duration { return MinBeatInterval }
	}
	if cfg.MaxSuspect == nil {
		share := config.BuiltinPolicy().MaxSuspect
		cfg.MaxSuspect = func(config.ServiceTag) float64 { return share }
	}
	return &Detector{cfg: cfg, watches: make(map[ID]*watch)}
}

// Watch starts to watch a member, or takes over its newer record, which ends a
// suspicion as in View. A new watch counts as heard, so that a member gets all
// its intervals to report.
func (d *Detector) Watch(r Record, now time.Time) {
	w := d.watches[r.ID]
	if w == nil {
		d.watches[r.ID] = &watch{brief: r.Brief(), service: r.Service, heard: now}
		return
	}
	if r.Brief().Newer(w.brief) {
		w.brief, w.service, w.dead, w.suspect = r.Brief(), r.Service, false, false
	}
}

// Suspect says whether a member is watched and suspect.
func (d *Detector) Suspect(id ID) bool {
	w := d.watches[id]
	return w != nil && w.suspect
}

// Unwatch stops watching a member.
func (d *Detector) Unwatch(id ID) { delete(d.watches, id) }

// Watching says whether a member is watched.
func (d *Detector) Watching(id ID) bool { return d.watches[id] != nil }

// Count returns the number of watched members.
func (d *Detector) Count() int { return len(d.watches) }

// Watched returns the IDs of the watched members in ascending order.
func (d *Detector) Watched() []ID { return slices.Sorted(maps.Keys(d.watches)) }

// Frozen says whether the observer hears from nobody.
func (d *Detector) Frozen() bool { return d.frozen }

// HeardAny notes an authentic message from any other process.
func (d *Detector) HeardAny(now time.Time) []Decision {
	d.lastAny = now
	if !d.frozen {
		return nil
	}
	d.frozen = false
	for _, w := range d.watches {
		w.heard = now
	}
	return []Decision{{Kind: DecideThaw, Reason: "messages arrive again; every watched member gets its full time"}}
}

// Heard notes a fresh heartbeat of a watched member. The interval is what the
// member was told to leave until the next one.
func (d *Detector) Heard(id ID, interval time.Duration, now time.Time) []Decision {
	w := d.watches[id]
	if w == nil {
		return nil
	}
	w.heard, w.interval, w.attempts, w.capped = now, interval, 0, false
	if !w.suspect {
		return nil
	}
	w.suspect = false
	return []Decision{{Kind: DecideAlive, ID: id, Brief: w.brief, Reason: "heartbeat after suspicion"}}
}

// silent says for how many of its intervals a member has been silent.
func (d *Detector) silent(w *watch, now time.Time) float64 {
	interval := w.interval
	if interval == 0 {
		interval = d.cfg.Interval()
	}
	return float64(now.Sub(w.heard)) / float64(interval)
}

func (d *Detector) overdue(w *watch, missed int, now time.Time) bool {
	return d.silent(w, now) >= float64(missed)
}

// pausedSince says whether the process seems to have been paused since its last
// tick. Messages may be handled before the tick that moves the deadlines.
func (d *Detector) pausedSince(now time.Time) bool { return now.Sub(d.lastTick) >= pauseAfter }

// Opinion answers another observer's question about a member. The reason goes
// into that observer's audit trail.
func (d *Detector) Opinion(id ID, now time.Time) Opinion {
	w := d.watches[id]
	switch {
	case w == nil || d.frozen || d.pausedSince(now):
		return OpinionNone
	case d.overdue(w, d.cfg.MissedBeats, now):
		return OpinionSilent
	case w.interval > 0 && d.silent(w, now) < 1:
		return OpinionAlive
	}
	return OpinionNone
}

// Asked takes the opinion of another observer. The member is dead when the
// other observer and this one both miss its heartbeats.
func (d *Detector) Asked(b Brief, observer ID, opinion Opinion, now time.Time) []Decision {
	w := d.watches[b.ID]
	if w == nil || observer == d.cfg.Self || b != w.brief || w.dead {
		return nil
	}
	if opinion != OpinionSilent || d.frozen || d.pausedSince(now) || !d.overdue(w, d.cfg.MissedBeats, now) {
		return nil
	}
	w.dead, w.suspect = true, false
	reason := fmt.Sprintf("silent for %s; observer %016x misses it too", now.Sub(w.heard).Round(time.Millisecond), uint64(observer))
	return []Decision{{Kind: DecideDead, ID: b.ID, Brief: w.brief.Ended(), Reason: reason}}
}
