// Package member implements the membership of one region: the records of entries and agents, the rules for
// merging them, failure detection, and the digests by which views are compared. It does no I/O.
//
// A record is replaced only by a newer one, ordered by incarnation, version and state, so views that have
// received the same records in any order are equal. A member ends its own record (left), or two observers
// end it (dead); a live member refutes its death with a higher version. After a record is removed, its
// summary is kept as a tombstone. Without it a delayed copy of the record would be taken for a new member.
package member
