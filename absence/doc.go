// Package absence decides when the record of a process that nobody hears from
// is out of date and may be removed from where all processes look.
package absence
