// Package absence decides when the published record of a process is out of date, because
// the process has not been seen for a long time, and may be removed.
package absence
