package packetentry

import (
	"time"

	"endiveflow.example/endiveflow/mesh"
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
	// firstAgentsSearches is the burst of searches at the first agents in rendezvous order, each of which costs
	// mesh.MaxCandidates datagrams. They earn as many searches per second and packet as single datagrams are earned for
	// repeats.
	firstAgentsSearches = 128
	// maxFirstAgents bounds the agents that a search asks at once as the first ones: those of two services, before and after
	// agents joined.
	maxFirstAgents = 4 * mesh.MaxCandidates
)

// draws is what the steps of a search drew from their budgets.
type draws struct {
	firstAgents, allAgents int32
}

// add returns the sum of what two steps drew.
func (d draws) add(other draws) draws {
	return draws{d.firstAgents + other.firstAgents, d.allAgents + other.allAgents}
}

// repeats limits what the entry sends on its own account: repeated offers, and the steps of a search that follow
// the first, after each has been taken once for the flow. Under a lossy or full link, each lost packet would cause
// more packets than it was and keep the link full. Packets of callers are never limited: a copy that the caller
// sends continues where a repeat was not allowed.
type repeats struct {
	budget *retry.Budget
	// firstAgents is the budget of searches at the first agents in rendezvous order, allAgents that of searches at all agents.
	firstAgents, allAgents *retry.Budget
	now                    func() time.Duration
}

func newRepeats(now func() time.Duration) *repeats {
	return &repeats{
		budget: retry.NewBudget(retry.BudgetConfig{Burst: repeatBurst, PerSecond: repeatsPerSecond}),
		firstAgents: retry.NewBudget(retry.BudgetConfig{
			Burst: firstAgentsSearches * mesh.MaxCandidates, PerSecond: repeatsPerSecond * mesh.MaxCandidates,
		}),
		allAgents: retry.NewBudget(retry.BudgetConfig{Burst: maxSearched, PerSecond: repeatsPerSecond}), now: now,
	}
}

// time returns the current time in the form that the budget uses; only differences matter.
func (r *repeats) time() time.Time { return time.Unix(0, 0).Add(r.now()) }

// packetForwarded records a datagram that was sent for a packet of a caller.
func (r *repeats) packetForwarded() {
	now := r.time()
	r.budget.AddRequest(repeatShare, now)
	r.firstAgents.AddRequest(repeatShare*mesh.MaxCandidates, now)
	r.allAgents.AddRequest(repeatShare, now)
}

// take returns how many of n datagrams may be sent now.
func (r *repeats) take(n int) int {
	granted := r.budget.TakeUpTo(n, r.time())
	withheldRepeats.Add(n - granted)
	return granted
}

// takeFirstAgents draws n datagrams of a search at the first agents from its budget, and reports whether they may be sent now.
func (r *repeats) takeFirstAgents(n int) (draws, bool) {
	if !r.takeSearch(r.firstAgents, n) {
		return draws{}, false
	}
	return draws{firstAgents: int32(n)}, true
}

// takeAllAgents is takeFirstAgents for the steps that follow.
func (r *repeats) takeAllAgents(n int) (draws, bool) {
	if !r.takeSearch(r.allAgents, n) {
		return draws{}, false
	}
	return draws{allAgents: int32(n)}, true
}

func (r *repeats) takeSearch(budget *retry.Budget, n int) bool {
	if !budget.TakeAll(n, r.time()) {
		withheldRepeats.Add(n)
		return false
	}
	return true
}

// putBack returns what was drawn and not used.
func (r *repeats) putBack(d draws) {
	r.firstAgents.Return(int(d.firstAgents))
	r.allAgents.Return(int(d.allAgents))
}

// giveBack returns what a search drew that found its flow. Budgets bound the datagrams of searches that fail.
func (r *repeats) giveBack(d draws) {
	if d != (draws{}) {
		r.putBack(d)
		foundSearches.Inc()
	}
}
