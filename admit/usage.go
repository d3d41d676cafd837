package admit

import (
	"math"
	"time"
)

// recentTimeConstant is the time constant of Load.Recent. Of 2, 5, 10 and 20 s, 10 s gave the
// least imbalance in the swing simulation (swing_test.go).
const recentTimeConstant = 10 * time.Second

// usage is the exponentially weighted mean of the slots in use.
type usage struct {
	mean float64
	// updatedAt is the time of the latest update of mean; zero before the first one.
	updatedAt time.Time
}

// advance updates the mean for inUse slots having been in use from updatedAt to now.
func (u *usage) advance(inUse int, now time.Time) {
	if elapsed := now.Sub(u.updatedAt); !u.updatedAt.IsZero() && elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / recentTimeConstant.Seconds())
		u.mean = u.mean*decay + float64(inUse)*(1-decay)
	}
	if now.After(u.updatedAt) {
		u.updatedAt = now
	}
}

func (u *usage) thousandths() int { return int(math.Round(u.mean * 1000)) }
