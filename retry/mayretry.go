package retry

import "time"

// Attempt describes a failed attempt.
type Attempt struct {
	Outcome Outcome
	// Repeatable is the result of Repeatable for the request.
	Repeatable bool
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// NeedsAtLeast is the shortest time in which another attempt can succeed.
	NeedsAtLeast time.Duration
}

// Decision says whether to attempt a request again, and why.
type Decision struct {
	Retry bool
	// Reason is a fixed text, usable as the label of a metric.
	Reason string
}

// Reasons of decisions.
const (
	ReasonAnswered      = "answered"
	ReasonNotRepeatable = "may have run and is not repeatable"
	ReasonDeadline      = "deadline too close"
	ReasonBudget        = "retry budget is empty"
	ReasonNotRun        = "proven not run"
	ReasonRepeatable    = "repeatable"
)

// MayRetry decides on another attempt. It takes from the budget only when it allows one.
func MayRetry(a Attempt, budget *Budget, now time.Time) Decision {
	if a.Outcome == Answered {
		return Decision{Reason: ReasonAnswered}
	}
	if a.Outcome != NotRun && !a.Repeatable {
		return Decision{Reason: ReasonNotRepeatable}
	}
	if !now.Add(a.NeedsAtLeast).Before(a.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !budget.Take(now) {
		return Decision{Reason: ReasonBudget}
	}
	if a.Outcome == NotRun {
		return Decision{Retry: true, Reason: ReasonNotRun}
	}
	return Decision{Retry: true, Reason: ReasonRepeatable}
}
