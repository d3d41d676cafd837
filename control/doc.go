// Package control runs the UDP control traffic between endiveflow processes:
// heartbeats and their answers, gossip of member records and configuration,
// the exchange of digests that repairs what gossip missed, and the questions
// that observers ask each other before they declare a member dead.
//
// A datagram is one byte of message kind and a sealed CBOR array. Kind and
// destination are authenticated with it, so that a recorded datagram cannot be
// replayed as another kind or to another process. A member is identified by
// the source address of its heartbeats, therefore control sockets are bound to
// the control address of the record.
package control
