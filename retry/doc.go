// Package retry decides whether a request may be attempted again, by the outcome
// of the failed attempt, by whether the request is repeatable, and by the retry
// budget. It does no I/O.
package retry
