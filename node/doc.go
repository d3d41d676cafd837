// Package node holds what entries and agents share: the blackboard of a
// process, its own membership record, its sockets, and the hooks that start
// and stop its controllers.
package node
