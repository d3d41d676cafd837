// Package admit decides which requests run on the slots of an upstream, which are
// queued, which go to a peer agent and which are refused. It does no I/O and takes
// the time as an argument; every decision carries a reason.
//
// A Scheduler holds the slots and one queue for each class of work. Short and
// long work share the slots by start-time fair queueing, so neither starves, and
// long work never takes the reserved slots. The expected wait of a request is
// estimated from the measured run times of its class. A request that cannot meet its
// deadline is refused when it is offered; a queued request is refused as soon as it can
// no longer meet its deadline.
package admit
