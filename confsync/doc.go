// Package confsync copies the configuration from the store into the view of an entry, and publishes the live
// entries of each availability zone in the store.
//
// Only the two highest-ranked live entries of a zone watch the store; the others receive changes by gossip.
// There is no lease: if entries disagree on the ranking, more of them watch, which is harmless because a view
// accepts only higher versions. The highest-ranked entry writes the zone's page, a list of its live entries, by
// which entries find each other.
package confsync
