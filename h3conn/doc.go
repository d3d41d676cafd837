// Package h3conn is one HTTP/3 client connection on a socket of its own.
//
// It adds three things to http3.ClientConn: an exact statement whether a
// request was handed to the connection, the detection of a connection that
// went silent, and an end that waits for the requests in flight. It never
// sends a request twice.
package h3conn
