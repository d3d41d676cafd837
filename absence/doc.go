// Package absence decides when the record of a process may be removed, as out of date, from
// the store that all processes read, because the observer has received no message from the
// process for a long time.
package absence
