// Package soak runs the real programs of the packet path as separate processes on loopback addresses,
// injects faults from outside, and meanwhile checks what callers and hosts observe.
//
// Faults follow each other and overlap: processes are killed, stopped, paused and told to reload their
// settings; hosts drain, crash and restart; the store is unavailable, and connections to it are delayed, cut
// or silent. Beside these, planned work is done in series, hosts with their agents join and leave, zones are evacuated, and all
// processes fail at once, with or without their hosts. A run's faults are determined by its seed. Its report
// has a timeline of the faults and of the answered and failed requests.
package soak
