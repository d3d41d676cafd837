// Package route chooses the agent of a new flow by weighted rendezvous
// hashing. Processes with the same candidates choose the same agent, and a
// candidate that comes or goes moves only its own flows.
package route
