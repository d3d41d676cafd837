// Package packetentry is the entry of the packet path: the process that takes
// the packets of callers from the fabric. It finds the route of a new flow, offers the flow to agents of the
// service, remembers which agent has it, and finds the agent of a flow that it doesn't know.
//
// Entry is the state machine; it owns no socket and takes its time from Config.
// Run gives it sockets and timers.
package packetentry
