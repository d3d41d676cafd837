// Package placement decides where a new flow goes and whether it is refused.
// It does no I/O.
//
// An entry orders the agents of a service with Order. Each agent decides about
// an offer for its own host with Host.Decide: it takes the flow, passes the offer
// on to the next candidate, sends it back to the candidate with the shortest expected wait,
// or refuses it. The decision rests on the number of requests in the host and
// their measured time, which the agent knows exactly for its own host.
//
// It answers these loads: random bursts below capacity (a free slot is found
// within a few visits), a host that is slow or cold (its longer time counts as wait), hosts that
// fail part of their requests (they come behind others), and load above capacity (flows
// that can be answered in time go first; the others go when there is room, and
// are refused when their callers' attempts end).
package placement
