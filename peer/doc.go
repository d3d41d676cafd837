// Package peer carries HTTP/3 requests between endiveflow processes, with mutual TLS based on the fleet key.
//
// A client keeps one connection per peer address. A connection with requests in flight that receives nothing
// for SilenceAfter gets no new requests; the next request opens a new connection from a new local port while
// the old one finishes or fails. No request is sent twice.
package peer
