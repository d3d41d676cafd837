package admit

import (
	"math"
	"time"
)

// recentSpan is the time constant of Load.Recent. Among 2, 5, 10 and 20 s, 10 s gave the
// least imbalance in the swing.
const recentSpan = 10 * time.Second

// usage is the exponentially weighted mean of the slots in use.
type usage struct {
	mean float64
	// since is the time up to which mean counts; zero before the first change.
	since time.Time
}

// advance counts inUse slots in use from since to now.
func (u *usage) advance(inUse int, now time.Time) {
	if passed := now.Sub(u.since); !u.since.IsZero() && passed > 0 {
		old := math.Exp(-passed.Seconds() / recentSpan.Seconds())
		u.mean = u.mean*old + float64(inUse)*(1-old)
	}
	if now.After(u.since) {
		u.since = now
	}
}

func (u *usage) thousandths() int { return int(math.Round(u.mean * 1000)) }
