// Package retry decides whether a request may be attempted again: the outcome
// of an attempt, whether the request is repeatable, and the retry budget. It
// does no I/O.
package retry
