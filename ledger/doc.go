// Package ledger records which requests with a key have been run by one incarnation
// of an agent, so that each runs at most once, and saves their answers.
//
// Each non-repeatable request has a key with a sequence number of the
// ledger that issued it. The ledger maintains this invariant:
//
//	A sequence whose run was begun has a record, or it is below the eviction
//	mark of its shard.
//
// Begin starts the run of a sequence only if it has no record and is not below the
// mark. Marks never decrease, and a record is removed only if its sequence is
// below the mark. So no sequence runs twice.
//
// An abandoned sequence keeps its record as well: its caller has received the outcome
// not-run, so a delayed copy of the request must not be run.
//
// An answer that is dropped to save memory leaves its record, so no mark has to be raised:
// keys that were issued but not used can still be run. A mark is raised in two
// cases. If the key of a record is older than the key window, the mark is raised above its
// sequence; every lower sequence was issued earlier and has expired as well. If the
// records alone, without answers, exceed the limit in bytes, the mark is raised above keys
// that may not have been used yet; their state becomes unknown and they are not run.
package ledger
