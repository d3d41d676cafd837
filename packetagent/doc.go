// Package packetagent implements the agent of the packet path: the process beside one host. It decides on
// offers of new flows, forwards packets between the host and callers, tracks the flows of the host, and
// notifies entries of them.
//
// Agent is the state machine. It owns no sockets and no timers: package packetnode provides them, and the
// functions in Config connect the two.
package packetagent
