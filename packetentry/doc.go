// Package packetentry implements the entry of the packet path: the process that receives the packets of
// callers from the fabric. It finds the route of a new flow, offers the flow to agents of the service,
// records which agent has it, and searches for the agent of a flow that it has no record of.
//
// Entry is the state machine. It owns no sockets and no timers: package packetnode provides them, and the
// functions in Config connect the two.
package packetentry
