package packetentry

import (
	"sync"
	"sync/atomic"
	"time"
)

// trafficWindow is the time over which the traffic of an entry is averaged. It is above the swings of callers' requests within
// a second, and below the 3 s that a decision on the rotation takes.
const trafficWindow = time.Second

// trafficMeter measures what an entry carries. It is safe for concurrent use.
type trafficMeter struct {
	// received and sent are the bytes of the datagrams of callers and members so far, without the headers of the network.
	received, sent atomic.Uint64

	mu sync.Mutex
	// The fields below are guarded by mu. The window began at start with startReceived and startSent bytes.
	start                    time.Duration
	startReceived, startSent uint64
	// rate is that of the last complete window, in bytes per second.
	rate uint64
}

// perSecond returns the larger of the bytes received and sent per second, as each direction of a link has its own capacity.
func (t *trafficMeter) perSecond(now time.Duration) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := now - t.start
	if elapsed < trafficWindow {
		return t.rate
	}
	received, sent := t.received.Load(), t.sent.Load()
	t.rate = uint64(float64(max(received-t.startReceived, sent-t.startSent)) / elapsed.Seconds())
	t.start, t.startReceived, t.startSent = now, received, sent
	return t.rate
}
