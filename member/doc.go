// Package member holds the membership of one region: the records of entries
// and agents, the rules that merge them, the detection of failed members and
// the digests that compare views. It does no I/O.
package member
