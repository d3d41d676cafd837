// Package ledger keeps the at-most-once records of one incarnation of an agent.
//
// Each non-repeatable request carries a key with a sequence number of the
// ledger that issued it. The ledger keeps this invariant:
//
//	A sequence that was begun has a record, or it is below the eviction
//	mark of its shard.
//
// Begin lets a sequence run only when it has no record and is not below the
// mark. Marks never decrease, and a record is removed only once its sequence is
// below the mark. So no sequence runs twice.
//
// An abandoned sequence keeps its record as well: its caller was told "not run", and a
// copy of the request that was delayed on the way must not make that untrue.
//
// Dropping an answer to save memory keeps its record, so it raises no mark:
// keys that were issued but not used stay runnable. The mark rises in two
// cases. When a record's key is older than the key window, it rises above that
// sequence; every lower sequence was issued earlier and is expired as well. Only when the
// records alone, without answers, exceed the bound in bytes does the mark pass
// keys that could still have been used; they become unknown and are not run.
package ledger
