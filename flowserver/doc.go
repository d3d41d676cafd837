// Package flowserver is the agent's HTTP/3 server for callers. It runs over any net.PacketConn, so that
// packets can come from the tunnel.
//
// The keys for stateless resets, address validation and session tickets are given in the Config. With them,
// a restarted agent can reset the flows of its former incarnation, and another agent of the service can
// resume its sessions.
package flowserver
