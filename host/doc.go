// Package host orders what hosts say of themselves. Its Tracker takes the
// reports of the host beside one agent, in whatever order they arrive, and
// keeps the newest. It does no I/O.
//
// A host is identified by its ID and the time of its start: a host that starts
// again under its old ID is another incarnation. Within an incarnation reports are
// ordered by their sequence.
package host
