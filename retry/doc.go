// Package retry decides whether a request may be attempted again after a failed attempt.
// The decision depends on the outcome of that attempt, on whether the request is
// repeatable, on its deadline, and on the retry budget. The package does no I/O.
package retry
