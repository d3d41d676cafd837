// Package node holds what entries and agents have in common: the shared state of a process, its own membership
// record, its sockets, and the hooks that start and stop its controllers.
package node
