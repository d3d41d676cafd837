// Package soak runs the real programs of the packet path as separate processes
// on loopback addresses, injects faults from outside, and checks what callers
// and hosts see while it runs.
//
// Faults come in series and overlap: processes are killed, stopped, paused and
// told to read their settings again; hosts drain, crash and start anew; the
// store is away, and the connections to it are delayed, cut or silent. Each run follows a
// seed, and its report has a timeline of what was injected and what was seen.
package soak
