// Package agent is the role of the process in the slot beside one upstream. It
// ends the flows of callers, runs their requests on its upstream or on peers,
// and announces the upstream to the entries.
package agent
