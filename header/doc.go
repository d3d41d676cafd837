// Package header defines the HTTP header fields that endiveflow processes, callers and upstreams exchange.
package header

// Header fields in canonical form, so that direct map access works.
const (
	// Deadline is the time remaining for the request in whole milliseconds, at least 1.
	Deadline = "Endiveflow-Deadline-Ms"
	// Outcome is one of the Outcome values; the balancer sets it on every answer.
	Outcome = "Endiveflow-Outcome"
	// Key identifies a non-repeatable request, so that it runs at most once.
	Key = "Endiveflow-Key"
	// RetryAfter is the value of Retry-After in whole milliseconds, for callers that can wait for less than
	// a second.
	RetryAfter = "Endiveflow-Retry-After-Ms"
	// Shed is "1" in a 503 answer of an upstream that did not run the request.
	Shed = "Endiveflow-Shed"
)

// Values of Outcome.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)
