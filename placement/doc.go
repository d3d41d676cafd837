// Package placement decides which host serves a new flow and whether the flow is refused. It does no I/O.
//
// An entry orders the agents of a service with Order. Each agent answers an offer for its own host with
// Host.Decide: it takes the flow, passes the offer on to the next candidate, returns it to the candidate with
// the shortest expected latency, or refuses it. The decision is based on the number of requests in the host
// and their measured service time, both of which the agent knows exactly for its own host.
//
// Host has a file for each decision: decide.go for the answer to an offer, expected.go for the latency to expect, held.go for
// flows that wait, warmup.go for the limit of a host that warms up, and requests.go for the requests in the host, from which the
// others follow.
//
// It handles random bursts below capacity (a free slot is found within a few visits), a host that is slow or
// warming up (its longer service time counts as waiting time), hosts that fail part of their requests (they
// are ranked behind others), and load above capacity (flows that can meet their target are served first; the
// others are served when there is room, and refused when their callers' attempts time out).
package placement
