// Package flow names flows of the packet path and the parts of their packets
// that decisions need. It does no I/O.
//
// A flow is identified by the addresses and ports of its two ends: the caller,
// and the route that the caller uses.
package flow
