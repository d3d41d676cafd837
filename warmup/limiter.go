package warmup

import (
	"time"
)

// Window is the duration of the sliding window in which at most the limit may be admitted.
const Window = time.Second

// Limiter limits the opening packets given to one host in any sliding window. It knows the time of every recorded packet
// that can matter, so that a limit that comes into force counts those recorded before. It isn't safe for concurrent use.
//
// All times are those of one monotonic clock.
type Limiter struct {
	// admitted is a ring of the times of the newest packets, as many as the limit; the oldest is at next. It is empty if
	// there is no limit. Its times are in order.
	admitted []time.Duration
	next     int
	// newest is the time of the newest recorded packet.
	newest time.Duration
	// unlisted is no earlier than any recorded packet that admitted doesn't hold, and at first the start of the limiter:
	// an earlier process may have admitted packets until then.
	unlisted time.Duration
}

// New returns a limiter without a limit. It counts as full until a Window after start, as an earlier process may have
// admitted as many packets as the limit allows.
func New(start time.Duration) Limiter { return Limiter{newest: start, unlisted: start} }

// SetLimit sets the largest number of packets in a window; 0 means no limit. It allocates memory if it changes the limit:
// 8 bytes per packet, 512 kB at most.
func (l *Limiter) SetLimit(limit uint16) {
	n := int(limit)
	if n == len(l.admitted) {
		return
	}
	// Packets that the ring doesn't hold are assumed to be as late as they can be.
	admitted := make([]time.Duration, 0, n)
	for range n - len(l.admitted) {
		admitted = append(admitted, l.unlisted)
	}
	for i := range l.admitted {
		at := l.at(i)
		if i < len(l.admitted)-n {
			l.unlisted = at
			continue
		}
		admitted = append(admitted, at)
	}
	l.admitted, l.next = admitted, 0
}

// at returns the ith oldest time in the ring.
func (l *Limiter) at(i int) time.Duration { return l.admitted[(l.next+i)%len(l.admitted)] }

// Wait returns the time until a packet may be admitted if ahead others are admitted before it, each as early as possible.
// Without a limit it returns 0.
func (l *Limiter) Wait(ahead int, now time.Duration) time.Duration {
	n := len(l.admitted)
	if n == 0 {
		return 0
	}
	return max(l.at(ahead%n)+Window-now, 0) + time.Duration(ahead/n)*Window
}

// Record records a packet that is given to the host now, whether or not the limit allows it.
func (l *Limiter) Record(now time.Duration) {
	// Concurrent callers may have read the clock in another order.
	l.newest = max(l.newest, now)
	if len(l.admitted) == 0 {
		l.unlisted = l.newest
		return
	}
	l.list()
}

// list replaces the oldest time in the ring by the newest one.
func (l *Limiter) list() {
	l.unlisted = max(l.unlisted, l.admitted[l.next])
	l.admitted[l.next] = l.newest
	if l.next++; l.next == len(l.admitted) {
		l.next = 0
	}
}
