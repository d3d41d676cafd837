// Package watchduty decides which entries watch the store for changes, so that the calls to the store don't grow with
// the fleet.
//
// Some entries of each availability zone watch. The others rely on them and learn of a new configuration by its version
// in messages. Every entry's report carries the time since the last answer of the store to any entry, which spreads
// through the fleet. If that time becomes too long, the entries that watch are down, cut off or paused: others ask
// the store, one after the other, until answers are heard of again. There is no agreement on who watches, and no permission
// that could run out.
package watchduty
