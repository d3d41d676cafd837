// Package agent implements the agent role: a process that runs next to one upstream. It
// terminates the flows of callers, runs their requests on its upstream or on the upstreams of
// peers, and announces the state of its upstream to the entries.
package agent
