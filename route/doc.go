// Package route chooses the agent of a new flow by weighted rendezvous hashing. Processes with the same
// candidates choose the same agent. When a candidate is added or removed, only its own flows move.
package route
