// Package member holds the membership of one region: the records of entries
// and agents, the rules that merge them, the detection of failed members and
// the digests that compare views. It does no I/O.
//
// Only a newer record replaces a record, by incarnation, version and state, so
// views that have received the same records in any order are equal. A member
// ends its own record (left), or two observers end it (dead); a live member
// refutes its death with a higher version. The brief of a removed member is
// kept as a mark, so that a late copy of its record is not taken for a new one.
package member
