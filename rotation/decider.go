package rotation

import (
	"slices"
	"time"
)

const (
	// leaveDelay is the time for which a decision must stay the same before an entry leaves.
	leaveDelay = 3 * time.Second
	// leaveDelayFactor is the factor by which the delay grows with each return, and maxLeaveDelay its limit. The stop of one
	// entry is often followed by that of others, as in a rolling restart.
	leaveDelayFactor = 4
	maxLeaveDelay    = 48 * time.Second
	// lastingSpare is the time out of rotation after which the delay begins at leaveDelay again.
	lastingSpare = time.Minute
	// settleTime is the time after the first decision in which an entry that is in rotation doesn't leave. After a mass
	// start, the zone's entries become known over some seconds, and hosts are at capacity for up to 6 s, in which a change
	// of the rotation would add a search for each open flow.
	settleTime = 10 * time.Second
	// followTime is the time after the first decision in which an entry follows others that are spare. The reports of the zone
	// arrive within it.
	followTime = time.Second
	// maxGap is the longest time between two decisions that counts as observed. A process that was paused for longer has
	// missed reports, and observes anew.
	maxGap = 2500 * time.Millisecond
	// leaveLoadShare is the largest load of the zone at which an entry leaves, as a share of the load at which it returns.
	// The gap prevents a load close to the limit from moving entries in and out.
	leaveLoadShare = 0.75
)

// Decision is the decision of an entry about itself.
type Decision struct {
	// InRotation reports whether the entry takes part in the rotation.
	InRotation bool
	// PrefersSpare reports whether the entry is out of rotation or is going to leave if the decision stays the same.
	PrefersSpare bool
	// Reason is a short explanation for logs.
	Reason string
	// Chosen are the addresses of the entries that should be in rotation, in order; empty means all.
	Chosen []uint32
	// Sustained and SustainedAfterLoss are what the chosen entries sustain, all of them and with one lost, and Load is the
	// load of the zone, all in bytes per second.
	Sustained, SustainedAfterLoss, Load float64
}

// Decider makes the decisions of one entry. Its zero value is an entry in rotation that has decided nothing. It is not safe
// for concurrent use.
type Decider struct {
	// first and last are the times of the first and of the last decision; valid once decided.
	first, last time.Duration
	decided     bool
	// spare reports whether the entry is out of rotation, since spareSince.
	spare      bool
	spareSince time.Duration
	// pending are the chosen entries for which the entry is going to leave, unchanged since pendingSince; nil if it stays.
	pending      []uint32
	pendingSince time.Duration
	// delay is the time for which a decision must stay the same before the entry leaves.
	delay time.Duration
}

// Decide returns whether an entry stays in rotation. zone are the other entries of the zone, with those that are silent as
// Unavailable and with Load 0. now is a monotonic time. It must be called at least once a second; a decision to leave needs
// several calls. The state of self doesn't matter: an entry that can't take flows doesn't decide.
//
// An entry that has just started and finds another one spare follows that decision without a delay, so that its start
// doesn't change the rotation.
func (d *Decider) Decide(self Member, zone []Member, now time.Duration) Decision {
	self.State = Active
	all := append(slices.Clone(zone), self)
	c := choose(all)
	out := Decision{Chosen: c.addresses(), Sustained: c.sustained, SustainedAfterLoss: c.sustainedAfterLoss}
	for _, m := range all {
		out.Load += m.Load
	}
	starts := !d.decided
	if starts {
		d.first, d.decided, d.delay = now, true, leaveDelay
	}
	observed := !starts && now-d.last <= maxGap
	d.last = now
	switch {
	case c.isEmpty():
		out.Reason = "all entries are needed"
	case c.includes(self.IP):
		out.Reason = "chosen"
	case !c.isActive():
		out.Reason = "a chosen entry is not in rotation"
	case out.Load > c.returnLoad(), !d.spare && out.Load > c.leaveLoad():
		out.Reason = "load"
	default:
		out.Reason = "entries of higher capacity suffice"
		d.prefersSpare(c, now-d.first <= followTime && hasSpare(zone), observed, now)
		out.InRotation, out.PrefersSpare = !d.spare, true
		return out
	}
	d.prefersRotation(now)
	out.InRotation = true
	return out
}

// prefersSpare records that the entry should leave rotation for a choice, and lets it leave when it is time to.
func (d *Decider) prefersSpare(c choice, follows, observed bool, now time.Duration) {
	if d.spare {
		return
	}
	if chosen := c.addresses(); !observed || !slices.Equal(chosen, d.pending) {
		d.pending, d.pendingSince = chosen, now
	}
	if follows || now-d.pendingSince >= d.delay && now-d.first >= settleTime {
		d.spare, d.spareSince, d.pending = true, now, nil
	}
}

// prefersRotation records that the entry should be in rotation, and returns it.
func (d *Decider) prefersRotation(now time.Duration) {
	d.pending = nil
	if !d.spare {
		return
	}
	d.spare = false
	if now-d.spareSince >= lastingSpare {
		d.delay = leaveDelay
	}
	d.delay = min(leaveDelayFactor*d.delay, maxLeaveDelay)
}

// hasSpare reports whether an entry is spare.
func hasSpare(zone []Member) bool {
	return slices.ContainsFunc(zone, func(m Member) bool { return m.State == Spare })
}
