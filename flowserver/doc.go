// Package flowserver is the agent's HTTP/3 server for callers. It runs over
// any net.PacketConn, so that packets can come out of the tunnel.
//
// Keys for stateless resets, address validation and session tickets come from
// the configuration: a restarted agent resets the flows of its former
// incarnation, and another agent of the service resumes its sessions.
package flowserver
