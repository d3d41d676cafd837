// Package routing holds the routes of the packet path: which services serve the new flows to an address and
// port, and the timeout, latency target and priority of their requests. A Table is immutable; a newer version
// replaces it as a whole.
package routing
