// Package admit decides which requests run on the slots of an upstream, which
// wait, which go to a peer agent and which are refused. It does no I/O and takes
// time as an argument; every decision carries a reason.
//
// A Scheduler holds the slots and one queue for each class of work. Short and
// long work share the slots by start-time fair queueing, so neither starves, and
// long work never takes the reserved slots. The expected wait of a request comes
// from the measured run times of its class. A request that cannot meet its
// deadline is refused when it is offered; one in the queue is refused as soon as
// it can no longer meet it.
package admit
