package retry

import (
	"sync"
	"time"
)

// tokenUnits is the number of units of one token. Integers keep the bound
// exact over any number of requests; floats would drift.
const tokenUnits = 1_000_000

// DefaultBurst is the number of retries that a budget saves up. It bounds the
// extra attempts at the start of an outage.
const DefaultBurst = 10

// saveFor is how long saved retries stay valid without requests, so that an
// outage after a quiet time does not start with retries earned long before.
const saveFor = 10 * time.Second

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Burst is the largest number of retries saved up; 0 means DefaultBurst.
	Burst int
}

// Budget is a token bucket that requests fill and retries empty. It is safe
// for concurrent use.
//
// It starts empty, so at each time since its creation the retries are at most
// share times the requests. golang.org/x/time/rate does not fit: its tokens come
// with time, so an outage under low traffic would allow more retries than the share.
type Budget struct {
	mu sync.Mutex
	// units is guarded by mu and stays between 0 and limit.
	units, limit int64
	// last is the time of the latest request, guarded by mu.
	last time.Time
}

// NewBudget returns an empty budget.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	return &Budget{limit: int64(cfg.Burst) * tokenUnits}
}

// Request counts one request, which earns share (0 to 1) of a retry. Call it once
// for each request of a caller and never for a retry.
func (b *Budget) Request(share float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	earned := int64(min(max(share, 0), 1) * tokenUnits)
	b.units = min(b.units+earned, b.limit)
	b.last = now
}

// Take takes one retry from the budget and says whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	if b.units < tokenUnits {
		return false
	}
	b.units -= tokenUnits
	return true
}

func (b *Budget) expire(now time.Time) {
	if now.Sub(b.last) > saveFor {
		b.units = 0
	}
}
