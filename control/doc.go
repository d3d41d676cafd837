// Package control implements the UDP control traffic between endiveflow processes: heartbeats and their answers,
// gossip of member records and configuration, the comparison of digests that repairs what gossip missed
// (anti-entropy), and the requests by which observers confirm each other's suspicions before they declare a
// member dead.
//
// A datagram consists of one byte of message kind and a sealed CBOR array. Kind and destination are
// authenticated with it, so a recorded datagram cannot be replayed as another kind or to another process. The
// source address of a heartbeat identifies its sender, so control sockets must be bound to the control address
// of the member's record.
package control
