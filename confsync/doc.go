// Package confsync brings the configuration from the store into the view of an
// entry, and publishes the entries of each availability zone in the store.
//
// Only the two highest-ranked live entries of a zone watch the store; the others
// get changes by gossip. There is no lease: entries that disagree on the ranking
// watch in addition, which is harmless, because a view only takes higher
// versions. The highest-ranked entry writes the zone's page, by which entries
// find each other.
package confsync
