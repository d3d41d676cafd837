// Package routing holds the routes of the packet path: which service gets the
// new flows at an address and port, and what the requests inside are owed. A
// Table is immutable and replaced as a whole by a newer version.
package routing
