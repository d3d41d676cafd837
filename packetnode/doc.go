// Package packetnode runs the entry and the agent of the packet path as
// processes: their sockets, the calls of the platform, the configuration, the
// member records in the store, and the planned stop.
package packetnode
