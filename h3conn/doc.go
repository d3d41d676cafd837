// Package h3conn implements an HTTP/3 client connection on a socket of its own.
//
// It adds three things to http3.ClientConn: errors that state exactly whether a request was handed to the
// connection, detection of a connection on which nothing arrives any more, and a close that waits for the
// requests in flight. It never sends a request twice.
package h3conn
