// Package peer carries HTTP/3 requests between endiveflow processes, with
// mutual TLS under the fleet key.
//
// A client keeps one connection for each peer address. A connection that
// carries work and receives nothing for SilenceAfter takes no new requests;
// the next request opens a new connection from a new local port while the old
// one finishes or fails. No request is sent twice.
package peer
