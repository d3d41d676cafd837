// Package packetnode runs the entry and the agent of the packet path as processes. It provides their sockets,
// the HTTP endpoints that the platform calls, the configuration, the member records in the store, and the
// graceful stop.
package packetnode
