package packettest

import "time"

// Link is the network link of a VM. Datagrams wait for each other in both directions.
type Link struct {
	// BytesPerSecond is the capacity of each direction.
	BytesPerSecond float64
	// MaxDelay bounds the wait: a datagram that would wait longer is lost.
	MaxDelay time.Duration

	// sendingUntil and receivingUntil are when the datagrams accepted so far have passed.
	sendingUntil, receivingUntil time.Duration
}

// pass returns how long a datagram takes to pass a direction of the link, and false if it is lost. A nil link
// takes no time.
func (l *Link) pass(until *time.Duration, now time.Duration, size int) (time.Duration, bool) {
	start := max(*until, now)
	if start-now > l.MaxDelay {
		return 0, false
	}
	*until = start + time.Duration(float64(size)/l.BytesPerSecond*float64(time.Second))
	return *until - now, true
}

// sendDelay returns how long a datagram takes to leave the VM at an address, and false if it is lost.
func (f *Fleet) sendDelay(from uint32, size int) (time.Duration, bool) {
	l := f.Links[from]
	if l == nil {
		return 0, true
	}
	return l.pass(&l.sendingUntil, f.now, size)
}

// arrive calls handle when a datagram has passed the receiving link of the VM at an address, unless it is lost.
func (f *Fleet) arrive(to uint32, size int, handle func()) {
	l := f.Links[to]
	if l == nil {
		handle()
		return
	}
	if delay, ok := l.pass(&l.receivingUntil, f.now, size); ok {
		f.After(delay, handle)
	}
}
