// Package flow defines the identity of flows on the packet path, and the fields of their packets that
// decisions depend on. It does no I/O.
//
// A flow is identified by the addresses and ports of its two ends: the caller, and the route that the caller
// uses.
package flow
