package retry

import (
	"sync"
	"time"
)

// unitsPerToken is the number of units of one token, which pays for one retry. With integers the bound
// stays exact over any number of requests; with floats it would drift.
const unitsPerToken = 1_000_000

// DefaultBurst is the default number of retries that a budget accumulates. It bounds the
// extra attempts at the start of an outage.
const DefaultBurst = 10

// idleExpiry is the time without requests after which a budget is emptied, so that an
// outage after an idle period does not start with retries earned long before.
const idleExpiry = 10 * time.Second

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Burst is the largest number of retries that the budget accumulates; 0 means DefaultBurst.
	Burst int
	// PerSecond is the number of retries that the budget earns per second in addition, without requests. Without it,
	// retries are bounded by the share of the requests alone.
	PerSecond float64
}

// Budget is a token bucket that is filled by requests and emptied by retries. It is safe
// for concurrent use.
//
// Unless it earns retries without requests, it starts empty, so at any time the number of retries since its creation is at most the configured
// share of the number of requests. golang.org/x/time/rate is not suitable: it adds tokens over time,
// so an outage under low traffic would allow more retries than the share.
type Budget struct {
	// mu guards units and lastRequest.
	mu sync.Mutex
	// units is between 0 and limit.
	units, limit int64
	// unitsPerSecond is earned without requests, since lastRefill.
	unitsPerSecond float64
	lastRefill     time.Time
	// lastRequest is the time of the latest request.
	lastRequest time.Time
}

// NewBudget returns an empty budget.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	return &Budget{limit: int64(cfg.Burst) * unitsPerToken, unitsPerSecond: cfg.PerSecond * unitsPerToken}
}

// AddRequest adds share, from 0 to 1, of a retry to the budget. Call it once for
// each request of a caller and never for a retry.
func (b *Budget) AddRequest(share float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	earned := int64(min(max(share, 0), 1) * unitsPerToken)
	b.units = min(b.units+earned, b.limit)
	b.lastRequest = now
}

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take(now time.Time) bool { return b.TakeUpTo(1, now) == 1 }

// TakeUpTo takes up to n retries from the budget and returns how many there were.
func (b *Budget) TakeUpTo(n int, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.refill(now)
	n = min(n, int(b.units/unitsPerToken))
	b.units -= int64(n) * unitsPerToken
	return n
}

// TakeAll takes n retries from the budget if there are as many, and reports whether there were.
func (b *Budget) TakeAll(n int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.refill(now)
	if b.units < int64(n)*unitsPerToken {
		return false
	}
	b.units -= int64(n) * unitsPerToken
	return true
}

// Return gives back n retries that were taken, up to the budget's burst.
func (b *Budget) Return(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.units = min(b.units+int64(n)*unitsPerToken, b.limit)
}

// expire empties the budget if there has been no request for idleExpiry.
func (b *Budget) expire(now time.Time) {
	if now.Sub(b.lastRequest) > idleExpiry {
		b.units = 0
	}
}

// refill adds what the budget earned without requests.
func (b *Budget) refill(now time.Time) {
	if b.unitsPerSecond == 0 {
		return
	}
	earned := int64(min(now.Sub(b.lastRefill).Seconds()*b.unitsPerSecond, float64(b.limit)))
	b.units, b.lastRefill = min(b.units+earned, b.limit), now
}
