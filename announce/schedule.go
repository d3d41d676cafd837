package announce

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Group is a group of recipients whose regular reports have an interval of their own.
type Group uint8

// Groups of recipients.
const (
	Entries Group = iota
	Agents
	// GroupCount is the number of groups.
	GroupCount
)

const (
	// MinInterval is the shortest time between two regular reports to the same process.
	MinInterval = time.Second
	// RegularPerSecond is the default number of regular reports per second to a group. It bounds the traffic of
	// a process in a fleet of any size.
	RegularPerSecond = 5
	// linkShare is the share of the link that announcements may use.
	linkShare = 0.04
	// reportBytes is the size of a report with the headers of its datagram.
	reportBytes = 300
	// minPerSecond and maxPerSecond bound the announcements per second; defaultPerSecond applies if the link's
	// capacity is unknown.
	minPerSecond, maxPerSecond, defaultPerSecond = 50, 2000, 250
	// announceSlot and regularSlot are the times between two calls of Due while reports of the kind wait. Reports
	// that are due within a slot are sent together, which saves wake-ups.
	announceSlot = 10 * time.Millisecond
	regularSlot  = 200 * time.Millisecond
)

// Config configures a Schedule.
type Config struct {
	// LinkBytesPerSecond is the capacity of the VM's link; 0 means unknown.
	LinkBytesPerSecond float64
	// Shuffle brings addresses into a random order; nil means the default source of randomness.
	Shuffle func([]uint32)
}

// Schedule decides to which processes reports are sent when. It is not safe for concurrent use.
type Schedule struct {
	cfg Config
	// perSecond is the number of announcements per second.
	perSecond float64
	groups    [GroupCount]round
	// announcements holds the processes that get a report next, each once; waiting holds the same addresses.
	announcements []uint32
	waiting       map[uint32]bool
	// allowance is the number of announcements that may be sent now, at most those of one slot.
	allowance float64
	// lastDue is the time of the last call of Due.
	lastDue time.Duration
}

// round is a round of regular reports to a group.
type round struct {
	// perSecond is the largest number of reports per second.
	perSecond float64
	// recipients is sorted; rest holds those that the current round has not reached, in random order.
	recipients, rest []uint32
	// credit is the number of reports that are due, with a fraction.
	credit float64
}

// New returns a schedule without recipients.
func New(cfg Config) *Schedule {
	if cfg.Shuffle == nil {
		cfg.Shuffle = func(ips []uint32) { rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] }) }
	}
	s := &Schedule{cfg: cfg, perSecond: defaultPerSecond, waiting: make(map[uint32]bool)}
	if cfg.LinkBytesPerSecond > 0 {
		s.perSecond = min(max(linkShare*cfg.LinkBytesPerSecond/reportBytes, minPerSecond), maxPerSecond)
	}
	s.allowance = s.burst()
	for i := range s.groups {
		s.groups[i].perSecond = RegularPerSecond
	}
	return s
}

// burst returns the largest number of announcements at once.
func (s *Schedule) burst() float64 { return max(s.perSecond*announceSlot.Seconds(), 1) }

// SetRecipients replaces the recipients of a group. Those that were not in the group before get a report soon.
func (s *Schedule) SetRecipients(g Group, ips []uint32) {
	sorted := slices.Compact(slices.Sorted(slices.Values(ips)))
	var added []uint32
	for _, ip := range sorted {
		if _, known := slices.BinarySearch(s.groups[g].recipients, ip); !known {
			added = append(added, ip)
		}
	}
	s.groups[g].recipients = sorted
	s.cfg.Shuffle(added)
	s.Announce(added...)
}

// SetRate sets the largest number of regular reports per second to a group; it must be positive.
func (s *Schedule) SetRate(g Group, perSecond float64) { s.groups[g].perSecond = perSecond }

// Interval returns the time between two regular reports to the same process of a group.
func (s *Schedule) Interval(g Group) time.Duration { return s.groups[g].interval() }

func (r *round) interval() time.Duration {
	return max(MinInterval, time.Duration(float64(len(r.recipients))/r.perSecond*float64(time.Second)))
}

// Announce schedules a report to processes, which need not be recipients of regular ones.
func (s *Schedule) Announce(ips ...uint32) {
	for _, ip := range ips {
		if !s.waiting[ip] {
			s.waiting[ip] = true
			s.announcements = append(s.announcements, ip)
		}
	}
}

// AnnounceAll schedules a report to all recipients.
func (s *Schedule) AnnounceAll() {
	for g := range GroupCount {
		s.AnnounceSome(g, len(s.groups[g].recipients))
	}
}

// AnnounceSome schedules a report to n random recipients of a group, or to all if there are fewer.
func (s *Schedule) AnnounceSome(g Group, n int) {
	ips := slices.Clone(s.groups[g].recipients)
	s.cfg.Shuffle(ips)
	s.Announce(ips[:min(n, len(ips))]...)
}

// Due returns the processes to which reports are to be sent now, and the time until the next call. The time now
// must not decrease.
func (s *Schedule) Due(now time.Duration) (due []uint32, wait time.Duration) {
	elapsed := min(now-s.lastDue, regularSlot)
	s.lastDue = now
	s.allowance = min(s.allowance+s.perSecond*elapsed.Seconds(), s.burst())
	n := min(int(s.allowance), len(s.announcements))
	due = s.announcements[:n:n]
	s.announcements = s.announcements[n:]
	s.allowance -= float64(n)
	for _, ip := range due {
		delete(s.waiting, ip)
	}
	for i := range s.groups {
		due = s.groups[i].appendDue(due, elapsed, s.cfg.Shuffle)
	}
	if len(s.announcements) > 0 {
		return due, announceSlot
	}
	return due, regularSlot
}

// appendDue appends the recipients whose regular reports became due in a time span.
func (r *round) appendDue(due []uint32, elapsed time.Duration, shuffle func([]uint32)) []uint32 {
	if len(r.recipients) == 0 {
		return due
	}
	r.credit += float64(len(r.recipients)) * float64(elapsed) / float64(r.interval())
	for ; r.credit >= 1; r.credit-- {
		if len(r.rest) == 0 {
			r.rest = slices.Clone(r.recipients)
			shuffle(r.rest)
		}
		due = append(due, r.rest[0])
		r.rest = r.rest[1:]
	}
	return due
}
