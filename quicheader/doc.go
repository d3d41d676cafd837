// Package quicheader parses the version-independent fields of a QUIC packet (RFC 8999): the header form,
// the version and the connection IDs.
package quicheader
