package packetentry

import (
	"time"

	"endiveflow.example/endiveflow/retry"
)

const (
	// repeatShare is the number of datagrams that the entry may send on its own account per datagram that it sends
	// for a packet of a caller.
	repeatShare = 0.04
	// repeatsPerSecond is the number of such datagrams that it may send per second in any case, so that an idle
	// entry can search.
	repeatsPerSecond = 10
	// repeatBurst bounds the number of such datagrams at once.
	repeatBurst = 32
	// maxSearched is the number of agents that a search at all agents asks at most. Searches have a budget of their own, of
	// which this is the burst.
	maxSearched = 256
)

// repeats limits what the entry sends on its own account: repeated offers, and the steps of a search that follow
// the first, after each has been taken once for the flow. Under a lossy or full link, each lost packet would cause more packets than it was and keep the link
// full. Packets of callers are never limited: a copy that the caller sends continues where a repeat was not
// allowed.
type repeats struct {
	budget, searches *retry.Budget
	now              func() time.Duration
}

func newRepeats(now func() time.Duration) *repeats {
	return &repeats{
		budget:   retry.NewBudget(retry.BudgetConfig{Burst: repeatBurst, PerSecond: repeatsPerSecond}),
		searches: retry.NewBudget(retry.BudgetConfig{Burst: maxSearched, PerSecond: repeatsPerSecond}), now: now,
	}
}

// time returns the current time in the form that the budget uses; only differences matter.
func (r *repeats) time() time.Time { return time.Unix(0, 0).Add(r.now()) }

// packetForwarded records a datagram that was sent for a packet of a caller.
func (r *repeats) packetForwarded() {
	now := r.time()
	r.budget.AddRequest(repeatShare, now)
	r.searches.AddRequest(repeatShare, now)
}

// take returns how many of n datagrams may be sent now.
func (r *repeats) take(n int) int {
	granted := r.budget.TakeUpTo(n, r.time())
	withheldRepeats.Add(n - granted)
	return granted
}

// takeSearch reports whether a search may be sent to n agents now.
func (r *repeats) takeSearch(n int) bool {
	granted := r.searches.TakeAll(n, r.time())
	if !granted {
		withheldRepeats.Add(n)
	}
	return granted
}
