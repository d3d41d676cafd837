// Package upstream talks HTTP/1.1 to the agent's local upstream and keeps
// what the upstream announces of itself.
//
// A Client never runs a request twice by itself. Its errors say whether the
// upstream can have seen the request.
package upstream
