// Package admin implements the HTTP server for operators, health probes of the platform and announcements
// of the upstream. It listens on a loopback or management address and has no authentication of its own.
package admin
