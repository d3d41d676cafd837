// Package upstream implements the HTTP/1.1 client for the agent's local upstream and stores the
// announcements of the upstream.
//
// A Client never sends a request twice on its own. Its errors state whether the upstream can have
// received any of the request.
package upstream
