// Package agent implements the agent role: a process that runs next to one upstream. It
// terminates the flows of callers, runs their requests on its upstream or on the upstreams of
// peers, and announces the state of its upstream to the entries.
//
// The home of a request key is the agent that issued the key and alone may run its request. When
// an agent stops, it hands over its ledger to a successor, which answers repeated requests with
// the keys but never runs one.
package agent
