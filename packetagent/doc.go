// Package packetagent is the agent of the packet path: the process beside one
// host. It decides about offers of new flows, passes packets between the host
// and callers, knows which flows the host has, and tells entries about them.
//
// Agent is the state machine; it owns no socket and takes its time from Config.
// Run gives it sockets and timers.
package packetagent
