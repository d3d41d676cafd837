// Package host tracks the state that hosts report. A Tracker takes the reports of the host beside one agent
// in any order of arrival, and keeps the newest. It does no I/O.
//
// A host is identified by its ID and start time: a host that restarts under its old ID is a new incarnation.
// Within an incarnation, reports are ordered by their sequence number.
package host
