package retry

import "time"

// Attempt describes a failed attempt.
type Attempt struct {
	Outcome Outcome
	// Repeatable is the result of the function Repeatable for the request.
	Repeatable bool
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// MinDuration is the shortest time in which another attempt can succeed.
	MinDuration time.Duration
}

// Decision is the decision on another attempt of a request, with its reason.
type Decision struct {
	Retry bool
	// Reason is a fixed text, so it can be used as a metric label.
	Reason string
}

// Reasons for decisions.
const (
	ReasonAnswered      = "answered"
	ReasonNotRepeatable = "may have run and is not repeatable"
	ReasonDeadline      = "deadline too close"
	ReasonBudget        = "retry budget is empty"
	ReasonNotRun        = "proven not run"
	ReasonRepeatable    = "repeatable"
)

// MayRetry decides whether another attempt is allowed after a failed one. If it is, MayRetry takes one
// retry from the budget; otherwise the budget is unchanged.
func MayRetry(a Attempt, budget *Budget, now time.Time) Decision {
	if a.Outcome == Answered {
		return Decision{Reason: ReasonAnswered}
	}
	if a.Outcome != NotRun && !a.Repeatable {
		return Decision{Reason: ReasonNotRepeatable}
	}
	if !now.Add(a.MinDuration).Before(a.Deadline) {
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
