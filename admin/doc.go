// Package admin is the HTTP server for operators, probes of the platform and
// the announcements of the upstream. It listens on loopback or a management
// address and has no authentication of its own.
package admin
